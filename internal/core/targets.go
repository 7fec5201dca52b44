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
	c.sumCapacity()
	c.targetsChanged = true
}

// sumCapacity keeps the number of requests that the open runners serve.
func (c *Core) sumCapacity() {
	c.concurrency, c.openTargets = 0, 0
	for _, t := range c.targets {
		if t.open() && t.info.Class == model.ClassRunner {
			c.concurrency += t.info.Concurrency
			c.openTargets++
		}
	}
	c.policies.queue.SetCapacity(c.concurrency)
}

func (c *Core) listTarget(info model.Target) {
	t := c.targetIndex[info.Name]
	if t == nil {
		t = &targetRow{
			index:    c.newIndex(),
			permits:  map[model.RequestID]*permitRow{},
			unknown:  map[model.RequestID]bool{},
			released: map[model.RequestID]Time{},
		}
		c.targetIndex[info.Name] = t
		c.targets = append(c.targets, t)
	}
	if !t.present {
		t.wantState = true
	}
	t.present, t.info = true, info
	sortedTargets(c.targets)
	c.markTarget(t)
}

// unlistTarget stops new work. The row stays while permits or orders refer to
// it. A target that is listed again is used only after a new statement.
func (c *Core) unlistTarget(now Time, t *targetRow) {
	t.present = false
	t.stateKnown = false
	t.asked = false
	for _, s := range append([]*slotRow(nil), t.slots...) {
		if s.state == slotResident {
			c.setSlot(now, s, slotAbsent)
			s.changedAt = -1 // the first statement after a new listing decides
		}
	}
	c.dropTarget(t)
}

// dropTarget removes an unlisted target that nothing refers to any more.
func (c *Core) dropTarget(t *targetRow) {
	if t.present || len(t.permits) > 0 {
		return
	}
	for _, s := range t.slots {
		if s.state != slotAbsent || s.formerEvicts+s.formerLoads > 0 || s.barred {
			return
		}
	}
	for _, s := range append([]*slotRow(nil), t.slots...) {
		t.removeSlot(s)
	}
	c.targets = without(c.targets, t)
	delete(c.targetIndex, t.info.Name)
	c.policies.slow.Reset(t.index)
	c.policies.prefixes.Reset(t.index)
	c.freeIndexes = append(c.freeIndexes, t.index)
}

// newIndex returns an index for a target in the policies. Indexes of removed
// targets are used again, so that the policies' tables stay small.
func (c *Core) newIndex() int {
	if last := len(c.freeIndexes) - 1; last >= 0 {
		index := c.freeIndexes[last]
		c.freeIndexes = c.freeIndexes[:last]
		return index
	}
	c.indexes++
	return c.indexes - 1
}

func (c *Core) setSlot(now Time, s *slotRow, state slotState) {
	s.state = state
	s.changedAt = now
	c.markTarget(s.target)
	c.markAdapter(s.adapter)
}

func (c *Core) applyState(now Time, e TargetState) {
	t := c.targetIndex[e.Target]
	if t == nil || !c.accepts(t, e) {
		return
	}
	if t.instance != "" && t.instance != e.Instance {
		c.restarted(now, t)
	}
	t.instance, t.stateKnown, t.stateAsked, t.wantState = e.Instance, true, e.AskedAt, false
	c.reconcileSlots(now, t, e)
	c.reconcileRunning(now, t, e)
	c.markTarget(t)
}

// accepts reports whether a statement answers a query of this ownership and
// is newer than the last one.
func (c *Core) accepts(t *targetRow, e TargetState) bool {
	if !c.owner || !t.present || !t.asked || e.AskedAt < t.firstAsk {
		return false
	}
	return !t.stateKnown || e.AskedAt > t.stateAsked
}

// restarted clears what the former instance had. Orders under way keep their
// rows, because they can still reach the new instance.
func (c *Core) restarted(now Time, t *targetRow) {
	c.policies.slow.Reset(t.index)
	c.policies.prefixes.Reset(t.index)
	for _, s := range append([]*slotRow(nil), t.slots...) {
		c.unbar(s)
		if s.state == slotResident {
			c.setSlot(now, s, slotAbsent)
			s.changedAt = -1 // the statement of the new instance decides
			continue
		}
		if s.intent != nil {
			s.intent.restarted = true
		}
	}
}

func (c *Core) reconcileSlots(now Time, t *targetRow, e TargetState) {
	resident := make(map[*adapterRow]bool, len(e.Resident))
	for _, version := range e.Resident {
		a := c.adapter(adapterKey{version: version})
		resident[a] = true
		c.shownResident(now, t.slotOrNew(a), e.AskedAt)
	}
	for _, s := range append([]*slotRow(nil), t.slots...) {
		if !resident[s.adapter] && e.AskedAt > s.changedAt {
			c.shownAbsent(now, s, e.AskedAt)
		}
	}
}

// shownResident enters that a statement lists the adapter.
func (c *Core) shownResident(now Time, s *slotRow, askedAt Time) {
	switch {
	case s.state == slotAbsent && askedAt > s.changedAt:
		c.setSlot(now, s, slotResident)
		s.changedAt = askedAt // a statement that was asked for later overrides this one
	case s.state == slotLoading && s.intent.phase == intentUnknown:
		c.resolve(s.intent)
		c.setSlot(now, s, slotResident)
		s.changedAt = askedAt
	case s.state == slotEvicting && s.intent.phase == intentUnknown && askedAt > s.intent.unknownAt:
		s.intent.shown++
		c.retryEvict(now, s.intent)
	}
}

// retryEvict sends an evict order again whose first copy seems lost. Both
// copies can still take effect, so the adapter is barred from the target
// until it restarts.
func (c *Core) retryEvict(now Time, row *intentRow) {
	if row.shown < c.params.EvictRetries {
		row.unknownAt = now // demands a later statement
		return
	}
	row.shown = 0
	row.resent = true
	row.slot.barred = true
	c.sendOrder(now, row)
}

// shownAbsent enters that a statement, asked after the row's last change, does
// not list the adapter.
func (c *Core) shownAbsent(now Time, s *slotRow, askedAt Time) {
	switch {
	case s.state == slotResident:
		c.setSlot(now, s, slotAbsent)
		s.changedAt = askedAt
	case s.state == slotEvicting && s.intent.phase == intentUnknown && askedAt > s.intent.unknownAt:
		c.finishEvict(now, s.intent)
	case s.state == slotLoading && s.intent.phase == intentUnknown &&
		askedAt > s.intent.unknownAt && askedAt > s.intent.sentAt+c.params.LoadLimit:
		c.failLoad(now, s.intent)
	}
	if s.removable() {
		s.target.removeSlot(s)
	}
}

func (c *Core) reconcileRunning(now Time, t *targetRow, e TargetState) {
	running := make(map[model.RequestID]bool, len(e.Running))
	clear(t.unknown)
	for _, id := range e.Running {
		running[id] = true
		endedAt, ended := t.released[id]
		if t.permits[id] == nil && (!ended || endedAt < e.AskedAt) {
			t.unknown[id] = true
		}
	}
	for id, endedAt := range t.released {
		if endedAt < e.AskedAt {
			delete(t.released, id)
		}
	}
	c.endStopped(now, t, running, e.AskedAt)
}

// endStopped ends the permits of cancelled requests that the target no longer runs.
func (c *Core) endStopped(now Time, t *targetRow, running map[model.RequestID]bool, askedAt Time) {
	for _, p := range append([]*permitRow(nil), c.ending...) {
		if p.target == t && p.cancelled && askedAt > p.cancelAt && !running[p.permit.Request] {
			c.endPermit(now, p)
			c.ending = without(c.ending, p)
		}
	}
}

// runTargetState asks targets for their state when it is needed or due.
func (c *Core) runTargetState(now Time) {
	for i := len(c.targets) - 1; i >= 0; i-- {
		t := c.targets[i]
		if !t.present {
			c.dropTarget(t)
			continue
		}
		if c.needsState(now, t) && (!t.asked || now-t.lastAsk >= c.params.StateRetry) {
			c.askState(now, t)
		}
	}
}

func (c *Core) needsState(now Time, t *targetRow) bool {
	return t.wantState || !t.stateKnown || len(t.unknown) > 0 ||
		(c.barrier && t.stateAsked <= c.barrierAt) || now-t.lastAsk >= c.params.StateInterval
}

func (c *Core) askState(now Time, t *targetRow) {
	if !t.asked {
		t.asked, t.firstAsk = true, now
	}
	t.lastAsk = now
	c.emit(AskTargetState{Target: t.info.Name})
}

// runEnding cancels requests whose permits wait for their end and asks for the
// statements that end them.
func (c *Core) runEnding(now Time) {
	for _, p := range append([]*permitRow(nil), c.ending...) {
		if !p.cancelled {
			p.cancelled, p.cancelAt = true, now
			c.emit(CancelOnTarget{Target: p.target.info.Name, ID: p.permit.Request})
		}
		p.target.wantState = true
		if c.endsWithoutStatement(now, p) {
			c.endPermit(now, p)
			c.ending = without(c.ending, p)
		}
	}
}

// endsWithoutStatement covers services, which hold no slots and may state
// nothing, and targets that left the list: neither can lose an adapter in use.
func (c *Core) endsWithoutStatement(now Time, p *permitRow) bool {
	if p.target.info.Class == model.ClassService {
		return now-p.cancelAt >= c.params.ServiceHold
	}
	return !p.target.present
}
