package core

import "cicadaslip/internal/model"

// intentEpochShift is the number of low bits of an intent ID that count the
// intents of one owner. The epoch is stored above them, so that two owners never
// produce the same ID.
const intentEpochShift = 32

// newIntent creates an intent for a slot and emits the command to store it.
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

// ownIntent returns the row of an intent that this core created, or nil.
func (c *Core) ownIntent(id uint64) *intentRow {
	row := c.intentIndex[id]
	if row == nil || row.former {
		return nil
	}
	return row
}

// resolve removes an intent whose order has no further effect, also from the
// store.
func (c *Core) resolve(row *intentRow) {
	c.removeIntent(row)
	c.emit(ClearIntent{ID: row.intent.ID})
}

// removeIntent removes an intent from the tables, but not from the store.
func (c *Core) removeIntent(row *intentRow) {
	delete(c.intentIndex, row.intent.ID)
	c.intents = removeRow(c.intents, row)
	if row.slot != nil && row.slot.intent == row {
		row.slot.intent = nil
	}
	if row.prerequisite != nil {
		row.prerequisite.dependent = nil
	}
}

func (c *Core) sendOrder(now Time, row *intentRow) {
	row.phase, row.sentAt = intentSent, now
	row.slot.changedAt = now
	c.emit(SendOrder{Intent: row.intent})
}

func (c *Core) applyIntentStored(now Time, id uint64) {
	row := c.ownIntent(id)
	if row == nil || row.phase != intentStoring {
		return
	}
	row.phase = intentStored
	if row.prerequisite == nil {
		c.sendOrder(now, row)
	}
}

func (c *Core) applyIntentRejected(now Time, id uint64) {
	row := c.ownIntent(id)
	if row == nil || row.phase != intentStoring {
		return
	}
	if row.intent.Kind == IntentLoad {
		c.removeIntent(row)
		c.abandonLoad(now, row)
		return
	}
	c.removeIntent(row)
	c.abandonEvict(now, row)
}

func (c *Core) applyOrderDone(now Time, id uint64) {
	row := c.ownIntent(id)
	if row == nil || row.phase < intentSent {
		return
	}
	if row.targetRestarted {
		c.applyOrderOutcomeUnknown(now, id)
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
	row := c.ownIntent(id)
	switch {
	case row == nil || row.phase < intentSent:
	case row.resent:
		c.applyOrderOutcomeUnknown(now, id) // the first copy of the order may still take effect
	case row.intent.Kind == IntentLoad:
		c.failLoad(now, row)
	default:
		c.resolve(row)
		// The target may have refused because it does not have the adapter, so
		// the slot is treated as after a restart.
		row.targetRestarted = true
		c.abandonEvict(now, row)
	}
}

func (c *Core) applyOrderOutcomeUnknown(now Time, id uint64) {
	row := c.ownIntent(id)
	if row == nil || row.phase != intentSent {
		return
	}
	row.phase, row.unknownAt = intentUnknown, now
	row.slot.changedAt = now
	row.slot.target.stateNeeded = true
}

// finishEvict frees the slot and sends the dependent load order, if its intent is
// already stored. If the adapter is absent, an evict order of unknown effect was carried out, unless
// the target restarted: then the order may still reach the new instance, and
// the adapter is blocked on the target until the next restart.
func (c *Core) finishEvict(now Time, row *intentRow) {
	dependent := row.dependent
	if row.resent || (row.phase == intentUnknown && row.targetRestarted) {
		c.blockAdapter(row)
	} else {
		c.resolve(row)
	}
	c.setSlot(now, row.slot, slotAbsent)
	if dependent == nil {
		return
	}
	dependent.prerequisite, row.dependent = nil, nil
	if dependent.phase == intentStored {
		c.sendOrder(now, dependent)
	}
}

// blockAdapter prevents loads and use of an adapter on the target until the
// target restarts, because a copy of the evict order may still take effect. The
// intent stays in the store until then, so that a later owner finds it.
func (c *Core) blockAdapter(row *intentRow) {
	c.removeIntent(row)
	row.slot.blocked = true
	row.slot.blockingIntents = append(row.slot.blockingIntents, row.intent.ID)
}

// unblockAdapter allows the adapter on the target again after the target
// restarted, and clears the intents that blocked it.
func (c *Core) unblockAdapter(s *slotRow) {
	s.blocked = false
	for _, id := range s.blockingIntents {
		c.emit(ClearIntent{ID: id})
	}
	s.blockingIntents = nil
}

// abandonEvict marks the adapter of an evict intent as resident again, or as absent
// until the next state report if the target may have lost it. The dependent load
// is abandoned; its order was never sent.
func (c *Core) abandonEvict(now Time, row *intentRow) {
	dependent := row.dependent
	c.setSlot(now, row.slot, slotResident)
	if row.targetRestarted {
		c.setSlot(now, row.slot, slotAbsent) // until a state report lists the adapter
		row.slot.target.stateNeeded = true
	}
	if dependent == nil {
		return
	}
	row.dependent, dependent.prerequisite = nil, nil
	c.resolve(dependent)
	c.abandonLoad(now, dependent)
	dependent.slot.adapter.permitReceived = true // the load permit was not used
}

// failLoad frees the slot of a load order that has had no effect and will have
// none. For loadFailureAvoidance, loads go to other targets if possible.
func (c *Core) failLoad(now Time, row *intentRow) {
	row.slot.target.loadFailed, row.slot.target.loadFailedAt = true, now
	c.resolve(row)
	c.abandonLoad(now, row)
}

// abandonLoad marks the adapter of a load intent as absent and delays the next
// load of it on the target by LoadBackoff.
func (c *Core) abandonLoad(now Time, row *intentRow) {
	row.slot.loadRetryAt = now + c.params.LoadBackoff
	c.setSlot(now, row.slot, slotAbsent)
}

// runUnknownOrders marks the targets of orders of unknown effect for a state
// request.
func (c *Core) runUnknownOrders() {
	for _, row := range c.intents {
		if row.phase == intentUnknown {
			row.slot.target.stateNeeded = true
		}
	}
}

// runFormerIntents resolves the intents of former owners whose orders can have no
// further effect, and marks the targets of the other orders for a state request.
func (c *Core) runFormerIntents(now Time) {
	for _, row := range append([]*intentRow(nil), c.intents...) {
		if !row.former {
			continue
		}
		if c.formerOrderSettled(row) {
			c.resolveFormerIntent(now, row)
			continue
		}
		row.slot.target.stateNeeded = true
	}
}

// formerOrderSettled reports whether a former owner's order can have no effect
// after the target's last state report. A target that checks the fencing token
// refuses older orders once it has answered a state request of this epoch. For
// any other target, the former owner must have stopped before the report was
// requested.
func (c *Core) formerOrderSettled(row *intentRow) bool {
	t := row.slot.target
	if t.info.ChecksFencing && t.listed {
		return t.stateKnown
	}
	stoppedAt, ownerStopped := c.ownerStopped(row.intent.Epoch)
	if !ownerStopped {
		return false
	}
	return !t.listed || (t.stateKnown && t.stateRequestedAt > stoppedAt)
}

// ownerStopped returns when the owner of an earlier epoch confirmed this epoch or
// was found gone. Only the owner of the last epoch is known; for older epochs
// every VM that must confirm the epoch must have confirmed it or be gone.
func (c *Core) ownerStopped(epoch model.Epoch) (Time, bool) {
	if epoch+1 != c.epoch {
		return c.barrierPassedAt, c.barrierPassed
	}
	for _, v := range c.vms {
		if v.holder == c.formerOwner {
			return v.doneAt, v.done()
		}
	}
	return 0, false
}

func (c *Core) resolveFormerIntent(now Time, row *intentRow) {
	s := row.slot
	if row.intent.Kind == IntentEvict {
		s.formerEvicts--
	} else {
		s.formerLoads--
	}
	c.resolve(row)
	c.revisitSlot(now, s)
}

// revisitSlot marks the target and the adapter of a slot for dispatch, and removes
// the slot row if it holds no information. The state of the slot stays.
func (c *Core) revisitSlot(_ Time, s *slotRow) {
	c.markTarget(s.target)
	c.markAdapter(s.adapter)
	if s.removable() {
		s.target.removeSlot(s)
	}
}
