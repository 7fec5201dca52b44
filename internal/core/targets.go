package core

import (
	"cicadaslip/internal/model"
)

func (c *Core) applyTargets(now Time, e TargetsChanged) {
	listed := make(map[string]bool, len(e.Targets))
	for _, info := range e.Targets {
		listed[info.Name] = true
		c.listTarget(info)
	}
	for _, t := range append([]*targetRow(nil), c.targets...) {
		if !listed[t.info.Name] {
			c.unlistTarget(now, t)
		}
	}
	c.updateCapacity()
	c.targetsChanged = true
}

// updateCapacity recomputes the number and the total concurrency of the runners
// that accept work.
func (c *Core) updateCapacity() {
	c.runnerConcurrency, c.openRunners = 0, 0
	for _, t := range c.targets {
		if t.acceptsWork() && t.info.Class == model.ClassRunner {
			c.runnerConcurrency += t.info.Concurrency
			c.openRunners++
		}
	}
	c.policies.queue.SetCapacity(c.runnerConcurrency)
}

// listTarget adds a target to the table or updates it.
func (c *Core) listTarget(info model.Target) {
	t := c.targetIndex[info.Name]
	if t == nil {
		t = &targetRow{
			index:       c.allocateIndex(),
			permits:     map[model.RequestID]*permitRow{},
			unpermitted: map[model.RequestID]bool{},
			released:    map[model.RequestID]Time{},
		}
		c.targetIndex[info.Name] = t
		c.targets = append(c.targets, t)
	}
	if !t.listed {
		t.stateNeeded = true
	}
	t.listed, t.info = true, info
	sortTargets(c.targets)
	c.markTarget(t)
}

// unlistTarget stops new work on a target that left the list. Its row stays while
// permits or orders refer to it. A target that is listed again is used only after
// a new state report.
func (c *Core) unlistTarget(now Time, t *targetRow) {
	t.listed = false
	t.stateKnown = false
	t.requested = false
	for _, s := range append([]*slotRow(nil), t.slots...) {
		if s.state == slotResident {
			c.setSlot(now, s, slotAbsent)
			s.changedAt = -1 // the first state report after a new listing decides
		}
	}
	c.removeUnreferencedTarget(t)
}

// removeUnreferencedTarget removes an unlisted target that nothing refers to any more.
func (c *Core) removeUnreferencedTarget(t *targetRow) {
	if t.listed || len(t.permits) > 0 {
		return
	}
	for _, s := range t.slots {
		if s.state != slotAbsent || s.formerEvicts+s.formerLoads > 0 || s.blocked {
			return
		}
	}
	for _, s := range append([]*slotRow(nil), t.slots...) {
		t.removeSlot(s)
	}
	c.targets = removeRow(c.targets, t)
	delete(c.targetIndex, t.info.Name)
	c.policies.stragglers.Reset(t.index)
	c.policies.prefixes.Reset(t.index)
	c.freeIndexes = append(c.freeIndexes, t.index)
}

// allocateIndex returns the index of a new target in the policies. Indexes of
// removed targets are reused, so that the policies' tables stay small.
func (c *Core) allocateIndex() int {
	if last := len(c.freeIndexes) - 1; last >= 0 {
		index := c.freeIndexes[last]
		c.freeIndexes = c.freeIndexes[:last]
		return index
	}
	c.indexCount++
	return c.indexCount - 1
}

// setSlot changes the state of a slot and marks its target and adapter for
// dispatch.
func (c *Core) setSlot(now Time, s *slotRow, state slotState) {
	s.state = state
	s.changedAt = now
	c.markTarget(s.target)
	c.markAdapter(s.adapter)
}

func (c *Core) applyTargetState(now Time, e TargetState) {
	t := c.targetIndex[e.Target]
	if t == nil || !c.acceptsState(t, e) {
		return
	}
	if t.instance != "" && t.instance != e.Instance {
		c.targetRestarted(now, t)
	}
	t.instance, t.stateKnown, t.stateRequestedAt, t.stateNeeded = e.Instance, true, e.RequestedAt, false
	c.reconcileSlots(now, t, e)
	c.reconcileRunning(now, t, e)
	c.markTarget(t)
}

// acceptsState reports whether a state report answers a request of this ownership
// and was requested after the last accepted one.
func (c *Core) acceptsState(t *targetRow, e TargetState) bool {
	if !c.isOwner || !t.listed || !t.requested || e.RequestedAt < t.firstRequestAt {
		return false
	}
	return !t.stateKnown || e.RequestedAt > t.stateRequestedAt
}

// targetRestarted marks the adapters of the former instance as absent and clears
// what the policies know of the target. Orders in progress keep their rows,
// because they can still reach the new instance.
func (c *Core) targetRestarted(now Time, t *targetRow) {
	c.policies.stragglers.Reset(t.index)
	c.policies.prefixes.Reset(t.index)
	for _, s := range append([]*slotRow(nil), t.slots...) {
		c.unblockAdapter(s)
		if s.state == slotResident {
			c.setSlot(now, s, slotAbsent)
			s.changedAt = -1 // the state report of the new instance decides
			continue
		}
		if s.intent != nil {
			s.intent.targetRestarted = true
		}
	}
}

// reconcileSlots compares the slots with the adapters that a state report lists.
func (c *Core) reconcileSlots(now Time, t *targetRow, e TargetState) {
	resident := make(map[*adapterRow]bool, len(e.Resident))
	for _, version := range e.Resident {
		a := c.adapter(adapterKey{version: version})
		resident[a] = true
		c.applyReportedResident(now, t.ensureSlot(a), e.RequestedAt)
	}
	for _, s := range append([]*slotRow(nil), t.slots...) {
		if !resident[s.adapter] && e.RequestedAt > s.changedAt {
			c.applyReportedAbsent(now, s, e.RequestedAt)
		}
	}
}

// applyReportedResident updates a slot whose adapter a state report lists.
func (c *Core) applyReportedResident(now Time, s *slotRow, requestedAt Time) {
	switch {
	case s.state == slotAbsent && requestedAt > s.changedAt:
		c.setSlot(now, s, slotResident)
		s.changedAt = requestedAt // a state report that was requested later overrides this one
	case s.state == slotLoading && s.intent.phase == intentUnknown:
		c.resolve(s.intent)
		c.setSlot(now, s, slotResident)
		s.changedAt = requestedAt
	case s.state == slotEvicting && s.intent.phase == intentUnknown && requestedAt > s.intent.unknownAt:
		s.intent.residentReports++
		c.retryEvict(now, s.intent)
	}
}

// retryEvict sends an evict order of unknown effect again after
// EvictResendReports state reports have still listed the adapter, because its first
// copy seems to be lost. Both copies can still take effect, so the adapter is
// blocked on the target until the target restarts.
func (c *Core) retryEvict(now Time, row *intentRow) {
	if row.residentReports < c.params.EvictResendReports {
		row.unknownAt = now // the next report that counts must be requested later
		return
	}
	row.residentReports = 0
	row.resent = true
	row.slot.blocked = true
	c.sendOrder(now, row)
}

// applyReportedAbsent updates a slot whose adapter is missing from a state report
// that was requested after the slot's last change.
func (c *Core) applyReportedAbsent(now Time, s *slotRow, requestedAt Time) {
	switch {
	case s.state == slotResident:
		c.setSlot(now, s, slotAbsent)
		s.changedAt = requestedAt
	case s.state == slotEvicting && s.intent.phase == intentUnknown && requestedAt > s.intent.unknownAt:
		c.finishEvict(now, s.intent)
	case s.state == slotLoading && s.intent.phase == intentUnknown &&
		requestedAt > s.intent.unknownAt && requestedAt > s.intent.sentAt+c.params.LoadTimeout:
		c.failLoad(now, s.intent)
	}
	if s.removable() {
		s.target.removeSlot(s)
	}
}

// reconcileRunning finds the requests in a state report that have no permit, and
// ends the permits that wait for the report.
func (c *Core) reconcileRunning(now Time, t *targetRow, e TargetState) {
	running := make(map[model.RequestID]bool, len(e.Running))
	clear(t.unpermitted)
	for _, id := range e.Running {
		running[id] = true
		endedAt, ended := t.released[id]
		if t.permits[id] == nil && (!ended || endedAt < e.RequestedAt) {
			t.unpermitted[id] = true
		}
	}
	for id, endedAt := range t.released {
		if endedAt < e.RequestedAt {
			delete(t.released, id)
		}
	}
	c.endCancelledPermits(now, t, running, e.RequestedAt)
}

// endCancelledPermits ends the permits of cancelled requests that the target no
// longer runs.
func (c *Core) endCancelledPermits(now Time, t *targetRow, running map[model.RequestID]bool, requestedAt Time) {
	for _, p := range append([]*permitRow(nil), c.pendingEnd...) {
		if p.target == t && p.cancelSent && requestedAt > p.cancelSentAt && !running[p.permit.Request] {
			c.endPermit(now, p)
			c.pendingEnd = removeRow(c.pendingEnd, p)
		}
	}
}

// runTargetState requests the state of targets when it is needed or due, and
// removes unlisted targets that nothing refers to any more.
func (c *Core) runTargetState(now Time) {
	for i := len(c.targets) - 1; i >= 0; i-- {
		t := c.targets[i]
		if !t.listed {
			c.removeUnreferencedTarget(t)
			continue
		}
		if c.needsState(now, t) && (!t.requested || now-t.lastRequestAt >= c.params.MinStateRequestInterval) {
			c.requestState(now, t)
		}
	}
}

// needsState reports whether the state of a target is needed for a decision or
// its routine request is due.
func (c *Core) needsState(now Time, t *targetRow) bool {
	return t.stateNeeded || !t.stateKnown || len(t.unpermitted) > 0 ||
		(c.barrierPassed && t.stateRequestedAt <= c.barrierPassedAt) || now-t.lastRequestAt >= c.params.StateRequestInterval
}

// requestState emits a state request to a target.
func (c *Core) requestState(now Time, t *targetRow) {
	if !t.requested {
		t.requested, t.firstRequestAt = true, now
	}
	t.lastRequestAt = now
	c.emit(RequestTargetState{Target: t.info.Name})
}

// runPendingEnds cancels the requests of permits with a pending end on their
// targets, and requests the state reports that end these permits.
func (c *Core) runPendingEnds(now Time) {
	for _, p := range append([]*permitRow(nil), c.pendingEnd...) {
		if !p.cancelSent {
			p.cancelSent, p.cancelSentAt = true, now
			c.emit(CancelOnTarget{Target: p.target.info.Name, ID: p.permit.Request})
		}
		p.target.stateNeeded = true
		if c.endsWithoutState(now, p) {
			c.endPermit(now, p)
			c.pendingEnd = removeRow(c.pendingEnd, p)
		}
	}
}

// endsWithoutState reports whether a permit with a pending end ends without a
// state report. That applies to services, which have no slots and may not report
// their state, ServiceCancelTimeout after the cancellation, and to targets that
// left the list: neither can evict an adapter in use.
func (c *Core) endsWithoutState(now Time, p *permitRow) bool {
	if p.target.info.Class == model.ClassService {
		return now-p.cancelSentAt >= c.params.ServiceCancelTimeout
	}
	return !p.target.listed
}
