package core

import (
	"time"

	"cicadaslip/internal/model"
)

// urgentMargin is the time before a request's latest start from which it
// overtakes others of its organisation.
const urgentMargin = time.Second

// runDispatch grants permits to the queued requests that a change since the
// last tick may have made possible.
func (c *Core) runDispatch(now Time) {
	lanes := c.gatherCandidates(now)
	for len(lanes) > 0 && !c.draining {
		best := c.pickLane(lanes)
		lane := lanes[best]
		if t := c.pickTarget(now, lane.head); t != nil {
			c.grant(now, lane.head, t)
			if lane.count > 0 {
				c.refreshHead(now, lane)
				continue
			}
		}
		lanes[best] = lanes[len(lanes)-1]
		lanes = lanes[:len(lanes)-1]
	}
	for _, a := range c.touched {
		c.updateWanting(now, a)
	}
	c.touched = c.touched[:0]
}

// gatherCandidates returns the lanes of changed adapters and of the adapters
// on changed targets.
func (c *Core) gatherCandidates(now Time) []*laneRow {
	for _, t := range c.dirtyTargets {
		t.dirty = false
		c.markWaiting(t)
	}
	c.dirtyTargets = c.dirtyTargets[:0]
	c.candidates = c.candidates[:0]
	for _, a := range c.dirtyAdapters {
		a.dirty = false
		if a.waiting == 0 {
			continue
		}
		c.touched = append(c.touched, a)
		if !c.hasRoom(a) {
			continue
		}
		for _, lane := range a.lanes {
			c.refreshHead(now, lane)
			c.candidates = append(c.candidates, lane)
		}
	}
	c.dirtyAdapters = c.dirtyAdapters[:0]
	return c.candidates
}

// hasRoom reports whether any target with the adapter has free capacity.
func (c *Core) hasRoom(a *adapterRow) bool {
	if a.key.application != "" {
		return true
	}
	for _, s := range a.slots {
		if s.usable() && s.target.open() && s.target.free() > 0 {
			return true
		}
	}
	return false
}

func (c *Core) refreshHead(now Time, lane *laneRow) {
	lane.head.head.Urgent = lane.head.latestStart-now < urgentMargin
}

func (c *Core) markWaiting(t *targetRow) {
	for _, s := range t.slots {
		if s.adapter.waiting > 0 {
			c.markAdapter(s.adapter)
		}
	}
	for _, a := range c.services {
		if a.waiting > 0 && a.key.application == t.info.Application {
			c.markAdapter(a)
		}
	}
}

func (c *Core) pickLane(lanes []*laneRow) int {
	best := 0
	for i := 1; i < len(lanes); i++ {
		if c.policies.queue.Less(&lanes[i].head.head, &lanes[best].head.head) {
			best = i
		}
	}
	return best
}

// choice is the best target found so far for a request.
type choice struct {
	target *targetRow
	cost   float64
	ties   int
	fast   bool // a target that is not slow has the adapter
}

// pickTarget returns the target for a request, or nil if none can take it now.
// A slow target is used if no other has the adapter, or as a probe.
func (c *Core) pickTarget(now Time, r *requestRow) *targetRow {
	var best, slow choice
	if r.Class == model.ClassService {
		for _, t := range c.targets {
			c.consider(now, r, t, &best, &slow)
		}
	} else {
		for _, s := range r.adapterRow.slots {
			if s.usable() && s.target.stateKnown {
				c.consider(now, r, s.target, &best, &slow)
			}
		}
	}
	if slow.target != nil && (!best.fast || c.probes(now, r, slow.target)) {
		c.policies.slow.RecordProbe(slow.target.index, now)
		return slow.target
	}
	return best.target
}

// probes reports whether a request may test a slow target. Only requests that
// may be repeated are used, because they can be hedged when it is still slow.
func (c *Core) probes(now Time, r *requestRow, t *targetRow) bool {
	return r.Repeatable && !r.long && c.policies.slow.ShouldProbe(t.index, now)
}

func (c *Core) consider(now Time, r *requestRow, t *targetRow, best, slow *choice) {
	if !t.open() || !matches(t, r) {
		return
	}
	into := best
	if c.policies.slow.Slow(t.index) {
		into = slow
	} else {
		best.fast = true
	}
	if t.free() <= 0 || (r.long && t.long >= c.policies.queue.MaxLongRequests(t.info.Concurrency)) {
		return
	}
	cost := float64(t.load())/float64(t.info.Concurrency) - c.policies.prefixes.Benefit(t.index, r.PrefixHashes)
	switch {
	case into.target == nil || cost < into.cost:
		into.target, into.cost, into.ties = t, cost, 1
	case cost == into.cost:
		into.ties++
		if c.rng.IntN(into.ties) == 0 {
			into.target = t
		}
	}
}

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
	if c.policies.slow.Slow(t.index) {
		c.touched = append(c.touched, adapter) // may be needed on another target
	}
	c.policies.queue.RecordGrant(org.index, r.head.Work)
	c.policies.hedger.RecordGrant()
	c.policies.slow.RecordGrant()
	c.policies.prefixes.RecordPrefixes(t.index, r.PrefixHashes)
	c.permits[permitKey{r.ID, t.info.Name}] = p
	t.permits[r.ID] = p
	delete(t.released, r.ID)
	c.emit(GrantPermit{Permit: p.permit})
}
