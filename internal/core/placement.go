package core

import (
	"cmp"
	"slices"
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/placement"
)

const (
	// rescoreInterval is the time between two orderings of the adapters that
	// wait for a load. Loads take a quarter of a second at best.
	rescoreInterval = 50 * time.Millisecond
	// placeRetry is the time between two attempts to find a slot for a
	// permitted load.
	placeRetry = 20 * time.Millisecond
	// repeatGrowth is the growth of the waiting worth from which a load permit
	// is asked for again.
	repeatGrowth = 2.0
	// strandedDemand is the decayed number of requests from which an adapter
	// that only slow targets have is worth a load.
	strandedDemand = 3.0
	// strandedSlack is the urgency of such a load.
	strandedSlack = time.Second
)

// updateWanting enters an adapter that needs a load into its table.
func (c *Core) updateWanting(now Time, a *adapterRow) {
	if !a.wanting && c.wantsLoad(now, a) {
		a.wanting = true
		c.wanting = append(c.wanting, a)
		c.scoredAt = 0 // new needs are ordered at once
	}
}

// wantsLoad reports whether requests wait for an adapter that no target has,
// or that only full targets have while others have free capacity.
func (c *Core) wantsLoad(now Time, a *adapterRow) bool {
	if a.key.application != "" {
		return false
	}
	if c.stranded(now, a) {
		return true
	}
	if a.waiting == 0 || !a.anyUsable() {
		return a.waiting > 0
	}
	return c.policies.place.AllowsReplica(a.waiting) && !c.hasRoom(a) && c.otherHasRoom(a)
}

// stranded reports whether an adapter in demand is resident on slow targets
// only. Its requests are served there, and it is loaded elsewhere meanwhile.
func (c *Core) stranded(now Time, a *adapterRow) bool {
	usable := false
	for _, s := range a.slots {
		if s.usable() && s.target.open() {
			if !c.policies.slow.Slow(s.target.index) {
				return false
			}
			usable = true
		}
	}
	return usable && a.demand.read(now) >= strandedDemand
}

func (c *Core) otherHasRoom(a *adapterRow) bool {
	for _, t := range c.targets {
		if t.open() && t.free() > 0 && t.info.BaseModel == a.baseModel && t.slot(a) == nil {
			return true
		}
	}
	return false
}

func (c *Core) applyLoadPermitted(e LoadPermitted) {
	a := c.adapters[adapterKey{version: e.Adapter}]
	if a != nil && a.asked {
		a.permitted = true
	}
}

// runPlacement asks for load permits and starts the loads that are permitted.
func (c *Core) runPlacement(now Time) {
	c.dropSatisfied(now)
	if c.storeDown || c.draining || len(c.wanting) == 0 {
		return
	}
	if c.scoredAt == 0 || now-c.scoredAt >= rescoreInterval {
		c.scoredAt = now
		c.askLoads(now)
	}
	for _, a := range c.wanting {
		if a.permitted && now >= a.placeAt && !a.loading(now, c.params.LoadLimit) {
			a.placeAt = now + placeRetry
			c.startLoad(now, a)
		}
	}
}

// dropSatisfied removes adapters that need no load any more.
func (c *Core) dropSatisfied(now Time) {
	kept := c.wanting[:0]
	for _, a := range c.wanting {
		if c.wantsLoad(now, a) {
			kept = append(kept, a)
			continue
		}
		a.wanting = false
		c.unclaim(a)
		c.withdraw(a)
	}
	clear(c.wanting[len(kept):])
	c.wanting = kept
}

func (c *Core) withdraw(a *adapterRow) {
	if a.asked || a.permitted {
		c.emit(CancelLoadPermit{Adapter: a.key.version})
	}
	a.asked, a.permitted = false, false
}

// askLoads asks for the most valuable loads and repeats a request when the
// worth of what waits has grown.
func (c *Core) askLoads(now Time) {
	asked := c.scoreNeeds(now)
	for i := range c.needs {
		n := &c.needs[i]
		switch {
		case n.adapter.asked:
			if n.Worth >= repeatGrowth*n.adapter.askedWorth && !n.adapter.permitted {
				c.ask(now, n)
			}
		case asked < c.params.MaxLoadAsks:
			asked++
			c.ask(now, n)
		case i < c.params.MaxLoadAsks/2 && c.displace():
			c.ask(now, n)
		}
	}
}

// scoreNeeds fills the list of needs, the most valuable first, and returns how
// many of them were asked for.
func (c *Core) scoreNeeds(now Time) (asked int) {
	c.needs = c.needs[:0]
	for _, a := range c.wanting {
		if a.loading(now, c.params.LoadLimit) {
			continue
		}
		c.needs = append(c.needs, needRow{PendingLoad: c.need(now, a), adapter: a})
		n := &c.needs[len(c.needs)-1]
		n.score = c.policies.place.Score(&n.PendingLoad)
		if a.asked {
			asked++
		}
	}
	if len(c.needs) > c.params.MaxLoadAsks {
		slices.SortFunc(c.needs, compareNeeds)
	}
	return asked
}

func (c *Core) ask(now Time, n *needRow) {
	n.adapter.asked, n.adapter.askedWorth = true, n.Worth
	c.emit(AskLoadPermit{Adapter: n.adapter.key.version, Worth: n.Worth, Due: now + n.Slack})
}

// displace withdraws the least valuable request for a load permit that is not
// among the best. Only needs in the upper half displace others, so that needs
// of like value do not cause messages at every ordering.
func (c *Core) displace() bool {
	for i := len(c.needs) - 1; i >= c.params.MaxLoadAsks; i-- {
		if a := c.needs[i].adapter; a.asked && !a.permitted {
			c.withdraw(a)
			return true
		}
	}
	return false
}

// needRow is an adapter's need for a load, as scored.
type needRow struct {
	placement.PendingLoad
	adapter *adapterRow
	score   float64
}

// compareNeeds orders by score, then by arrival. Arrival numbers are unique
// but for adapters without waiting requests, which compare by name.
func compareNeeds(a, b needRow) int {
	return cmp.Or(
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.adapter.key.version.Adapter, b.adapter.key.version.Adapter),
	)
}

// need describes what waits for the adapter, from the heads of its lanes.
func (c *Core) need(now Time, a *adapterRow) placement.PendingLoad {
	n := placement.PendingLoad{Waiting: a.waiting, Worth: a.worth, Demand: a.demand.read(now), Replica: a.anyUsable()}
	if a.waiting == 0 {
		n.Worth, n.Slack = a.typicalWorth, strandedSlack
	}
	for i, lane := range a.lanes {
		r := lane.head
		if i == 0 || r.sequence < n.Sequence {
			n.Sequence, n.OldestWait = r.sequence, now-r.queuedAt
		}
		if i == 0 || r.due-now < n.Slack {
			n.Slack = r.due - now
		}
	}
	return n
}

// startLoad places a load on the least loaded target that has a free slot, or
// in a slot that the policy gives up.
func (c *Core) startLoad(now Time, a *adapterRow) {
	if s := a.claim; s != nil {
		c.useClaim(now, a, s)
		return
	}
	var target *targetRow
	c.slots, c.victims = c.slots[:0], c.victims[:0]
	for _, t := range c.targets {
		if !c.mayLoad(now, t, a) {
			continue
		}
		if t.freeSlots() == 0 {
			c.addVictims(now, t)
		} else if t.freeSlots() > 0 && (target == nil || c.loadsBefore(t, target)) {
			target = t
		}
	}
	if target != nil {
		c.placeLoad(now, a, target, nil)
		return
	}
	need := c.need(now, a)
	if i := c.policies.place.Victim(&need, c.victims); i >= 0 {
		c.placeLoad(now, a, c.slots[i].target, c.slots[i])
	} else if need.Overdue() && a.claim == nil {
		c.claimPinned(now, a, &need)
	}
}

// useClaim places a load in the slot that was reserved for it once the slot is
// free of permits. A reservation whose slot can no longer be evicted is dropped.
func (c *Core) useClaim(now Time, a *adapterRow, s *slotRow) {
	if s.state != slotResident || s.formerEvicts > 0 || s.barred || !c.mayLoad(now, s.target, a) || !c.mayEvict(s.target) {
		c.unclaim(a)
		return
	}
	if s.pins == 0 {
		c.unclaim(a)
		c.placeLoad(now, a, s.target, s)
	}
}

// claimPinned reserves a pinned slot for an overdue load: it gets no further
// permits, so that it can be evicted once the present ones have ended. Adapters
// in steady use would otherwise never give up a slot.
func (c *Core) claimPinned(now Time, a *adapterRow, need *placement.PendingLoad) {
	c.slots, c.victims = c.slots[:0], c.victims[:0]
	for _, t := range c.targets {
		if c.mayLoad(now, t, a) && c.mayEvict(t) && t.freeSlots() == 0 {
			c.addSlots(now, t, func(s *slotRow) bool { return s.usable() && s.pins > 0 })
		}
	}
	if i := c.policies.place.Victim(need, c.victims); i >= 0 {
		a.claim = c.slots[i]
		a.claim.claimed = true
	}
}

// unclaim ends the reservation of a slot.
func (c *Core) unclaim(a *adapterRow) {
	if a.claim != nil {
		a.claim.claimed = false
		c.markAdapter(a.claim.adapter)
		a.claim = nil
	}
}

// loadsBefore prefers targets that are not slow, then free slots, then free capacity.
func (c *Core) loadsBefore(a, b *targetRow) bool {
	if sa, sb := c.policies.slow.Slow(a.index), c.policies.slow.Slow(b.index); sa != sb {
		return sb
	}
	if fa, fb := a.freeSlots(), b.freeSlots(); fa != fb {
		return fa > fb
	}
	return a.free() > b.free()
}

func (c *Core) addVictims(now Time, t *targetRow) {
	if !c.mayEvict(t) || c.policies.slow.Slow(t.index) {
		return
	}
	c.addSlots(now, t, func(s *slotRow) bool { return s.usable() && s.pins == 0 })
}

// addSlots enters the slots of a target that may be given up.
func (c *Core) addSlots(now Time, t *targetRow, allowed func(*slotRow) bool) {
	for _, s := range t.slots {
		if !allowed(s) {
			continue
		}
		replicas := 0
		for _, other := range s.adapter.slots {
			if other.usable() {
				replicas++
			}
		}
		c.slots = append(c.slots, s)
		c.victims = append(c.victims, placement.Slot{
			LastUsed: s.usedAt, Demand: s.adapter.demand.read(now), Worth: s.adapter.typicalWorth,
			Waiting: s.adapter.waiting, Replicas: replicas,
		})
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
	if c.avoided(now, t) {
		return false
	}
	s := t.slot(a)
	return s == nil || (s.state == slotAbsent && !s.barred && s.formerEvicts == 0 && now >= s.retry)
}
