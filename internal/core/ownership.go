package core

import (
	"slices"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

func (c *Core) applyTakenOver(now Time, e TakenOver) {
	c.resetOwnership()
	c.isOwner, c.epoch, c.takenOverAt, c.formerOwner = true, e.Epoch, now, e.FormerOwner
	for _, holder := range e.Registered {
		c.addVM(now, holder)
	}
	if (e.FormerOwner != model.Holder{}) {
		c.addVM(now, e.FormerOwner)
	}
	for _, intent := range e.FormerIntents {
		c.addFormerIntent(intent)
	}
	c.checkBarrier(now)
	c.targetsChanged = true
}

// addVM adds a VM that must confirm the epoch, unless it is already in the list.
// The former owner must confirm even if its registration was already removed.
func (c *Core) addVM(now Time, holder model.Holder) {
	for _, v := range c.vms {
		if v.holder == holder {
			return
		}
	}
	c.vms = append(c.vms, &vmRow{holder: holder, gone: c.gone[holder], doneAt: now})
}

// resetOwnership clears the permits, intents and target states of an earlier
// ownership. Queued requests stay.
func (c *Core) resetOwnership() {
	c.vms, c.intents, c.pendingEnd = nil, nil, nil
	c.barrierPassed = false
	clear(c.intentIndex)
	clear(c.permits)
	clear(c.releasedEarly)
	for _, t := range c.targets {
		t.stateKnown, t.requested, t.long = false, false, 0
		clear(t.permits)
		clear(t.unpermitted)
		clear(t.released)
		for _, s := range append([]*slotRow(nil), t.slots...) {
			t.removeSlot(s)
		}
		c.markTarget(t)
	}
	for _, a := range c.awaitingLoad {
		a.reservation = nil
		a.requested, a.permitReceived = false, false
		c.markAdapter(a)
	}
}

// addFormerIntent adds an unresolved intent of a former owner, and its target if
// it is not in the table.
func (c *Core) addFormerIntent(intent Intent) {
	t := c.targetIndex[intent.Target]
	if t == nil {
		c.listTarget(model.Target{Name: intent.Target, Class: model.ClassRunner})
		t = c.targetIndex[intent.Target]
		t.listed = false
	}
	s := t.ensureSlot(c.adapter(adapterKey{version: intent.Adapter}))
	row := &intentRow{intent: intent, slot: s, former: true, phase: intentSent}
	c.intents = append(c.intents, row)
	c.intentIndex[intent.ID] = row
	if intent.Kind == IntentEvict {
		s.formerEvicts++
	} else {
		s.formerLoads++
	}
}

// vm returns the row of a VM that must confirm the epoch, or nil.
func (c *Core) vm(holder model.Holder) *vmRow {
	for _, v := range c.vms {
		if v.holder == holder {
			return v
		}
	}
	return nil
}

func (c *Core) applyEpochConfirmed(now Time, e EpochConfirmed) {
	v := c.vm(e.Holder)
	if v == nil || v.done() {
		return // a later list may contain permits of this epoch that have ended since
	}
	v.confirmed, v.doneAt = true, now
	for _, permit := range e.Permits {
		if permit.Epoch < c.epoch && !c.releasedEarly[permitKey{permit.Request, permit.Target.Name}] {
			c.adoptPermit(permit, e.Holder)
		}
	}
	c.checkBarrier(now)
}

// adoptPermit adds a permit of an earlier epoch that its holder has listed.
func (c *Core) adoptPermit(permit Permit, holder model.Holder) {
	t := c.targetIndex[permit.Target.Name]
	if t == nil {
		c.listTarget(permit.Target)
		t = c.targetIndex[permit.Target.Name]
		t.listed = false
	}
	if t.permits[permit.Request] != nil {
		return
	}
	p := &permitRow{permit: permit, holder: holder, target: t}
	if !permit.Adapter.IsZero() {
		p.slot = t.ensureSlot(c.adapter(adapterKey{version: permit.Adapter}))
		p.slot.pins++
	}
	c.permits[permitKey{permit.Request, t.info.Name}] = p
	t.permits[permit.Request] = p
	delete(t.unpermitted, permit.Request)
}

func (c *Core) applyHolderGone(now Time, holder model.Holder) {
	if c.gone[holder] {
		return
	}
	c.gone[holder] = true
	if v := c.vm(holder); v != nil && !v.done() {
		v.gone, v.doneAt = true, now
	}
	for _, t := range c.targets {
		for _, id := range sortedIDs(t.permits) {
			if p := t.permits[id]; p.holder == holder {
				c.recordUsage(p, PermitReleased{Outcome: OutcomeFailed})
				c.deferEnd(p)
			}
		}
	}
	c.refuseQueuedOf(holder)
	c.checkBarrier(now)
}

// refuseQueuedOf refuses the queued requests of a holder that is gone.
func (c *Core) refuseQueuedOf(holder model.Holder) {
	for _, id := range sortedIDs(c.requests) {
		if r := c.requests[id]; r.Holder == holder {
			c.refuse(r, errs.NotRun(errs.Cancelled, "the holder of the request is gone"))
		}
	}
}

// checkBarrier passes the takeover barrier if every VM that must confirm the epoch
// has confirmed it or is gone.
func (c *Core) checkBarrier(now Time) {
	if c.barrierPassed || !c.isOwner {
		return
	}
	for _, v := range c.vms {
		if !v.done() {
			return
		}
	}
	c.barrierPassed, c.barrierPassedAt = true, now
	clear(c.releasedEarly)
}

// runBarrier asks the VMs that the barrier waits for to confirm the epoch, every
// ConfirmRetryInterval.
func (c *Core) runBarrier(now Time) {
	if c.barrierPassed {
		return
	}
	for _, v := range c.vms {
		if v.done() || (v.requested && now-v.requestedAt < c.params.ConfirmRetryInterval) {
			continue
		}
		v.requested, v.requestedAt = true, now
		c.emit(RequestEpochConfirmation{Holder: v.holder})
	}
}

// mayEvict reports whether any eviction from the target is allowed. A VM may have
// gone away without listing its permits, or may have abandoned, before it confirmed
// the epoch, a request that still runs. Such requests are visible only in a state
// report that was requested after the barrier was passed. The report does not name
// their adapters, so nothing is evicted until they have ended.
func (c *Core) mayEvict(t *targetRow) bool {
	if !c.barrierPassed || !t.stateKnown || len(t.unpermitted) > 0 {
		return false
	}
	return t.stateRequestedAt > c.barrierPassedAt
}

// sortedIDs returns the keys of a map in a fixed order, so that decisions do not
// depend on the iteration order.
func sortedIDs[V any](m map[model.RequestID]V) []model.RequestID {
	ids := make([]model.RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
