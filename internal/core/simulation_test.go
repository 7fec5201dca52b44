package core_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// simulation simulates the store, the targets, the VMs and the callers of one
// target group around real cores. It reads only the commands that the cores
// return and checks the invariants on what the targets and callers see.
type simulation struct {
	t           *rapid.T
	now         core.Time
	targets     []*simTarget
	vms         []*simVM
	owners      []*owner // cores in order of epochs
	epoch       model.Epoch
	intents     map[uint64]core.Intent // in the store
	nextID      int                    // number of requests so far
	policies    core.Policies
	orderCopies map[uint64]int // number of copies sent, by intent ID
	evictFails  bool           // targets fail an evict order for an adapter that they do not have
	dispatched  map[model.RequestID]bool
}

// lateOrder is an order that may still arrive although its effect was reported as
// unknown.
type lateOrder struct {
	owner         *owner
	intent        core.Intent
	senderStopped bool // executed or dropped before the next state report
}

// simTarget is a simulated target.
type simTarget struct {
	info       model.Target
	listed     bool
	instance   int // number of restarts
	resident   map[model.AdapterVersion]bool
	running    map[model.RequestID]model.AdapterVersion
	epoch      model.Epoch // highest epoch seen, if the target checks the fencing token
	lateOrders []*lateOrder
}

// heldPermit is a permit that a VM accepted.
type heldPermit struct {
	permit        core.Permit
	request       core.Request
	knownInstance string // instance of the target known to the core that granted the permit
	sent          bool   // the request was sent to the target
}

// simVM is a simulated VM.
type simVM struct {
	holder       model.Holder
	epoch        model.Epoch // highest confirmed epoch
	gone, paused bool
	held         []*heldPermit
}

// owner is one core and the VM that runs it.
type owner struct {
	core             *core.Core
	vm               *simVM
	epoch            model.Epoch
	stopped          bool           // its VM confirmed a later epoch or is gone
	outbox           []core.Command // not carried out yet
	inbox            []core.Event   // not delivered yet
	queued           map[model.RequestID]core.Request
	answered         map[model.RequestID]bool
	storedIntents    map[uint64]bool            // intents reported to the core as stored
	knownInstances   map[string]string          // instance in the last state report, by target
	grantedInstances map[model.RequestID]string // instance of the target known at the grant
	unavailable      map[string]bool            // targets that the core knows as leaving or unlisted
}

const (
	simTargets  = 2
	simVMs      = 4
	simAdapters = 7
	simSlots    = 2 // per target
	simStep     = 20 * time.Millisecond
)

// newSimulation returns a simulation whose first VM owns the group.
func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Second, orderCopies: map[uint64]int{}, intents: map[uint64]core.Intent{}, dispatched: map[model.RequestID]bool{}}
	sim.policies = rapid.SampledFrom([]core.Policies{core.BaselinePolicies(), core.ProductionPolicies()}).Draw(t, "policies")
	sim.evictFails = rapid.Bool().Draw(t, "evictFails")
	for i := range simTargets {
		info := runner(fmt.Sprintf("t%d", i), simSlots)
		info.ChecksFencing = i == 0
		sim.targets = append(sim.targets, &simTarget{
			info: info, listed: true, resident: map[model.AdapterVersion]bool{},
			running: map[model.RequestID]model.AdapterVersion{},
		})
	}
	for i := range simVMs {
		sim.vms = append(sim.vms, &simVM{holder: model.Holder{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}})
	}
	sim.takeOver(sim.vms[0])
	return sim
}

func (sim *simulation) target(name string) *simTarget {
	for _, t := range sim.targets {
		if t.info.Name == name {
			return t
		}
	}
	sim.t.Fatalf("unknown target %q", name)
	return nil
}

func (sim *simulation) vm(holder model.Holder) *simVM {
	for _, v := range sim.vms {
		if v.holder == holder {
			return v
		}
	}
	return nil
}

// newestOwner returns the core with the highest epoch.
func (sim *simulation) newestOwner() *owner { return sim.owners[len(sim.owners)-1] }

// randomAdapter returns one of simAdapters adapters of two organisations.
func (sim *simulation) randomAdapter() model.AdapterVersion {
	n := rapid.IntRange(0, simAdapters-1).Draw(sim.t, "adapter")
	return model.AdapterVersion{Organisation: fmt.Sprintf("org%d", n%2), Adapter: fmt.Sprintf("a%d", n), Version: "1"}
}

// targetList returns the event with the targets that are listed now.
func (sim *simulation) targetList() core.TargetsChanged {
	var e core.TargetsChanged
	for _, t := range sim.targets {
		if t.listed {
			e.Targets = append(e.Targets, t.info)
		}
	}
	return e
}

// takeOver raises the epoch in the store and starts a core on a VM.
func (sim *simulation) takeOver(vm *simVM) {
	sim.epoch++
	o := &owner{
		core: core.New(core.Params{Group: "g", LoadTimeout: time.Second, EvictResendReports: 2, Policies: sim.policies}, uint64(sim.epoch)),
		vm:   vm, epoch: sim.epoch, queued: map[model.RequestID]core.Request{}, answered: map[model.RequestID]bool{},
		storedIntents: map[uint64]bool{}, knownInstances: map[string]string{}, unavailable: map[string]bool{},
		grantedInstances: map[model.RequestID]string{},
	}
	e := core.TakenOver{Epoch: sim.epoch}
	if len(sim.owners) > 0 {
		e.FormerOwner = sim.newestOwner().vm.holder
	}
	for _, id := range sortedIntentIDs(sim.intents) {
		e.FormerIntents = append(e.FormerIntents, sim.intents[id])
	}
	for _, v := range sim.vms {
		if !v.gone {
			e.Registered = append(e.Registered, v.holder)
		}
	}
	sim.owners = append(sim.owners, o)
	sim.apply(o, sim.targetList())
	sim.apply(o, e)
	for _, v := range sim.vms {
		if v.gone {
			o.inbox = append(o.inbox, core.HolderGone{Holder: v.holder})
		}
	}
}

// sortedIntentIDs returns the IDs of the intents in ascending order.
func sortedIntentIDs(m map[uint64]core.Intent) []uint64 {
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

// apply delivers an event to a core and records what the core knows from it.
func (sim *simulation) apply(o *owner, event core.Event) {
	switch e := event.(type) {
	case core.TargetsChanged:
		clear(o.unavailable)
		for _, t := range sim.targets {
			o.unavailable[t.info.Name] = true
		}
		for _, info := range e.Targets {
			o.unavailable[info.Name] = info.Leaving
		}
	case core.TargetState:
		o.knownInstances[e.Target] = e.Instance
	case core.IntentStored:
		o.storedIntents[e.ID] = true
	case core.RequestQueued:
		o.queued[e.Request.ID] = e.Request
	case core.RequestCancelled:
		delete(o.queued, e.ID)
	}
	o.core.Apply(sim.now, event)
}

// tick runs a tick of a core, checks its grants and refusals, and adds its commands
// to the outbox.
func (sim *simulation) tick(o *owner) {
	for _, command := range o.core.Tick(sim.now) {
		switch c := command.(type) {
		case core.GrantPermit:
			sim.checkGrant(o, c.Permit)
		case core.RefuseRequest:
			sim.checkRefusal(o, c)
			continue
		case core.SendOrder:
			if !o.storedIntents[c.Intent.ID] {
				sim.t.Fatalf("order %+v sent before its intent was stored", c.Intent)
			}
		}
		o.outbox = append(o.outbox, command)
	}
}

// checkGrant checks that a granted request was queued and not answered before, and
// that its permit names its adapter and an available target.
func (sim *simulation) checkGrant(o *owner, p core.Permit) {
	request, queued := o.queued[p.Request]
	if !queued || o.answered[p.Request] {
		sim.t.Fatalf("request %s granted without being queued, or answered twice", p.Request)
	}
	o.answered[p.Request] = true
	o.grantedInstances[p.Request] = o.knownInstances[p.Target.Name]
	if p.Adapter != request.Adapter {
		sim.t.Fatalf("permit names %v instead of %v", p.Adapter, request.Adapter)
	}
	if o.unavailable[p.Target.Name] {
		sim.t.Fatalf("leaving target %s received new work", p.Target.Name)
	}
}

// checkRefusal checks that a refused request was queued, was not answered before
// and did not run.
func (sim *simulation) checkRefusal(o *owner, c core.RefuseRequest) {
	if _, queued := o.queued[c.ID]; !queued || o.answered[c.ID] {
		sim.t.Fatalf("request %s refused without being queued, or answered twice", c.ID)
	}
	o.answered[c.ID] = true
	if c.Err == nil || c.Err.Ran != "not_run" || sim.dispatched[c.ID] {
		sim.t.Fatalf("refusal of %s is not a correct \"not run\": %v", c.ID, c.Err)
	}
}
