package core

import (
	"cmp"
	"slices"
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/placement"
)

const (
	// rescoreInterval is the time between two scorings of the adapters that wait
	// for a load. A load takes at least 250 ms.
	rescoreInterval = 50 * time.Millisecond
	// placeRetryInterval is the time between two attempts to find a slot for a load
	// that has a load permit.
	placeRetryInterval = 20 * time.Millisecond
	// repeatWorthGrowth is the factor of growth of the queued worth from which a
	// load permit is requested again.
	repeatWorthGrowth = 2.0
	// slowOnlyDemand is the decayed number of past requests from which an adapter
	// that only slow targets have is loaded on another target.
	slowOnlyDemand = 3.0
	// slowOnlySlack is the slack of such a load if no request waits for the adapter.
	slowOnlySlack = time.Second
)

// updateAwaitingLoad adds an adapter to the list of those that need a load if it
// needs one.
func (c *Core) updateAwaitingLoad(now Time, a *adapterRow) {
	if !a.awaitingLoad && c.needsLoad(now, a) {
		a.awaitingLoad = true
		c.awaitingLoad = append(c.awaitingLoad, a)
		c.needsScoredAt = 0 // score the new need in this tick
	}
}

// needsLoad reports whether requests wait for an adapter that no target has, or
// that only full targets have while another target has free capacity, or whether
// an adapter in demand is only on slow targets.
func (c *Core) needsLoad(now Time, a *adapterRow) bool {
	if a.key.application != "" {
		return false
	}
	if c.onlyOnSlowTargets(now, a) {
		return true
	}
	if a.waiting == 0 || !a.anyUsable() {
		return a.waiting > 0
	}
	return c.policies.place.AllowsReplica(a.waiting) && !c.hasRoom(a) && c.otherTargetHasRoom(a)
}

// onlyOnSlowTargets reports whether an adapter in demand is usable on slow targets
// only. They serve its requests until it is loaded on another target.
func (c *Core) onlyOnSlowTargets(now Time, a *adapterRow) bool {
	usable := false
	for _, s := range a.slots {
		if s.usable() && s.target.acceptsWork() {
			if !c.policies.stragglers.Slow(s.target.index) {
				return false
			}
			usable = true
		}
	}
	return usable && a.demand.valueAt(now) >= slowOnlyDemand
}

// otherTargetHasRoom reports whether a target without the adapter, but with its
// base model, has free capacity.
func (c *Core) otherTargetHasRoom(a *adapterRow) bool {
	for _, t := range c.targets {
		if t.acceptsWork() && t.freeConcurrency() > 0 && t.info.BaseModel == a.baseModel && t.slot(a) == nil {
			return true
		}
	}
	return false
}

func (c *Core) applyLoadPermitted(e LoadPermitted) {
	a := c.adapters[adapterKey{version: e.Adapter}]
	if a != nil && a.requested {
		a.permitReceived = true
	}
}

// runPlacement requests load permits and starts the loads that have one.
func (c *Core) runPlacement(now Time) {
	c.removeSatisfied(now)
	if c.storeDown || c.draining || len(c.awaitingLoad) == 0 {
		return
	}
	if c.needsScoredAt == 0 || now-c.needsScoredAt >= rescoreInterval {
		c.needsScoredAt = now
		c.requestLoadPermits(now)
	}
	for _, a := range c.awaitingLoad {
		if a.permitReceived && now >= a.nextPlaceAt && !a.loading(now, c.params.LoadTimeout) {
			a.nextPlaceAt = now + placeRetryInterval
			c.startLoad(now, a)
		}
	}
}

// removeSatisfied removes the adapters that no longer need a load, and withdraws
// their load permits and reservations.
func (c *Core) removeSatisfied(now Time) {
	kept := c.awaitingLoad[:0]
	for _, a := range c.awaitingLoad {
		if c.needsLoad(now, a) {
			kept = append(kept, a)
			continue
		}
		a.awaitingLoad = false
		c.releaseReservation(a)
		c.withdrawLoadPermit(a)
	}
	clear(c.awaitingLoad[len(kept):])
	c.awaitingLoad = kept
}

// withdrawLoadPermit withdraws the request for a load permit, or the permit itself.
func (c *Core) withdrawLoadPermit(a *adapterRow) {
	if a.requested || a.permitReceived {
		c.emit(CancelLoadPermit{Adapter: a.key.version})
	}
	a.requested, a.permitReceived = false, false
}

// requestLoadPermits requests permits for the loads with the highest scores, and
// repeats a request when the queued worth of the adapter has grown by
// repeatWorthGrowth.
func (c *Core) requestLoadPermits(now Time) {
	requested := c.scoreNeeds(now)
	for i := range c.needs {
		n := &c.needs[i]
		switch {
		case n.adapter.requested:
			if n.Worth >= repeatWorthGrowth*n.adapter.requestedWorth && !n.adapter.permitReceived {
				c.requestLoadPermit(now, n)
			}
		case requested < c.params.MaxLoadPermitRequests:
			requested++
			c.requestLoadPermit(now, n)
		case i < c.params.MaxLoadPermitRequests/2 && c.withdrawLeastValuable():
			c.requestLoadPermit(now, n)
		}
	}
}

// scoreNeeds fills the list of needs and returns for how many of them a load permit
// is requested. If there are more needs than permits may be requested, they are
// sorted, the highest score first.
func (c *Core) scoreNeeds(now Time) (requested int) {
	c.needs = c.needs[:0]
	for _, a := range c.awaitingLoad {
		if a.loading(now, c.params.LoadTimeout) {
			continue
		}
		c.needs = append(c.needs, needRow{PendingLoad: c.need(now, a), adapter: a})
		n := &c.needs[len(c.needs)-1]
		n.score = c.policies.place.Score(&n.PendingLoad)
		if a.requested {
			requested++
		}
	}
	if len(c.needs) > c.params.MaxLoadPermitRequests {
		slices.SortFunc(c.needs, compareNeeds)
	}
	return requested
}

// requestLoadPermit requests a permit to load the adapter of a need.
func (c *Core) requestLoadPermit(now Time, n *needRow) {
	n.adapter.requested, n.adapter.requestedWorth = true, n.Worth
	c.emit(RequestLoadPermit{Adapter: n.adapter.key.version, Worth: n.Worth, Due: now + n.Slack})
}

// withdrawLeastValuable withdraws the load permit request with the lowest score
// that is not among the first MaxLoadPermitRequests needs, and reports whether
// there was one. Only needs in the first half of those replace another request,
// so that needs with similar scores do not cause messages at every scoring.
func (c *Core) withdrawLeastValuable() bool {
	for i := len(c.needs) - 1; i >= c.params.MaxLoadPermitRequests; i-- {
		if a := c.needs[i].adapter; a.requested && !a.permitReceived {
			c.withdrawLoadPermit(a)
			return true
		}
	}
	return false
}

// needRow is an adapter's need for a load with its score.
type needRow struct {
	placement.PendingLoad
	adapter *adapterRow
	score   float64
}

// compareNeeds orders needs by score, the highest first, then by arrival of the
// first request. Arrival numbers are unique except for adapters without queued
// requests, which are ordered by name.
func compareNeeds(a, b needRow) int {
	return cmp.Or(
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.adapter.key.version.Adapter, b.adapter.key.version.Adapter),
	)
}

// need returns the placement need of an adapter, from its sums and the heads of
// its lanes.
func (c *Core) need(now Time, a *adapterRow) placement.PendingLoad {
	n := placement.PendingLoad{Waiting: a.waiting, Worth: a.queuedWorth, Demand: a.demand.valueAt(now), Replica: a.anyUsable()}
	if a.waiting == 0 {
		n.Worth, n.Slack = a.typicalWorth, slowOnlySlack
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

// startLoad places a load on the preferred target that has a free slot, or in a
// slot that the placement policy chooses for eviction. An overdue load without
// either reserves a pinned slot.
func (c *Core) startLoad(now Time, a *adapterRow) {
	if s := a.reservation; s != nil {
		c.useReservation(now, a, s)
		return
	}
	var target *targetRow
	c.slots, c.victims = c.slots[:0], c.victims[:0]
	for _, t := range c.targets {
		if !c.mayLoad(now, t, a) {
			continue
		}
		if t.freeSlots() == 0 {
			c.addUnpinnedSlots(now, t)
		} else if t.freeSlots() > 0 && (target == nil || c.preferredForLoad(t, target)) {
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
	} else if need.Overdue() && a.reservation == nil {
		c.reservePinnedSlot(now, a, &need)
	}
}

// useReservation places a load in its reserved slot once the slot has no pins. The
// reservation is released if the slot can no longer be evicted.
func (c *Core) useReservation(now Time, a *adapterRow, s *slotRow) {
	if s.state != slotResident || s.formerEvicts > 0 || s.blocked || !c.mayLoad(now, s.target, a) || !c.mayEvict(s.target) {
		c.releaseReservation(a)
		return
	}
	if s.pins == 0 {
		c.releaseReservation(a)
		c.placeLoad(now, a, s.target, s)
	}
}

// reservePinnedSlot reserves a pinned slot for an overdue load. The slot gets no
// further permits, so that it can be evicted once the current ones have ended.
// The slot of an adapter in steady use would otherwise never become free.
func (c *Core) reservePinnedSlot(now Time, a *adapterRow, need *placement.PendingLoad) {
	c.slots, c.victims = c.slots[:0], c.victims[:0]
	for _, t := range c.targets {
		if c.mayLoad(now, t, a) && c.mayEvict(t) && t.freeSlots() == 0 {
			c.addSlots(now, t, func(s *slotRow) bool { return s.usable() && s.pins > 0 })
		}
	}
	if i := c.policies.place.Victim(need, c.victims); i >= 0 {
		a.reservation = c.slots[i]
		a.reservation.reserved = true
	}
}

// releaseReservation ends an adapter's reservation of a slot, if it has one.
func (c *Core) releaseReservation(a *adapterRow) {
	if a.reservation != nil {
		a.reservation.reserved = false
		c.markAdapter(a.reservation.adapter)
		a.reservation = nil
	}
}

// preferredForLoad reports whether a is preferred to b for a load: a target that is
// not slow, then the one with more free slots, then with more free capacity.
func (c *Core) preferredForLoad(a, b *targetRow) bool {
	if sa, sb := c.policies.stragglers.Slow(a.index), c.policies.stragglers.Slow(b.index); sa != sb {
		return sb
	}
	if fa, fb := a.freeSlots(), b.freeSlots(); fa != fb {
		return fa > fb
	}
	return a.freeConcurrency() > b.freeConcurrency()
}

// addUnpinnedSlots adds the slots of a target that can be evicted at once to the
// eviction candidates. Loads do not evict from slow targets.
func (c *Core) addUnpinnedSlots(now Time, t *targetRow) {
	if !c.mayEvict(t) || c.policies.stragglers.Slow(t.index) {
		return
	}
	c.addSlots(now, t, func(s *slotRow) bool { return s.usable() && s.pins == 0 })
}

// addSlots adds the allowed slots of a target to the eviction candidates.
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
			LastUsed: s.usedAt, Demand: s.adapter.demand.valueAt(now), Worth: s.adapter.typicalWorth,
			Waiting: s.adapter.waiting, Replicas: replicas,
		})
	}
}

// placeLoad creates the load intent for an adapter on a target, and before it the
// evict intent of the victim if that is not nil.
func (c *Core) placeLoad(now Time, a *adapterRow, t *targetRow, victim *slotRow) {
	a.permitReceived, a.requested = false, false
	s := t.ensureSlot(a)
	var evict *intentRow
	if victim != nil {
		evict = c.newIntent(now, IntentEvict, victim)
		c.setSlot(now, victim, slotEvicting)
	}
	load := c.newIntent(now, IntentLoad, s)
	c.setSlot(now, s, slotLoading)
	if evict != nil {
		load.prerequisite, evict.dependent = evict, load
	}
}

// mayLoad reports whether the adapter may be loaded on the target.
func (c *Core) mayLoad(now Time, t *targetRow, a *adapterRow) bool {
	if !t.acceptsWork() || t.info.Class != model.ClassRunner || t.info.BaseModel != a.baseModel || !t.stateKnown {
		return false
	}
	if c.avoidsLoads(now, t) {
		return false
	}
	s := t.slot(a)
	return s == nil || (s.state == slotAbsent && !s.blocked && s.formerEvicts == 0 && now >= s.loadRetryAt)
}
