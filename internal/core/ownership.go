package core

import (
	"slices"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

func (c *Core) applyTakenOver(now Time, e TakenOver) {
	c.resetOwnership()
	c.owner, c.epoch, c.takenAt, c.formerOwner = true, e.Epoch, now, e.FormerOwner
	for _, holder := range e.Registered {
		c.addVM(now, holder)
	}
	if (e.FormerOwner != model.Holder{}) {
		c.addVM(now, e.FormerOwner)
	}
	for _, intent := range e.Former {
		c.addFormer(intent)
	}
	c.checkBarrier(now)
	c.targetsChanged = true
}

// addVM enters a VM that must confirm the epoch. The former owner is among
// them even if its registration was already removed.
func (c *Core) addVM(now Time, holder model.Holder) {
	for _, v := range c.vms {
		if v.holder == holder {
			return
		}
	}
	c.vms = append(c.vms, &vmRow{holder: holder, gone: c.gone[holder], doneAt: now})
}

// resetOwnership forgets what an earlier ownership knew about targets. Queued
// requests stay.
func (c *Core) resetOwnership() {
	c.vms, c.intents, c.ending = nil, nil, nil
	c.barrier = false
	clear(c.intentIndex)
	clear(c.permits)
	clear(c.early)
	for _, t := range c.targets {
		t.stateKnown, t.asked, t.long = false, false, 0
		clear(t.permits)
		clear(t.unknown)
		clear(t.released)
		for _, s := range append([]*slotRow(nil), t.slots...) {
			t.removeSlot(s)
		}
		c.markTarget(t)
	}
	for _, a := range c.wanting {
		a.claim = nil
		a.asked, a.permitted = false, false
		c.markAdapter(a)
	}
}

func (c *Core) addFormer(intent Intent) {
	t := c.targetIndex[intent.Target]
	if t == nil {
		c.listTarget(model.Target{Name: intent.Target, Class: model.ClassRunner})
		t = c.targetIndex[intent.Target]
		t.present = false
	}
	s := t.slotOrNew(c.adapter(adapterKey{version: intent.Adapter}))
	row := &intentRow{intent: intent, slot: s, former: true, phase: intentSent}
	c.intents = append(c.intents, row)
	c.intentIndex[intent.ID] = row
	if intent.Kind == IntentEvict {
		s.formerEvicts++
	} else {
		s.formerLoads++
	}
}

func (c *Core) vm(holder model.Holder) *vmRow {
	for _, v := range c.vms {
		if v.holder == holder {
			return v
		}
	}
	return nil
}

func (c *Core) applyConfirmed(now Time, e EpochConfirmed) {
	v := c.vm(e.Holder)
	if v == nil || v.done() {
		return // a later list may show permits of this epoch that have ended since
	}
	v.confirmed, v.doneAt = true, now
	for _, permit := range e.Permits {
		if permit.Epoch < c.epoch && !c.early[permitKey{permit.Request, permit.Target.Name}] {
			c.adoptPermit(permit, e.Holder)
		}
	}
	c.checkBarrier(now)
}

// adoptPermit enters a permit of an earlier epoch.
func (c *Core) adoptPermit(permit Permit, holder model.Holder) {
	t := c.targetIndex[permit.Target.Name]
	if t == nil {
		c.listTarget(permit.Target)
		t = c.targetIndex[permit.Target.Name]
		t.present = false
	}
	if t.permits[permit.Request] != nil {
		return
	}
	p := &permitRow{permit: permit, holder: holder, target: t}
	if !permit.Adapter.IsZero() {
		p.slot = t.slotOrNew(c.adapter(adapterKey{version: permit.Adapter}))
		p.slot.pins++
	}
	c.permits[permitKey{permit.Request, t.info.Name}] = p
	t.permits[permit.Request] = p
	delete(t.unknown, permit.Request)
}

func (c *Core) applyGone(now Time, holder model.Holder) {
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
				c.record(p, PermitReleased{Outcome: OutcomeFailed})
				c.startEnding(p)
			}
		}
	}
	c.dropQueued(holder)
	c.checkBarrier(now)
}

// dropQueued refuses the queued requests of a gone holder.
func (c *Core) dropQueued(holder model.Holder) {
	for _, id := range sortedIDs(c.requests) {
		if r := c.requests[id]; r.Holder == holder {
			c.refuse(r, errs.NotRun(errs.Cancelled, "the holder of the request is gone"))
		}
	}
}

func (c *Core) checkBarrier(now Time) {
	if c.barrier || !c.owner {
		return
	}
	for _, v := range c.vms {
		if !v.done() {
			return
		}
	}
	c.barrier, c.barrierAt = true, now
	clear(c.early)
}

// runBarrier asks the VMs that have not confirmed the epoch.
func (c *Core) runBarrier(now Time) {
	if c.barrier {
		return
	}
	for _, v := range c.vms {
		if v.done() || (v.asked && now-v.askedAt < c.params.ConfirmRetry) {
			continue
		}
		v.asked, v.askedAt = true, now
		c.emit(AskEpochConfirmation{Holder: v.holder})
	}
}

// mayEvict reports whether evictions from the target are allowed at all. A VM
// may have gone away without listing its permits, or may have given up a
// request, before it confirmed the epoch, that still runs. Such requests are
// seen only in a statement that was asked for after the barrier. It does not
// name their adapters, so nothing is evicted until they have ended.
func (c *Core) mayEvict(t *targetRow) bool {
	if !c.barrier || !t.stateKnown || len(t.unknown) > 0 {
		return false
	}
	return t.stateAsked > c.barrierAt
}

func sortedIDs[V any](m map[model.RequestID]V) []model.RequestID {
	ids := make([]model.RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
