package core

import "cicadaslip/internal/model"

// runDispatch grants permits to the queued requests that a change since the
// last tick may have made possible.
func (c *Core) runDispatch(now Time) {
	lanes := c.gatherCandidates()
	for len(lanes) > 0 && !c.draining {
		best := c.pickLane(lanes)
		lane := lanes[best]
		if t := c.pickTarget(lane.head); t != nil {
			c.grant(now, lane.head, t)
			if lane.count > 0 {
				continue
			}
		}
		lanes[best] = lanes[len(lanes)-1]
		lanes = lanes[:len(lanes)-1]
	}
}

// gatherCandidates returns the lanes of changed adapters and of the adapters
// on changed targets.
func (c *Core) gatherCandidates() []*laneRow {
	for _, t := range c.dirtyTargets {
		t.dirty = false
		c.markWaiting(t)
	}
	c.dirtyTargets = c.dirtyTargets[:0]
	c.candidates = c.candidates[:0]
	for _, a := range c.dirtyAdapters {
		a.dirty = false
		c.candidates = append(c.candidates, a.lanes...)
		c.updateWanting(a)
	}
	c.dirtyAdapters = c.dirtyAdapters[:0]
	return c.candidates
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
	for i := range lanes {
		if lanes[i].head.sequence < lanes[best].head.sequence {
			best = i
		}
	}
	return best
}

// pickTarget returns the target for a request, or nil if none can take it now.
func (c *Core) pickTarget(r *requestRow) *targetRow {
	var best *targetRow
	consider := func(t *targetRow) {
		if t.open() && t.free() > 0 && matches(t, r) && (best == nil || t.free() > best.free()) {
			best = t
		}
	}
	if r.Class == model.ClassService {
		for _, t := range c.targets {
			consider(t)
		}
		return best
	}
	for _, s := range r.lane.adapter.slots {
		if s.usable() && s.target.stateKnown {
			consider(s.target)
		}
	}
	return best
}

func (c *Core) grant(now Time, r *requestRow, t *targetRow) {
	adapter := r.lane.adapter
	c.dequeue(r)
	p := &permitRow{
		permit: Permit{
			Request: r.ID, Group: c.params.Group, Epoch: c.epoch, Target: t.info,
			Adapter: r.Adapter, Organisation: r.Organisation, Kind: r.Kind,
		},
		holder: r.Holder, target: t, request: r, long: r.long, grantedAt: now,
	}
	if r.long {
		p.permit.Priority = 1
		t.long++
	}
	if adapter.key.application == "" {
		p.slot = t.slot(adapter)
		p.slot.pins++
		p.slot.usedAt = now
	}
	c.permits[permitKey{r.ID, t.info.Name}] = p
	t.permits[r.ID] = p
	delete(t.released, r.ID)
	c.emit(GrantPermit{Permit: p.permit})
}
