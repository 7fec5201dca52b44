package core_test

import (
	"fmt"

	"pgregory.net/rapid"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// chance draws whether something with a probability in percent happens.
func (sim *simulation) chance(name string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(sim.t, name) < percent
}

// carryOut performs one command of an owner.
func (sim *simulation) carryOut(o *owner, command core.Command) {
	switch c := command.(type) {
	case core.GrantPermit:
		sim.receivePermit(o, c.Permit)
	case core.StoreIntent:
		if o.epoch != sim.epoch {
			o.inbox = append(o.inbox, core.IntentRejected{ID: c.Intent.ID})
			return
		}
		sim.intents[c.Intent.ID] = c.Intent
		o.inbox = append(o.inbox, core.IntentStored{ID: c.Intent.ID})
	case core.ClearIntent:
		if o.epoch == sim.epoch {
			delete(sim.intents, c.ID)
		}
	case core.SendOrder:
		sim.deliverOrder(o, c.Intent)
	case core.RequestLoadPermit:
		o.inbox = append(o.inbox, core.LoadPermitted{Adapter: c.Adapter})
	case core.CancelOnTarget:
		delete(sim.target(c.Target).running, c.ID)
	case core.RequestTargetState:
		sim.reportState(o, sim.target(c.Target))
	case core.RequestEpochConfirmation:
		sim.confirmEpoch(o, sim.vm(c.Holder))
	}
}

// receivePermit delivers a permit to its holder, which returns it unused if it has
// confirmed a later epoch.
func (sim *simulation) receivePermit(o *owner, p core.Permit) {
	request := o.queued[p.Request]
	vm := sim.vm(request.Holder)
	switch {
	case vm.gone:
	case p.Epoch < vm.epoch:
		o.inbox = append(o.inbox, core.PermitReleased{ID: p.Request, Target: p.Target.Name, Outcome: core.OutcomeNotSent})
	default:
		vm.held = append(vm.held, &heldPermit{permit: p, request: request, knownInstance: o.grantedInstances[p.Request]})
	}
}

// deliverOrder makes a target carry out an order, or loses or delays the order.
func (sim *simulation) deliverOrder(o *owner, intent core.Intent) {
	t := sim.target(intent.Target)
	sim.orderCopies[intent.ID]++
	switch result := rapid.IntRange(0, 9).Draw(sim.t, "order result"); result {
	case 0:
		o.inbox = append(o.inbox, core.OrderOutcomeUnknown{ID: intent.ID})
	case 1, 2:
		t.lateOrders = append(t.lateOrders, &lateOrder{owner: o, intent: intent})
		o.inbox = append(o.inbox, core.OrderOutcomeUnknown{ID: intent.ID})
	default:
		if sim.execute(t, intent) {
			o.inbox = append(o.inbox, core.OrderDone{ID: intent.ID})
			return
		}
		o.inbox = append(o.inbox, core.OrderFailed{ID: intent.ID, Err: errs.New(errs.TargetRefused, "refused")})
	}
}

// execute carries out an order on a target and reports whether it succeeded.
func (sim *simulation) execute(t *simTarget, intent core.Intent) bool {
	if t.info.ChecksFencing {
		if intent.Epoch < t.epoch {
			return false
		}
		t.epoch = intent.Epoch
	}
	if intent.Kind == core.IntentLoad {
		if !t.resident[intent.Adapter] && len(t.resident) >= t.info.Slots {
			return false
		}
		t.resident[intent.Adapter] = true
		return true
	}
	for id, adapter := range t.running {
		if adapter == intent.Adapter {
			sim.t.Fatalf("order %+v evicts an adapter that serves request %s", intent, id)
		}
	}
	had := t.resident[intent.Adapter]
	delete(t.resident, intent.Adapter)
	return had || !sim.evictFails
}

// instanceName returns the name of the instance, which changes with each restart.
func (t *simTarget) instanceName() string { return fmt.Sprintf("i%d", t.instance) }

// reportState executes or drops the late orders of stopped senders, and then sends
// a state report to a core.
func (sim *simulation) reportState(o *owner, t *simTarget) {
	if !t.listed && sim.chance("unlisted is silent", 50) {
		return
	}
	var kept []*lateOrder
	for _, late := range t.lateOrders {
		if !late.senderStopped {
			kept = append(kept, late)
		} else if sim.chance("late order of a stopped sender is executed", 50) {
			sim.execute(t, late.intent)
		}
	}
	t.lateOrders = kept
	if t.info.ChecksFencing {
		t.epoch = max(t.epoch, o.epoch)
	}
	state := core.TargetState{Target: t.info.Name, Instance: t.instanceName(), RequestedAt: sim.now}
	for n := range simAdapters {
		a := model.AdapterVersion{Organisation: fmt.Sprintf("org%d", n%2), Adapter: fmt.Sprintf("a%d", n), Version: "1"}
		if t.resident[a] {
			state.Resident = append(state.Resident, a)
		}
	}
	for n := range sim.nextID {
		if id := requestID(n); t.running[id] != (model.AdapterVersion{}) {
			state.Running = append(state.Running, id)
		}
	}
	o.inbox = append(o.inbox, state)
}

// requestID returns the ID of request n.
func requestID(n int) model.RequestID { return model.RequestID(fmt.Sprintf("r%03d", n)) }

// confirmEpoch makes a VM refuse older epochs and stops the older cores that it
// runs. A paused VM is asked again later.
func (sim *simulation) confirmEpoch(o *owner, vm *simVM) {
	if vm.gone || vm.epoch > o.epoch {
		return
	}
	if vm.paused {
		o.outbox = append(o.outbox, core.RequestEpochConfirmation{Holder: vm.holder})
		return
	}
	vm.epoch = o.epoch
	e := core.EpochConfirmed{Holder: vm.holder}
	for _, h := range vm.held {
		e.Permits = append(e.Permits, h.permit)
	}
	sim.stopOwners(vm, o.epoch)
	o.inbox = append(o.inbox, e)
}

// stopOwners stops the cores of a VM whose epoch is below a limit. Their late
// orders are executed or dropped before the next state report.
func (sim *simulation) stopOwners(vm *simVM, limit model.Epoch) {
	for _, former := range sim.owners {
		if former.vm != vm || former.epoch >= limit || former.stopped {
			continue
		}
		former.stopped = true
		former.outbox, former.inbox = nil, nil
		for _, t := range sim.targets {
			for _, late := range t.lateOrders {
				late.senderStopped = late.senderStopped || late.owner == former
			}
		}
	}
}

// dispatch sends a permitted request to its target. It fails the test if the target
// does not have the adapter although it has not restarted since the grant.
func (sim *simulation) dispatch(vm *simVM, h *heldPermit) {
	t := sim.target(h.permit.Target.Name)
	if !t.resident[h.request.Adapter] {
		if h.knownInstance == t.instanceName() {
			sim.t.Fatalf("permit %+v for an adapter that is not resident", h.permit)
		}
		sim.release(vm, h, core.OutcomeFailed)
		return
	}
	h.sent = true
	sim.dispatched[h.request.ID] = true
	t.running[h.request.ID] = h.request.Adapter
}

// release ends a held permit. The release goes to the owners up to the epoch that
// the VM has confirmed, and sometimes also to newer ones.
func (sim *simulation) release(vm *simVM, h *heldPermit, outcome core.Outcome) {
	for i, other := range vm.held {
		if other == h {
			vm.held = append(vm.held[:i:i], vm.held[i+1:]...)
			break
		}
	}
	event := core.PermitReleased{ID: h.request.ID, Target: h.permit.Target.Name, Outcome: outcome}
	known := max(vm.epoch, h.permit.Epoch)
	if sim.chance("release to newer owners", 50) {
		known = sim.epoch
	}
	for _, o := range sim.owners {
		if o.epoch >= h.permit.Epoch && o.epoch <= known && !o.stopped {
			o.inbox = append(o.inbox, event)
		}
	}
}
