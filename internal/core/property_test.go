package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadaslip/internal/core"
)

// Guards against violations of invariants 1, 2, 4 and 6 of the design page under
// interleavings of takeovers, paused owners, lost and late orders, restarts of
// targets and VMs that go away, and against requests that are never answered.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		steps := rapid.IntRange(50, 500).Draw(t, "steps")
		for range steps {
			sim.step()
		}
		sim.checkLiveness()
	})
}

// step advances the time and performs one random action.
func (sim *simulation) step() {
	sim.now += simStep
	switch action := rapid.IntRange(0, 99).Draw(sim.t, "action"); {
	case action < 12:
		sim.queueRequest()
	case action < 60:
		sim.runOwner()
	case action < 74:
		sim.stepHolder()
	case action < 80:
		sim.finishRequests()
	case action < 84:
		sim.executeLateOrder()
	case action < 88:
		sim.takeOverOnAnyVM()
	case action < 92:
		sim.pauseOrResume()
	case action < 93:
		sim.removeAnyVM()
	case action < 94:
		sim.restartTarget()
	case action < 96:
		sim.changeTargetList()
	case action < 97:
		sim.changeStoreAvailability()
	default:
		sim.now += time.Duration(rapid.IntRange(0, 500).Draw(sim.t, "ms")) * time.Millisecond
	}
}

// pickOwner returns a core that is neither stopped nor paused, in 70% of the calls
// the newest one.
func (sim *simulation) pickOwner() *owner {
	var live []*owner
	for _, o := range sim.owners {
		if !o.stopped && !o.vm.paused && !o.vm.gone {
			live = append(live, o)
		}
	}
	if len(live) == 0 {
		return nil
	}
	if sim.chance("newest owner", 70) {
		return live[len(live)-1]
	}
	return rapid.SampledFrom(live).Draw(sim.t, "owner")
}

// pickVM returns a random VM that is neither paused nor gone.
func (sim *simulation) pickVM() *simVM {
	var live []*simVM
	for _, v := range sim.vms {
		if !v.gone && !v.paused {
			live = append(live, v)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return rapid.SampledFrom(live).Draw(sim.t, "vm")
}

// queueRequest sends a request of a random VM to a core.
func (sim *simulation) queueRequest() {
	vm, o := sim.pickVM(), sim.pickOwner()
	if vm == nil || o == nil {
		return
	}
	r := request(string(requestID(sim.nextID)), sim.randomAdapter())
	sim.nextID++
	r.Holder = vm.holder
	r.Deadline = time.Duration(rapid.IntRange(1, 20).Draw(sim.t, "deadline")) * time.Second
	r.Repeatable = sim.chance("repeatable", 50)
	r.PredictedTokens = rapid.IntRange(1, 2*core.DefaultLongOutputTokens).Draw(sim.t, "tokens")
	o.inbox = append(o.inbox, core.RequestQueued{Request: r})
}

// runOwner delivers events to a core, runs a tick and carries out commands. Events
// and commands are taken in random order, and some are left for later.
func (sim *simulation) runOwner() {
	o := sim.pickOwner()
	if o == nil {
		return
	}
	if sim.chance("deliver", 80) {
		for range rapid.IntRange((len(o.inbox)+1)/2, len(o.inbox)).Draw(sim.t, "events") {
			sim.apply(o, removeAny(sim.t, &o.inbox))
		}
	}
	sim.tick(o)
	for range rapid.IntRange(len(o.outbox)/2, len(o.outbox)).Draw(sim.t, "commands") {
		sim.carryOut(o, removeAny(sim.t, &o.outbox))
	}
}

// removeAny removes a random item from the list and returns it.
func removeAny[T any](t *rapid.T, list *[]T) T {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	item := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return item
}

// stepHolder dispatches, releases or abandons a random permit of a random VM.
func (sim *simulation) stepHolder() {
	vm := sim.pickVM()
	if vm == nil || len(vm.held) == 0 {
		return
	}
	h := rapid.SampledFrom(vm.held).Draw(sim.t, "held")
	switch t := sim.target(h.permit.Target.Name); {
	case !h.sent && sim.chance("dispatch", 80):
		sim.dispatch(vm, h)
	case !h.sent:
		sim.release(vm, h, core.OutcomeNotSent)
	case t.running[h.request.ID].IsZero():
		sim.release(vm, h, core.OutcomeDone)
	case sim.chance("abandon", 20):
		sim.release(vm, h, core.OutcomeFailed)
	}
}

// finishRequests ends random requests on a random target.
func (sim *simulation) finishRequests() {
	t := rapid.SampledFrom(sim.targets).Draw(sim.t, "target")
	for n := range sim.nextID {
		if id := requestID(n); !t.running[id].IsZero() && sim.chance("finish", 50) {
			delete(t.running, id)
		}
	}
}

// executeLateOrder carries out an order that was delayed on its way to a target.
func (sim *simulation) executeLateOrder() {
	t := rapid.SampledFrom(sim.targets).Draw(sim.t, "target")
	if len(t.lateOrders) > 0 {
		sim.execute(t, removeAny(sim.t, &t.lateOrders).intent)
	}
}

// takeOverOnAnyVM starts a new owner on a random VM, at most six in all.
func (sim *simulation) takeOverOnAnyVM() {
	if vm := sim.pickVM(); vm != nil && len(sim.owners) < 6 {
		sim.takeOver(vm)
	}
}

func (sim *simulation) pauseOrResume() {
	vm := rapid.SampledFrom(sim.vms).Draw(sim.t, "vm")
	vm.paused = !vm.paused && !vm.gone
}

// removeAnyVM removes a random VM. At most two of the four are removed, so that
// one can own the group.
func (sim *simulation) removeAnyVM() {
	lost := 0
	for _, v := range sim.vms {
		if v.gone {
			lost++
		}
	}
	vm := rapid.SampledFrom(sim.vms).Draw(sim.t, "vm")
	if lost < 2 && !vm.gone {
		sim.removeVM(vm)
	}
}

// removeVM removes a VM with its cores and permits and reports that to all cores.
func (sim *simulation) removeVM(vm *simVM) {
	vm.gone, vm.paused, vm.held = true, false, nil
	sim.stopOwners(vm, sim.epoch+1)
	for _, o := range sim.owners {
		if !o.stopped {
			o.inbox = append(o.inbox, core.HolderGone{Holder: vm.holder})
		}
	}
}

// restartTarget restarts a random target, which loses its adapters, its requests
// and the orders on their way to it.
func (sim *simulation) restartTarget() {
	t := rapid.SampledFrom(sim.targets).Draw(sim.t, "target")
	t.instance++
	clear(t.resident)
	clear(t.running)
	t.lateOrders = nil
	t.epoch = 0
}

// changeTargetList lists or unlists a random target or changes whether it is
// leaving, and sends the new list to all cores.
func (sim *simulation) changeTargetList() {
	t := rapid.SampledFrom(sim.targets).Draw(sim.t, "target")
	switch rapid.IntRange(0, 3).Draw(sim.t, "change") {
	case 0:
		t.listed = !t.listed
	case 1:
		t.info.Leaving = !t.info.Leaving
	default:
		t.listed, t.info.Leaving = true, false
	}
	for _, o := range sim.owners {
		if !o.stopped {
			sim.apply(o, sim.targetList())
		}
	}
}

// changeStoreAvailability reports to a core that the store is unavailable or
// available again.
func (sim *simulation) changeStoreAvailability() {
	if o := sim.pickOwner(); o != nil {
		sim.apply(o, core.StoreAvailability{Available: rapid.Bool().Draw(sim.t, "available")})
	}
}

// checkLiveness ends all faults, starts a new owner and checks that it answers
// every request and resolves every intent.
func (sim *simulation) checkLiveness() {
	for _, vm := range sim.vms {
		vm.paused = false
	}
	for _, t := range sim.targets {
		t.listed, t.info.Leaving = true, false
	}
	sim.takeOver(sim.firstLiveVM())
	o := sim.newestOwner()
	const lastRequests = 10
	for range lastRequests {
		sim.queueRequest()
	}
	const faultFreeRounds, faultFreeStep = 600, 100 * time.Millisecond
	for range faultFreeRounds {
		sim.now += faultFreeStep
		sim.runFaultFreeRound(o)
	}
	for id := range o.queued {
		if !o.answered[id] {
			sim.t.Fatalf("request %s was never answered", id)
		}
	}
	for id, intent := range sim.intents {
		if sim.orderCopies[id] < 2 { // the intent of a resent order stays until its target restarts
			sim.t.Fatalf("intent %+v was never resolved", intent)
		}
	}
}

// firstLiveVM returns the first VM that is not gone.
func (sim *simulation) firstLiveVM() *simVM {
	for _, vm := range sim.vms {
		if !vm.gone {
			return vm
		}
	}
	return nil
}

// runFaultFreeRound delivers all events in order, runs a tick, carries out all
// commands, ends all requests and dispatches or releases every permit.
func (sim *simulation) runFaultFreeRound(o *owner) {
	for len(o.inbox) > 0 {
		event := o.inbox[0]
		o.inbox = o.inbox[1:]
		sim.apply(o, event)
	}
	sim.tick(o)
	for pending := len(o.outbox); pending > 0; pending-- {
		command := o.outbox[0]
		o.outbox = o.outbox[1:]
		sim.carryOut(o, command)
	}
	for _, t := range sim.targets {
		clear(t.running)
	}
	for _, vm := range sim.vms {
		for _, h := range append([]*heldPermit(nil), vm.held...) {
			if h.sent {
				sim.release(vm, h, core.OutcomeDone)
			} else {
				sim.dispatch(vm, h)
			}
		}
	}
}
