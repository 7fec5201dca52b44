package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadaslip/internal/core"
)

// Guards against violations of invariants 1, 2, 4 and 6 of the design page
// under interleavings of takeovers, paused owners, lost and late orders,
// restarts and VMs that go away, and against requests that are never answered.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		steps := rapid.IntRange(50, 500).Draw(t, "steps")
		for range steps {
			w.step()
		}
		w.settle()
	})
}

// step performs one random action of the world.
func (w *world) step() {
	w.now += worldStep
	switch action := rapid.IntRange(0, 99).Draw(w.t, "action"); {
	case action < 12:
		w.arrive()
	case action < 60:
		w.runOwner()
	case action < 74:
		w.actHolder()
	case action < 80:
		w.finishOnTarget()
	case action < 84:
		w.lateOrderArrives()
	case action < 88:
		w.takeOverAnywhere()
	case action < 92:
		w.pauseOrResume()
	case action < 93:
		w.loseVM()
	case action < 94:
		w.restartTarget()
	case action < 96:
		w.changeList()
	case action < 97:
		w.changeStore()
	default:
		w.now += time.Duration(rapid.IntRange(0, 500).Draw(w.t, "ms")) * time.Millisecond
	}
}

// pickOwner returns a core that can act, the newest one most often.
func (w *world) pickOwner() *owner {
	var live []*owner
	for _, o := range w.owners {
		if !o.stopped && !o.vm.paused && !o.vm.gone {
			live = append(live, o)
		}
	}
	if len(live) == 0 {
		return nil
	}
	if w.chance("newest owner", 70) {
		return live[len(live)-1]
	}
	return rapid.SampledFrom(live).Draw(w.t, "owner")
}

func (w *world) liveVM() *worldVM {
	var live []*worldVM
	for _, v := range w.vms {
		if !v.gone && !v.paused {
			live = append(live, v)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return rapid.SampledFrom(live).Draw(w.t, "vm")
}

func (w *world) arrive() {
	vm, o := w.liveVM(), w.pickOwner()
	if vm == nil || o == nil {
		return
	}
	r := request(string(requestID(w.nextID)), w.adapter())
	w.nextID++
	r.Holder = vm.holder
	r.Deadline = time.Duration(rapid.IntRange(1, 20).Draw(w.t, "deadline")) * time.Second
	r.Repeatable = w.chance("repeatable", 50)
	r.PredictedTokens = rapid.IntRange(1, 2*core.DefaultLongTokens).Draw(w.t, "tokens")
	o.inbox = append(o.inbox, core.RequestQueued{Request: r})
}

// runOwner delivers events, ticks and carries out commands, in any order.
func (w *world) runOwner() {
	o := w.pickOwner()
	if o == nil {
		return
	}
	if w.chance("deliver", 80) {
		for range rapid.IntRange((len(o.inbox)+1)/2, len(o.inbox)).Draw(w.t, "events") {
			w.apply(o, takeAny(w.t, &o.inbox))
		}
	}
	w.tick(o)
	for range rapid.IntRange(len(o.outbox)/2, len(o.outbox)).Draw(w.t, "commands") {
		w.carryOut(o, takeAny(w.t, &o.outbox))
	}
}

func takeAny[T any](t *rapid.T, list *[]T) T {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	item := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return item
}

func (w *world) actHolder() {
	vm := w.liveVM()
	if vm == nil || len(vm.held) == 0 {
		return
	}
	h := rapid.SampledFrom(vm.held).Draw(w.t, "held")
	switch t := w.target(h.permit.Target.Name); {
	case !h.sent && w.chance("dispatch", 80):
		w.dispatch(vm, h)
	case !h.sent:
		w.release(vm, h, core.OutcomeNotSent)
	case t.running[h.request.ID].IsZero():
		w.release(vm, h, core.OutcomeDone)
	case w.chance("give up", 20):
		w.release(vm, h, core.OutcomeFailed)
	}
}

func (w *world) finishOnTarget() {
	t := rapid.SampledFrom(w.targets).Draw(w.t, "target")
	for n := range w.nextID {
		if id := requestID(n); !t.running[id].IsZero() && w.chance("finish", 50) {
			delete(t.running, id)
		}
	}
}

func (w *world) lateOrderArrives() {
	t := rapid.SampledFrom(w.targets).Draw(w.t, "target")
	if len(t.late) > 0 {
		w.execute(t, takeAny(w.t, &t.late).intent)
	}
}

func (w *world) takeOverAnywhere() {
	if vm := w.liveVM(); vm != nil && len(w.owners) < 6 {
		w.takeOver(vm)
	}
}

func (w *world) pauseOrResume() {
	vm := rapid.SampledFrom(w.vms).Draw(w.t, "vm")
	vm.paused = !vm.paused && !vm.gone
}

// loseVM removes a VM. At most two of four are lost, so that one can own the group.
func (w *world) loseVM() {
	lost := 0
	for _, v := range w.vms {
		if v.gone {
			lost++
		}
	}
	vm := rapid.SampledFrom(w.vms).Draw(w.t, "vm")
	if lost < 2 && !vm.gone {
		w.removeVM(vm)
	}
}

func (w *world) removeVM(vm *worldVM) {
	vm.gone, vm.paused, vm.held = true, false, nil
	w.stopOwners(vm, w.epoch+1)
	for _, o := range w.owners {
		if !o.stopped {
			o.inbox = append(o.inbox, core.HolderGone{Holder: vm.holder})
		}
	}
}

func (w *world) restartTarget() {
	t := rapid.SampledFrom(w.targets).Draw(w.t, "target")
	t.instance++
	clear(t.resident)
	clear(t.running)
	t.late = nil
	t.epoch = 0
}

func (w *world) changeList() {
	t := rapid.SampledFrom(w.targets).Draw(w.t, "target")
	switch rapid.IntRange(0, 3).Draw(w.t, "change") {
	case 0:
		t.listed = !t.listed
	case 1:
		t.info.Leaving = !t.info.Leaving
	default:
		t.listed, t.info.Leaving = true, false
	}
	for _, o := range w.owners {
		if !o.stopped {
			w.apply(o, w.listing())
		}
	}
}

// changeStore tells a core that the store is unavailable, or available again.
func (w *world) changeStore() {
	if o := w.pickOwner(); o != nil {
		w.apply(o, core.StoreAvailability{Available: rapid.Bool().Draw(w.t, "available")})
	}
}

// settle ends all faults and checks that the newest owner answers every
// request and resolves every intent.
func (w *world) settle() {
	for _, vm := range w.vms {
		vm.paused = false
	}
	for _, t := range w.targets {
		t.listed, t.info.Leaving = true, false
	}
	w.takeOver(w.survivor())
	o := w.current()
	const lastRequests = 10
	for range lastRequests {
		w.arrive()
	}
	const calmRounds, calmStep = 600, 100 * time.Millisecond
	for range calmRounds {
		w.now += calmStep
		w.calmRound(o)
	}
	for id := range o.queued {
		if !o.answered[id] {
			w.t.Fatalf("request %s was never answered", id)
		}
	}
	for id, intent := range w.intents {
		if w.sent[id] < 2 { // the intent of a repeated order stays until its target restarts
			w.t.Fatalf("intent %+v was never resolved", intent)
		}
	}
}

func (w *world) survivor() *worldVM {
	for _, vm := range w.vms {
		if !vm.gone {
			return vm
		}
	}
	return nil
}

func (w *world) calmRound(o *owner) {
	for len(o.inbox) > 0 {
		event := o.inbox[0]
		o.inbox = o.inbox[1:]
		w.apply(o, event)
	}
	w.tick(o)
	for pending := len(o.outbox); pending > 0; pending-- {
		command := o.outbox[0]
		o.outbox = o.outbox[1:]
		w.carryOut(o, command)
	}
	for _, t := range w.targets {
		clear(t.running)
	}
	for _, vm := range w.vms {
		for _, h := range append([]*heldPermit(nil), vm.held...) {
			if h.sent {
				w.release(vm, h, core.OutcomeDone)
			} else {
				w.dispatch(vm, h)
			}
		}
	}
}
