package core

import "cicadaslip/internal/model"

// intentEpochShift places the epoch above the number in intent identifiers, so
// that two owners never choose the same one.
const intentEpochShift = 32

func (c *Core) newIntent(now Time, kind IntentKind, s *slotRow) *intentRow {
	c.intentCount++
	row := &intentRow{
		intent: Intent{
			ID:    uint64(c.epoch)<<intentEpochShift | c.intentCount,
			Epoch: c.epoch, Kind: kind, Target: s.target.info.Name, Adapter: s.adapter.key.version,
		},
		slot: s, createdAt: now,
	}
	c.intents = append(c.intents, row)
	c.intentIndex[row.intent.ID] = row
	s.intent = row
	c.emit(StoreIntent{Intent: row.intent})
	return row
}

// own returns the row of an intent of this owner.
func (c *Core) own(id uint64) *intentRow {
	row := c.intentIndex[id]
	if row == nil || row.former {
		return nil
	}
	return row
}

// resolve removes an intent whose order has no further effect.
func (c *Core) resolve(row *intentRow) {
	c.forget(row)
	c.emit(ClearIntent{ID: row.intent.ID})
}

func (c *Core) forget(row *intentRow) {
	delete(c.intentIndex, row.intent.ID)
	c.intents = without(c.intents, row)
	if row.slot != nil && row.slot.intent == row {
		row.slot.intent = nil
	}
	if row.after != nil {
		row.after.next = nil
	}
}

func (c *Core) sendOrder(now Time, row *intentRow) {
	row.phase, row.sentAt = intentSent, now
	row.slot.changedAt = now
	c.emit(SendOrder{Intent: row.intent})
}

func (c *Core) applyIntentStored(now Time, id uint64) {
	row := c.own(id)
	if row == nil || row.phase != intentStoring {
		return
	}
	row.phase = intentStored
	if row.after == nil {
		c.sendOrder(now, row)
	}
}

func (c *Core) applyIntentRejected(now Time, id uint64) {
	row := c.own(id)
	if row == nil || row.phase != intentStoring {
		return
	}
	if row.intent.Kind == IntentLoad {
		c.forget(row)
		c.endLoad(now, row)
		return
	}
	c.forget(row)
	c.keepEvicted(now, row)
}

func (c *Core) applyOrderDone(now Time, id uint64) {
	row := c.own(id)
	if row == nil || row.phase < intentSent {
		return
	}
	if row.restarted {
		c.applyOrderUnknown(now, id)
		return
	}
	if row.intent.Kind == IntentEvict {
		c.finishEvict(now, row)
		return
	}
	c.resolve(row)
	c.setSlot(now, row.slot, slotResident)
}

func (c *Core) applyOrderFailed(now Time, id uint64) {
	row := c.own(id)
	switch {
	case row == nil || row.phase < intentSent:
	case row.resent:
		c.applyOrderUnknown(now, id) // the first copy may still take effect
	case row.intent.Kind == IntentLoad:
		c.failLoad(now, row)
	default:
		c.resolve(row)
		row.restarted = true // the target may have refused because it has no such adapter
		c.keepEvicted(now, row)
	}
}

func (c *Core) applyOrderUnknown(now Time, id uint64) {
	row := c.own(id)
	if row == nil || row.phase != intentSent {
		return
	}
	row.phase, row.unknownAt = intentUnknown, now
	row.slot.changedAt = now
	row.slot.target.wantState = true
}

// finishEvict frees the slot and lets the load that waits for it go ahead. An
// absent adapter shows that an order of unknown effect was carried out, unless
// the target restarted: then the order may still reach the new instance, and
// the adapter is barred from the target until the next restart.
func (c *Core) finishEvict(now Time, row *intentRow) {
	next := row.next
	if row.resent || (row.phase == intentUnknown && row.restarted) {
		c.bar(row)
	} else {
		c.resolve(row)
	}
	c.setSlot(now, row.slot, slotAbsent)
	if next == nil {
		return
	}
	next.after, row.next = nil, nil
	if next.phase == intentStored {
		c.sendOrder(now, next)
	}
}

// bar keeps an adapter off the target until its next restart, because another
// copy of the evict order may still take effect. The intent stays in the store
// meanwhile, so that a later owner knows of it.
func (c *Core) bar(row *intentRow) {
	c.forget(row)
	row.slot.barred = true
	row.slot.barredBy = append(row.slot.barredBy, row.intent.ID)
}

// unbar ends the bar after a restart of the target.
func (c *Core) unbar(s *slotRow) {
	s.barred = false
	for _, id := range s.barredBy {
		c.emit(ClearIntent{ID: id})
	}
	s.barredBy = nil
}

// keepEvicted enters that the adapter of an evict intent stays on its target.
// The load that waited for the slot is given up; its order was never sent.
func (c *Core) keepEvicted(now Time, row *intentRow) {
	next := row.next
	c.setSlot(now, row.slot, slotResident)
	if row.restarted {
		c.setSlot(now, row.slot, slotAbsent) // until a statement shows it
		row.slot.target.wantState = true
	}
	if next == nil {
		return
	}
	row.next, next.after = nil, nil
	c.resolve(next)
	c.endLoad(now, next)
	next.slot.adapter.permitted = true // the load permit was not used
}

// failLoad frees the slot of a load that certainly did not and will not happen.
func (c *Core) failLoad(now Time, row *intentRow) {
	row.slot.target.loadFailed, row.slot.target.loadFailedAt = true, now
	c.resolve(row)
	c.endLoad(now, row)
}

func (c *Core) endLoad(now Time, row *intentRow) {
	row.slot.retry = now + c.params.LoadBackoff
	c.setSlot(now, row.slot, slotAbsent)
}

// runOrders asks for the state of targets with orders of unknown effect.
func (c *Core) runOrders() {
	for _, row := range c.intents {
		if row.phase == intentUnknown {
			row.slot.target.wantState = true
		}
	}
}

// runFormerIntents resolves the intents of former owners.
func (c *Core) runFormerIntents(now Time) {
	for _, row := range append([]*intentRow(nil), c.intents...) {
		if !row.former {
			continue
		}
		if c.formerSettled(row) {
			c.resolveFormer(now, row)
			continue
		}
		row.slot.target.wantState = true
	}
}

// formerSettled reports whether a former owner's order can have no effect
// after the target's last statement. A target that checks the fencing token
// refuses older orders once it has answered a query of this epoch. On others
// the former owner must first have stopped.
func (c *Core) formerSettled(row *intentRow) bool {
	t := row.slot.target
	if t.info.ChecksFencing && t.present {
		return t.stateKnown
	}
	stoppedAt, stopped := c.stopped(row.intent.Epoch)
	if !stopped {
		return false
	}
	return !t.present || (t.stateKnown && t.stateAsked > stoppedAt)
}

// stopped returns when the owner of an earlier epoch confirmed this epoch or
// was found gone. The owner of the last epoch is known; for older epochs every
// registered VM must have stopped.
func (c *Core) stopped(epoch model.Epoch) (Time, bool) {
	if epoch+1 != c.epoch {
		return c.barrierAt, c.barrier
	}
	for _, v := range c.vms {
		if v.holder == c.formerOwner {
			return v.doneAt, v.done()
		}
	}
	return 0, false
}

func (c *Core) resolveFormer(now Time, row *intentRow) {
	s := row.slot
	if row.intent.Kind == IntentEvict {
		s.formerEvicts--
	} else {
		s.formerLoads--
	}
	c.resolve(row)
	c.setSlotSeen(now, s)
}

// setSlotSeen lets the systems look at a slot again without a change of state.
func (c *Core) setSlotSeen(_ Time, s *slotRow) {
	c.markTarget(s.target)
	c.markAdapter(s.adapter)
	if s.removable() {
		s.target.removeSlot(s)
	}
}
