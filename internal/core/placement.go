package core

import "cicadaslip/internal/model"

// updateWanting keeps the table of adapters that need a load.
func (c *Core) updateWanting(a *adapterRow) {
	if a.key.application != "" || a.wanting || a.waiting == 0 || a.anyUsable() {
		return
	}
	a.wanting = true
	c.wanting = append(c.wanting, a)
}

func (c *Core) applyLoadPermitted(e LoadPermitted) {
	a := c.adapters[adapterKey{version: e.Adapter}]
	if a != nil && a.asked {
		a.permitted = true
	}
}

// runPlacement asks for load permits and starts the loads that are permitted.
func (c *Core) runPlacement(now Time) {
	c.dropSatisfied()
	if c.storeDown || c.draining {
		return
	}
	c.askLoads(now)
	for _, a := range c.wanting {
		if a.permitted && !a.loading(now, c.params.LoadLimit) {
			c.startLoad(now, a)
		}
	}
}

// dropSatisfied removes adapters that need no load any more.
func (c *Core) dropSatisfied() {
	kept := c.wanting[:0]
	for _, a := range c.wanting {
		if a.waiting > 0 && !a.anyUsable() {
			kept = append(kept, a)
			continue
		}
		a.wanting = false
		if a.asked || a.permitted {
			c.emit(CancelLoadPermit{Adapter: a.key.version})
		}
		a.asked, a.permitted = false, false
	}
	clear(c.wanting[len(kept):])
	c.wanting = kept
}

func (c *Core) askLoads(now Time) {
	asked := 0
	for _, a := range c.wanting {
		if a.asked {
			asked++
		}
	}
	for _, a := range c.wanting {
		if asked >= c.params.MaxLoadAsks {
			return
		}
		if a.asked || a.loading(now, c.params.LoadLimit) {
			continue
		}
		a.asked = true
		asked++
		c.emit(c.loadAsk(a))
	}
}

func (c *Core) loadAsk(a *adapterRow) AskLoadPermit {
	ask := AskLoadPermit{Adapter: a.key.version}
	for _, lane := range a.lanes {
		for r := lane.head; r != nil; r = r.next {
			ask.Worth += r.Worth
			if ask.Due == 0 || r.due < ask.Due {
				ask.Due = r.due
			}
		}
	}
	return ask
}

// startLoad places a load on the target with the most free slots, or in the
// slot of the adapter that was least recently used.
func (c *Core) startLoad(now Time, a *adapterRow) {
	var target *targetRow
	var victim *slotRow
	for _, t := range c.targets {
		if !c.mayLoad(now, t, a) {
			continue
		}
		if t.freeSlots() > 0 {
			if target == nil || t.freeSlots() > target.freeSlots() {
				target = t
			}
			continue
		}
		if v := c.leastRecentlyUsed(t); v != nil && (victim == nil || v.usedAt < victim.usedAt) {
			victim = v
		}
	}
	switch {
	case target != nil:
		c.placeLoad(now, a, target, nil)
	case victim != nil:
		c.placeLoad(now, a, victim.target, victim)
	}
}

func (c *Core) placeLoad(now Time, a *adapterRow, t *targetRow, victim *slotRow) {
	a.permitted, a.asked = false, false
	s := t.slotOrNew(a)
	var evict *intentRow
	if victim != nil {
		evict = c.newIntent(now, IntentEvict, victim)
		c.setSlot(now, victim, slotEvicting)
	}
	load := c.newIntent(now, IntentLoad, s)
	c.setSlot(now, s, slotLoading)
	if evict != nil {
		load.after, evict.next = evict, load
	}
}

func (c *Core) mayLoad(now Time, t *targetRow, a *adapterRow) bool {
	if !t.open() || t.info.Class != model.ClassRunner || t.info.BaseModel != a.baseModel || !t.stateKnown {
		return false
	}
	s := t.slot(a)
	return s == nil || (s.state == slotAbsent && !s.barred && s.formerEvicts == 0 && now >= s.retry)
}

func (c *Core) leastRecentlyUsed(t *targetRow) *slotRow {
	if !c.mayEvict(t) {
		return nil
	}
	var victim *slotRow
	for _, s := range t.slots {
		if s.usable() && s.pins == 0 && (victim == nil || s.usedAt < victim.usedAt) {
			victim = s
		}
	}
	return victim
}
