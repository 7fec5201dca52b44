package core_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// The world plays the store, targets, VMs and callers of one target group. It
// reads only the commands that a core sent and checks the invariants on what
// the targets and callers then see.

// lateOrder is an order whose sender was told that its effect is unknown.
type lateOrder struct {
	owner   *owner
	intent  core.Intent
	closing bool // the sender has stopped: settled before the next state query
}

type worldTarget struct {
	info     model.Target
	listed   bool
	instance int
	resident map[model.AdapterVersion]bool
	running  map[model.RequestID]model.AdapterVersion
	epoch    model.Epoch // highest that was seen, if it checks fencing
	late     []*lateOrder
}

// heldPermit is a permit that a VM accepted.
type heldPermit struct {
	permit   core.Permit
	request  core.Request
	believed string // instance of the target that the granting core knew
	sent     bool
}

type worldVM struct {
	holder       model.Holder
	epoch        model.Epoch // confirmed
	gone, paused bool
	held         []*heldPermit
}

// owner is one core and the VM that runs it.
type owner struct {
	core     *core.Core
	vm       *worldVM
	epoch    model.Epoch
	stopped  bool           // its VM confirmed a later epoch or is gone
	outbox   []core.Command // not yet carried out
	inbox    []core.Event   // not yet delivered
	queued   map[model.RequestID]core.Request
	answered map[model.RequestID]bool
	stored   map[uint64]bool // confirmed to the core
	believed map[string]string
	granted  map[model.RequestID]string // instance of the target that the core knew
	closed   map[string]bool            // targets that the core knows as leaving
}

type world struct {
	t          *rapid.T
	now        core.Time
	targets    []*worldTarget
	vms        []*worldVM
	owners     []*owner
	epoch      model.Epoch
	intents    map[uint64]core.Intent // in the store
	nextID     int
	policies   core.Policies
	sent       map[uint64]int // copies of each order
	evictFails bool           // targets fail an evict order for an adapter that they do not have
	ran        map[model.RequestID]bool
}

const (
	worldTargets  = 2
	worldVMs      = 4
	worldAdapters = 7
	worldSlots    = 2
	worldStep     = 20 * time.Millisecond
)

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Second, sent: map[uint64]int{}, intents: map[uint64]core.Intent{}, ran: map[model.RequestID]bool{}}
	w.policies = rapid.SampledFrom([]core.Policies{core.BaselinePolicies(), core.ProductPolicies()}).Draw(t, "policies")
	w.evictFails = rapid.Bool().Draw(t, "evictFails")
	for i := range worldTargets {
		info := runner(fmt.Sprintf("t%d", i), worldSlots)
		info.ChecksFencing = i == 0
		w.targets = append(w.targets, &worldTarget{
			info: info, listed: true, resident: map[model.AdapterVersion]bool{},
			running: map[model.RequestID]model.AdapterVersion{},
		})
	}
	for i := range worldVMs {
		w.vms = append(w.vms, &worldVM{holder: model.Holder{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}})
	}
	w.takeOver(w.vms[0])
	return w
}

func (w *world) target(name string) *worldTarget {
	for _, t := range w.targets {
		if t.info.Name == name {
			return t
		}
	}
	w.t.Fatalf("unknown target %q", name)
	return nil
}

func (w *world) vm(holder model.Holder) *worldVM {
	for _, v := range w.vms {
		if v.holder == holder {
			return v
		}
	}
	return nil
}

func (w *world) current() *owner { return w.owners[len(w.owners)-1] }

func (w *world) adapter() model.AdapterVersion {
	n := rapid.IntRange(0, worldAdapters-1).Draw(w.t, "adapter")
	return model.AdapterVersion{Organisation: fmt.Sprintf("org%d", n%2), Adapter: fmt.Sprintf("a%d", n), Version: "1"}
}

func (w *world) listing() core.TargetsChanged {
	var e core.TargetsChanged
	for _, t := range w.targets {
		if t.listed {
			e.Targets = append(e.Targets, t.info)
		}
	}
	return e
}

// takeOver raises the epoch in the store and starts a core on a VM.
func (w *world) takeOver(vm *worldVM) {
	w.epoch++
	o := &owner{
		core: core.New(core.Params{Group: "g", LoadLimit: time.Second, EvictRetries: 2, Policies: w.policies}, uint64(w.epoch)),
		vm:   vm, epoch: w.epoch, queued: map[model.RequestID]core.Request{}, answered: map[model.RequestID]bool{},
		stored: map[uint64]bool{}, believed: map[string]string{}, closed: map[string]bool{},
		granted: map[model.RequestID]string{},
	}
	e := core.TakenOver{Epoch: w.epoch}
	if len(w.owners) > 0 {
		e.FormerOwner = w.current().vm.holder
	}
	for _, id := range sortedIntents(w.intents) {
		e.Former = append(e.Former, w.intents[id])
	}
	for _, v := range w.vms {
		if !v.gone {
			e.Registered = append(e.Registered, v.holder)
		}
	}
	w.owners = append(w.owners, o)
	w.apply(o, w.listing())
	w.apply(o, e)
	for _, v := range w.vms {
		if v.gone {
			o.inbox = append(o.inbox, core.HolderGone{Holder: v.holder})
		}
	}
}

func sortedIntents(m map[uint64]core.Intent) []uint64 {
	var ids []uint64
	for id := range m {
		at := len(ids)
		for at > 0 && ids[at-1] > id {
			at--
		}
		ids = append(ids[:at], append([]uint64{id}, ids[at:]...)...)
	}
	return ids
}

// apply delivers an event to a core and notes what the core was told.
func (w *world) apply(o *owner, event core.Event) {
	switch e := event.(type) {
	case core.TargetsChanged:
		clear(o.closed)
		for _, t := range w.targets {
			o.closed[t.info.Name] = true
		}
		for _, info := range e.Targets {
			o.closed[info.Name] = info.Leaving
		}
	case core.TargetState:
		o.believed[e.Target] = e.Instance
	case core.IntentStored:
		o.stored[e.ID] = true
	case core.RequestQueued:
		o.queued[e.Request.ID] = e.Request
	case core.RequestCancelled:
		delete(o.queued, e.ID)
	}
	o.core.Apply(w.now, event)
}

// tick runs a core, checks its answers and keeps its commands for delivery.
func (w *world) tick(o *owner) {
	for _, command := range o.core.Tick(w.now) {
		switch c := command.(type) {
		case core.GrantPermit:
			w.checkGrant(o, c.Permit)
		case core.RefuseRequest:
			w.checkRefusal(o, c)
			continue
		case core.SendOrder:
			if !o.stored[c.Intent.ID] {
				w.t.Fatalf("order %+v sent before its intent was stored", c.Intent)
			}
		}
		o.outbox = append(o.outbox, command)
	}
}

func (w *world) checkGrant(o *owner, p core.Permit) {
	request, queued := o.queued[p.Request]
	if !queued || o.answered[p.Request] {
		w.t.Fatalf("request %s granted without being queued, or answered twice", p.Request)
	}
	o.answered[p.Request] = true
	o.granted[p.Request] = o.believed[p.Target.Name]
	if p.Adapter != request.Adapter {
		w.t.Fatalf("permit names %v instead of %v", p.Adapter, request.Adapter)
	}
	if o.closed[p.Target.Name] {
		w.t.Fatalf("leaving target %s received new work", p.Target.Name)
	}
}

func (w *world) checkRefusal(o *owner, c core.RefuseRequest) {
	if _, queued := o.queued[c.ID]; !queued || o.answered[c.ID] {
		w.t.Fatalf("request %s refused without being queued, or answered twice", c.ID)
	}
	o.answered[c.ID] = true
	if c.Err == nil || c.Err.Ran != "not_run" || w.ran[c.ID] {
		w.t.Fatalf("refusal of %s is not a correct \"not run\": %v", c.ID, c.Err)
	}
}
