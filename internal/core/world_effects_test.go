package core_test

import (
	"fmt"

	"pgregory.net/rapid"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

func (w *world) chance(name string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.t, name) < percent
}

// carryOut performs one command of an owner.
func (w *world) carryOut(o *owner, command core.Command) {
	switch c := command.(type) {
	case core.GrantPermit:
		w.receivePermit(o, c.Permit)
	case core.StoreIntent:
		if o.epoch != w.epoch {
			o.inbox = append(o.inbox, core.IntentRejected{ID: c.Intent.ID})
			return
		}
		w.intents[c.Intent.ID] = c.Intent
		o.inbox = append(o.inbox, core.IntentStored{ID: c.Intent.ID})
	case core.ClearIntent:
		if o.epoch == w.epoch {
			delete(w.intents, c.ID)
		}
	case core.SendOrder:
		w.order(o, c.Intent)
	case core.AskLoadPermit:
		o.inbox = append(o.inbox, core.LoadPermitted{Adapter: c.Adapter})
	case core.CancelOnTarget:
		delete(w.target(c.Target).running, c.ID)
	case core.AskTargetState:
		w.answerState(o, w.target(c.Target))
	case core.AskEpochConfirmation:
		w.confirm(o, w.vm(c.Holder))
	}
}

func (w *world) receivePermit(o *owner, p core.Permit) {
	request := o.queued[p.Request]
	vm := w.vm(request.Holder)
	switch {
	case vm.gone:
	case p.Epoch < vm.epoch:
		o.inbox = append(o.inbox, core.PermitReleased{ID: p.Request, Target: p.Target.Name, Outcome: core.OutcomeNotSent})
	default:
		vm.held = append(vm.held, &heldPermit{permit: p, request: request, believed: o.granted[p.Request]})
	}
}

// order lets a target carry out an order, or loses or delays it.
func (w *world) order(o *owner, intent core.Intent) {
	t := w.target(intent.Target)
	w.sent[intent.ID]++
	switch fate := rapid.IntRange(0, 9).Draw(w.t, "order fate"); fate {
	case 0:
		o.inbox = append(o.inbox, core.OrderUnknown{ID: intent.ID})
	case 1, 2:
		t.late = append(t.late, &lateOrder{owner: o, intent: intent})
		o.inbox = append(o.inbox, core.OrderUnknown{ID: intent.ID})
	default:
		if w.execute(t, intent) {
			o.inbox = append(o.inbox, core.OrderDone{ID: intent.ID})
			return
		}
		o.inbox = append(o.inbox, core.OrderFailed{ID: intent.ID, Err: errs.New(errs.TargetRefused, "refused")})
	}
}

// execute carries out an order on a target and reports its success.
func (w *world) execute(t *worldTarget, intent core.Intent) bool {
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
			w.t.Fatalf("order %+v evicts an adapter that serves request %s", intent, id)
		}
	}
	had := t.resident[intent.Adapter]
	delete(t.resident, intent.Adapter)
	return had || !w.evictFails
}

func (t *worldTarget) instanceName() string { return fmt.Sprintf("i%d", t.instance) }

// answerState settles the orders of stopped senders and queues the statement.
func (w *world) answerState(o *owner, t *worldTarget) {
	if !t.listed && w.chance("unlisted is silent", 50) {
		return
	}
	var kept []*lateOrder
	for _, late := range t.late {
		if !late.closing {
			kept = append(kept, late)
		} else if w.chance("closing order has effect", 50) {
			w.execute(t, late.intent)
		}
	}
	t.late = kept
	if t.info.ChecksFencing {
		t.epoch = max(t.epoch, o.epoch)
	}
	state := core.TargetState{Target: t.info.Name, Instance: t.instanceName(), AskedAt: w.now}
	for n := range worldAdapters {
		a := model.AdapterVersion{Organisation: fmt.Sprintf("org%d", n%2), Adapter: fmt.Sprintf("a%d", n), Version: "1"}
		if t.resident[a] {
			state.Resident = append(state.Resident, a)
		}
	}
	for n := range w.nextID {
		if id := requestID(n); t.running[id] != (model.AdapterVersion{}) {
			state.Running = append(state.Running, id)
		}
	}
	o.inbox = append(o.inbox, state)
}

func requestID(n int) model.RequestID { return model.RequestID(fmt.Sprintf("r%03d", n)) }

// confirm lets a VM refuse older epochs and stops the older cores that it runs.
func (w *world) confirm(o *owner, vm *worldVM) {
	if vm.gone || vm.epoch > o.epoch {
		return
	}
	if vm.paused {
		o.outbox = append(o.outbox, core.AskEpochConfirmation{Holder: vm.holder})
		return
	}
	vm.epoch = o.epoch
	e := core.EpochConfirmed{Holder: vm.holder}
	for _, h := range vm.held {
		e.Permits = append(e.Permits, h.permit)
	}
	w.stopOwners(vm, o.epoch)
	o.inbox = append(o.inbox, e)
}

// stopOwners ends the cores of a VM with an epoch below a limit. Their orders
// under way are settled before later state queries.
func (w *world) stopOwners(vm *worldVM, limit model.Epoch) {
	for _, former := range w.owners {
		if former.vm != vm || former.epoch >= limit || former.stopped {
			continue
		}
		former.stopped = true
		former.outbox, former.inbox = nil, nil
		for _, t := range w.targets {
			for _, late := range t.late {
				late.closing = late.closing || late.owner == former
			}
		}
	}
}

// dispatch sends a permitted request to its target.
func (w *world) dispatch(vm *worldVM, h *heldPermit) {
	t := w.target(h.permit.Target.Name)
	if !t.resident[h.request.Adapter] {
		if h.believed == t.instanceName() {
			w.t.Fatalf("permit %+v for an adapter that is not resident", h.permit)
		}
		w.release(vm, h, core.OutcomeFailed)
		return
	}
	h.sent = true
	w.ran[h.request.ID] = true
	t.running[h.request.ID] = h.request.Adapter
}

// release ends a held permit. The release goes to the owners that the VM knows
// of, and sometimes also to newer ones whose epoch it has not confirmed yet.
func (w *world) release(vm *worldVM, h *heldPermit, outcome core.Outcome) {
	for i, other := range vm.held {
		if other == h {
			vm.held = append(vm.held[:i:i], vm.held[i+1:]...)
			break
		}
	}
	event := core.PermitReleased{ID: h.request.ID, Target: h.permit.Target.Name, Outcome: outcome}
	known := max(vm.epoch, h.permit.Epoch)
	if w.chance("release to newer owners", 50) {
		known = w.epoch
	}
	for _, o := range w.owners {
		if o.epoch >= h.permit.Epoch && o.epoch <= known && !o.stopped {
			o.inbox = append(o.inbox, event)
		}
	}
}
