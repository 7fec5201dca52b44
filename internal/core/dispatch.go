package core

import (
	"time"

	"cicadaslip/internal/model"
)

// urgentMargin is the time before its latest start from which a request counts
// as urgent, so that the queueing policy may place it before other requests of
// its organisation.
const urgentMargin = time.Second

// runDispatch grants permits to the queued requests that can run because of a
// change since the last tick.
func (c *Core) runDispatch(now Time) {
	lanes := c.gatherCandidates(now)
	for len(lanes) > 0 && !c.draining {
		best := c.pickLane(lanes)
		lane := lanes[best]
		if t := c.pickTarget(now, lane.head); t != nil {
			c.grant(now, lane.head, t)
			if lane.count > 0 {
				c.updateUrgency(now, lane)
				continue
			}
		}
		lanes[best] = lanes[len(lanes)-1]
		lanes = lanes[:len(lanes)-1]
	}
	for _, a := range c.loadChecks {
		c.updateAwaitingLoad(now, a)
	}
	c.loadChecks = c.loadChecks[:0]
}

// gatherCandidates returns the lanes whose heads may be granted: those of
// adapters that changed or whose targets changed, if there is free capacity.
func (c *Core) gatherCandidates(now Time) []*laneRow {
	for _, t := range c.dirtyTargets {
		t.dirty = false
		c.markWaitingAdapters(t)
	}
	c.dirtyTargets = c.dirtyTargets[:0]
	c.candidates = c.candidates[:0]
	for _, a := range c.dirtyAdapters {
		a.dirty = false
		if a.waiting == 0 {
			continue
		}
		c.loadChecks = append(c.loadChecks, a)
		if !c.hasRoom(a) {
			continue
		}
		for _, lane := range a.lanes {
			c.updateUrgency(now, lane)
			c.candidates = append(c.candidates, lane)
		}
	}
	c.dirtyAdapters = c.dirtyAdapters[:0]
	return c.candidates
}

// hasRoom reports whether any target that has the adapter has free capacity. It
// is always true for services, which have no slots.
func (c *Core) hasRoom(a *adapterRow) bool {
	if a.key.application != "" {
		return true
	}
	for _, s := range a.slots {
		if s.usable() && s.target.acceptsWork() && s.target.freeConcurrency() > 0 {
			return true
		}
	}
	return false
}

// updateUrgency updates whether the head of a lane is urgent.
func (c *Core) updateUrgency(now Time, lane *laneRow) {
	lane.head.queueHead.Urgent = lane.head.latestStart-now < urgentMargin
}

// markWaitingAdapters marks the adapters on a target that have queued requests.
func (c *Core) markWaitingAdapters(t *targetRow) {
	for _, s := range t.slots {
		if s.adapter.waiting > 0 {
			c.markAdapter(s.adapter)
		}
	}
	for _, a := range c.serviceRows {
		if a.waiting > 0 && a.key.application == t.info.Application {
			c.markAdapter(a)
		}
	}
}

// pickLane returns the index of the lane whose head is granted first.
func (c *Core) pickLane(lanes []*laneRow) int {
	best := 0
	for i := 1; i < len(lanes); i++ {
		if c.policies.queue.Less(&lanes[i].head.queueHead, &lanes[best].head.queueHead) {
			best = i
		}
	}
	return best
}

// targetChoice is the best target found so far for a request.
type targetChoice struct {
	target  *targetRow
	cost    float64 // occupied fraction of the concurrency minus the benefit of the cached prefix
	ties    int     // targets with this cost
	anyFast bool    // a target that is not slow has the adapter, with or without free capacity
}

// pickTarget returns the target for a request, or nil if no target has capacity
// for it now. A slow target is used if only slow targets have the adapter, or if
// the request probes whether the target is still slow.
func (c *Core) pickTarget(now Time, r *requestRow) *targetRow {
	var best, slow targetChoice
	if r.Class == model.ClassService {
		for _, t := range c.targets {
			c.considerTarget(now, r, t, &best, &slow)
		}
	} else {
		for _, s := range r.adapterRow.slots {
			if s.usable() && s.target.stateKnown {
				c.considerTarget(now, r, s.target, &best, &slow)
			}
		}
	}
	if slow.target != nil && (!best.anyFast || c.mayProbe(now, r, slow.target)) {
		c.policies.stragglers.RecordProbe(slow.target.index, now)
		return slow.target
	}
	return best.target
}

// mayProbe reports whether a request may probe a slow target. Only repeatable
// requests are used, because they can be hedged if the target is still slow.
func (c *Core) mayProbe(now Time, r *requestRow, t *targetRow) bool {
	return r.Repeatable && !r.long && c.policies.stragglers.ShouldProbe(t.index, now)
}

// considerTarget compares a target with the best one found so far: slow targets
// with slow, the other targets with best. Ties are broken at random.
func (c *Core) considerTarget(now Time, r *requestRow, t *targetRow, best, slow *targetChoice) {
	if !t.acceptsWork() || !matches(t, r) {
		return
	}
	found := best
	if c.policies.stragglers.Slow(t.index) {
		found = slow
	} else {
		best.anyFast = true
	}
	if t.freeConcurrency() <= 0 || (r.long && t.long >= c.policies.queue.MaxLongRequests(t.info.Concurrency)) {
		return
	}
	cost := float64(t.occupancy())/float64(t.info.Concurrency) - c.policies.prefixes.Benefit(t.index, r.PrefixHashes)
	switch {
	case found.target == nil || cost < found.cost:
		found.target, found.cost, found.ties = t, cost, 1
	case cost == found.cost:
		found.ties++
		if c.rng.IntN(found.ties) == 0 {
			found.target = t
		}
	}
}

// grant removes a request from the queue and grants a permit for a target.
func (c *Core) grant(now Time, r *requestRow, t *targetRow) {
	adapter := r.adapterRow
	org := r.lane.org
	c.dequeue(r)
	p := &permitRow{
		permit: Permit{
			Request: r.ID, Group: c.params.Group, Epoch: c.epoch, Target: t.info,
			Adapter: r.Adapter, Organisation: r.Organisation, Kind: r.Kind,
			Priority: c.policies.queue.Priority(r.long),
		},
		holder: r.Holder, target: t, request: r, org: org, long: r.long, grantedAt: now,
	}
	if r.long {
		t.long++
	}
	if adapter.key.application == "" {
		p.slot = t.slot(adapter)
		p.slot.pins++
		p.slot.usedAt = now
	}
	if c.policies.stragglers.Slow(t.index) {
		c.loadChecks = append(c.loadChecks, adapter) // may need a load on another target
	}
	c.policies.queue.RecordGrant(org.index, r.queueHead.Work)
	c.policies.hedger.RecordGrant()
	c.policies.stragglers.RecordGrant()
	c.policies.prefixes.RecordPrefixes(t.index, r.PrefixHashes)
	c.permits[permitKey{r.ID, t.info.Name}] = p
	t.permits[r.ID] = p
	delete(t.released, r.ID)
	c.emit(GrantPermit{Permit: p.permit})
}
