package placer

import (
	"slices"
	"time"
)

// sendOrders sends each target the next order that is due, and requests the reports
// that are needed.
func (c *Core) sendOrders() {
	for _, t := range c.targets {
		c.reportInsteadOfPoll(t)
		if t.needsReport && t.inFlight == nil && (!t.reportRequested || c.now-t.reportRequestedAt >= reportRetryInterval) && c.now >= t.ordersFrom() {
			t.reportRequested, t.reportRequestedAt = true, c.now
			t.countOrder(c.now)
			c.emit(FetchReport{Target: t.description.ID, Address: t.description.Address, Born: t.description.Born, StateUnknown: !t.stateKnown})
		}
		if c.ordersAllowed && t.inFlight == nil && t.stateKnown && !t.needsReport && c.now >= t.ordersFrom() {
			c.dropLoadsWithoutRoom(t)
			c.sendNextOrder(t)
		}
	}
}

// reportInsteadOfPoll schedules the fetch of a report while no orders are allowed, if the target
// may have carried out an order. A poll for the end of a load is an order as well, so requests
// would wait for an adapter that is ready.
func (c *Core) reportInsteadOfPoll(t *targetState) {
	if c.ordersAllowed || t.needsReport || t.inFlight != nil || !t.stateKnown {
		return
	}
	due := false
	for _, p := range t.plannedOrders {
		if p.notBefore <= c.now && (p.placement.accepted || p.placement.unobserved) {
			p.placement.unobserved, due = true, true
		}
	}
	if due {
		c.requestFreshReport(t)
	}
}

// dropLoadsWithoutRoom drops the latest planned loads of a target while it has no room for them
// and unloads nothing that would make room. A report can show an adapter that was loaded by an
// order from before a restart, after a load was planned in its place. Without this, planned loads
// would keep each other from being sent for good. Requests that need the adapters plan new loads.
func (c *Core) dropLoadsWithoutRoom(t *targetState) {
	for i := len(t.plannedOrders) - 1; i >= 0; i-- {
		p := t.plannedOrders[i]
		if p.operation != Load || c.hasRoomFor(t, p) {
			continue
		}
		if isUnloading(t) {
			return
		}
		c.removePlacement(p.placement)
	}
}

// sendNextOrder sends the first planned order of a target that may be sent now.
func (c *Core) sendNextOrder(t *targetState) {
	for i, p := range t.plannedOrders {
		if !t.accepts(p) || p.notBefore > c.now || p.afterUnload != nil && t.placements[p.afterUnload.adapter] == p.afterUnload || !c.hasRoomFor(t, p) {
			continue
		}
		t.plannedOrders = slices.Delete(t.plannedOrders, i, i+1)
		if c.assumeLoaded(t, p) {
			return
		}
		c.orderCount++
		t.inFlightPlan, t.inFlightAt = p, c.now
		t.inFlight = &Order{
			Target: t.description.ID, Address: t.description.Address, Born: t.description.Born, Operation: p.operation, Adapter: p.placement.adapter,
			Precondition: t.acceptedOrders, Poll: p.placement.accepted, Busy: p.operation == Load && p.placement.busy, id: c.orderCount,
		}
		if p.operation == Load && p.placement.adapter.Name != "" {
			t.inFlight.Version = p.placement.version
		}
		t.countOrder(c.now)
		c.emit(SendOrder{Order: *t.inFlight})
		return
	}
}

// accepts reports whether a target may get a planned order. A leaving target gets no loads,
// and no polls for the end of one.
func (t *targetState) accepts(p plannedOrder) bool { return p.operation != Load || t.acceptsWork() }

// hasRoomFor reports whether a target has room for a planned order. Only loads that the target
// has not yet accepted need any.
func (c *Core) hasRoomFor(t *targetState, p plannedOrder) bool {
	if p.operation != Load || p.placement.accepted {
		return true
	}
	if p.placement.adapter.Name == "" {
		return !c.exceedsMemory(t)
	}
	taken, _ := t.slots()
	return taken <= c.slotLimit(t)
}

// slotLimit returns the number of adapters that a target has room for, given its slots and the
// memory that its base models leave free. All adapters count as large as the largest one. Each
// load from before a restart of the target that may still be executed after the next order
// reserves a slot, or the memory of its base model.
func (c *Core) slotLimit(t *targetState) int {
	limit := c.params.Engine.AdapterSlots
	late := c.lateLoadsOf(t.description.ID).executableAfterNext(t.acceptedOrders, c.now)
	modelsMB, adapterMB := c.memoryNeeds(t, late)
	if c.params.Engine.WeightsMB > 0 && adapterMB > 0 {
		limit = min(limit, int((c.params.Engine.WeightsMB-modelsMB)/adapterMB))
	}
	for _, a := range late {
		if a.Name != "" {
			limit--
		}
	}
	return max(0, limit)
}

// exceedsMemory reports whether the base models and adapters that are placed on a target need
// more memory than it has.
func (c *Core) exceedsMemory(t *targetState) bool {
	late := c.lateLoadsOf(t.description.ID).executableAfterNext(t.acceptedOrders, c.now)
	modelsMB, adapterMB := c.memoryNeeds(t, late)
	taken, _ := t.slots()
	return c.params.Engine.WeightsMB > 0 && modelsMB+float64(taken)*adapterMB > c.params.Engine.WeightsMB
}

// memoryNeeds returns the memory of the base models that are on a target, are being loaded there
// or are among the late loads, and that of the largest adapter of any of them.
func (c *Core) memoryNeeds(t *targetState, late []Adapter) (modelsMB, adapterMB float64) {
	add := func(a Adapter) {
		size := c.modelSize(a.Model)
		if a.Name == "" {
			modelsMB += size.WeightsMB
		}
		adapterMB = max(adapterMB, size.AdapterMB)
	}
	for a := range t.placements {
		add(a)
	}
	for _, a := range late {
		if t.placements[a] == nil || a.Name != "" {
			add(a)
		}
	}
	return modelsMB, adapterMB
}

// modelSize returns the sizes of a base model and its adapters. A model that the configuration
// does not describe, such as one that it no longer lists, counts as large as the largest one.
func (c *Core) modelSize(name string) Model {
	var largest Model
	for _, m := range c.params.Engine.Models {
		if m.Name == name {
			return m
		}
		largest.WeightsMB, largest.AdapterMB = max(largest.WeightsMB, m.WeightsMB), max(largest.AdapterMB, m.AdapterMB)
	}
	return largest
}

// HandleOrderResult processes the answer to an order.
func (c *Core) HandleOrderResult(now Time, order Order, result OrderResult) {
	c.advance(now)
	t := c.targetsByID[order.Target]
	if t == nil || t.inFlight == nil || t.inFlight.id != order.id {
		return
	}
	plan := t.inFlightPlan
	t.inFlight = nil
	pl := plan.placement
	if t.placements[pl.adapter] != pl {
		t.needsReport, t.reportsValidFrom = true, c.now
		return
	}
	switch result {
	case Accepted:
		c.handleAccepted(t, plan)
	case AlreadyApplied:
		c.handleCompleted(t, plan)
	case Conflict:
		t.plannedOrders = slices.Insert(t.plannedOrders, 0, plan)
		c.requestFreshReport(t)
	case Fenced:
		c.emit(RelinquishOwnership{Target: t.description.ID})
	case Misdirected:
		t.plannedOrders = slices.Insert(t.plannedOrders, 0, plan)
		t.noOrdersUntil = c.now + rejectedOrderPause
		c.requestFreshReport(t)
	case Invalid:
		c.adapterState(pl.adapter).noLoadUntil = c.now + rejectedOrderPause
		pl.uncertain = true
		c.requestFreshReport(t)
	case Withheld:
		t.plannedOrders = slices.Insert(t.plannedOrders, 0, plan)
	case NotSent:
		t.plannedOrders = slices.Insert(t.plannedOrders, 0, plan)
		c.recordFailure(t)
		t.noOrdersUntil = c.now + orderRetryDelay*time.Duration(min(8, t.consecutiveFailures))
	default:
		// An unanswered order says nothing about the target's other work. It is
		// repeated at once: the precondition ensures that it is executed only once.
		t.plannedOrders = slices.Insert(t.plannedOrders, 0, plan)
		t.unansweredOrders++
		pl.unobserved = true
		pl.uncertain = t.unansweredOrders >= uncertainAfterOrders
		if plan.operation == Load {
			c.lateLoadsOf(order.Target).addUnanswered(order.Precondition, order.Adapter, c.now)
		}
	}
	if result != Unanswered {
		t.unansweredOrders = 0
	}
}

// uncertainAfterOrders is the number of consecutive unanswered orders from which a
// placement is uncertain, so that its adapter is also loaded on another target.
const uncertainAfterOrders = 3

// handleAccepted records that a target is executing an order, and plans the next poll
// for its end.
func (c *Core) handleAccepted(t *targetState, p plannedOrder) {
	pl := p.placement
	pl.uncertain = false
	if !pl.accepted {
		pl.accepted, pl.acceptedAt, pl.underWay, pl.unobserved = true, c.now, c.countColdLoads(), false
		t.acceptedOrders++
	} else {
		pl.seenLoading = t.inFlightAt
	}
	pl.polls++
	p.notBefore = c.now + t.limitedPollDelay(c.pollDelay(pl))
	t.plannedOrders = append(t.plannedOrders, p)
}

const (
	// maxWarmPolls is the number of polls after which a load that was expected to come
	// from the target's memory counts as one from the weights store.
	maxWarmPolls = 5
	// firstPollFraction is the fraction of the expected load time after which the
	// target is first polled. It is below 1, so that the expectation can decrease.
	firstPollFraction = 0.85
)

// pollDelay returns the time until the next poll for the end of a load or unload.
func (c *Core) pollDelay(pl *placement) time.Duration {
	switch {
	case pl.adapter.Name == "":
		return modelPollInterval
	case pl.state == placementUnloading:
		return 2 * coldPollInterval
	case pl.polls == 1:
		return max(warmPollInterval, time.Duration(firstPollFraction*float64(c.latencies.loadTime(pl.cold))))
	case pl.cold:
		return coldPollInterval
	case pl.polls > maxWarmPolls:
		pl.cold = true
	}
	return warmPollInterval
}

// handleCompleted records that an order has been executed.
func (c *Core) handleCompleted(t *targetState, p plannedOrder) {
	pl := p.placement
	pl.uncertain = false
	if p.operation == Unload {
		if !pl.accepted {
			t.acceptedOrders++
		}
		if pl.adapter.Name != "" {
			t.recentlyUnloaded.add(pl.adapter)
		}
		c.removePlacement(pl)
		return
	}
	if pl.accepted && pl.adapter.Name != "" {
		c.latencies.observeLoad(pl.cold, c.now-pl.acceptedAt, pl.polls == 1)
		if pl.cold && !pl.unobserved {
			c.transit.observe(max(0, pl.seenLoading-pl.acceptedAt), c.now-pl.acceptedAt, max(pl.underWay, c.countColdLoads()), float64(maxLoadsPerTarget*len(c.targets)))
		}
	}
	t.recentlyUnloaded.remove(pl.adapter)
	c.markReady(pl)
}

// markReady marks a placement as ready, and as stale since the announcement of a newer version
// if there was one meanwhile.
func (c *Core) markReady(pl *placement) {
	pl.state, pl.stateSince, pl.lastUsedAt = placementReady, c.now, c.now
	c.updateStale(pl)
}

// requestFreshReport schedules the fetch of a report that reflects all orders up to
// now. It is due after maxReportLag, since a report may lag that far behind.
func (c *Core) requestFreshReport(t *targetState) {
	t.needsReport, t.reportRequested = true, true
	t.reportsValidFrom = c.now + maxReportLag
	t.reportRequestedAt = c.now + maxReportLag - reportRetryInterval
}

// HandleReport processes a target's report that was requested at requestedAt. The
// report is nil if it could not be fetched.
func (c *Core) HandleReport(now, requestedAt Time, target string, report *Report) {
	c.advance(now)
	t := c.targetsByID[target]
	if t == nil || !t.needsReport || requestedAt < t.reportsValidFrom || t.inFlight != nil {
		return
	}
	if report == nil {
		c.recordFailure(t)
		return
	}
	if report.Born != 0 && report.Born != t.description.Born {
		c.resetTarget(t)
		t.description.Born = report.Born
	} else if t.stateKnown && report.Sequence < t.acceptedOrders && c.now-t.reportsValidFrom < staleReportTimeout {
		return
	}
	t.stateKnown, t.needsReport, t.acceptedOrders = true, false, report.Sequence
	if report.Busy {
		t.noOrdersUntil = max(t.noOrdersUntil, c.now+modelPollInterval)
	}
	c.reconcile(t, report)
}

// staleReportTimeout is the time after which a report is accepted although it counts
// fewer accepted orders than expected.
const staleReportTimeout = 2 * time.Second

// reconcile updates the placements of a target to match its report, and plans the
// orders that are still needed.
func (c *Core) reconcile(t *targetState, report *Report) {
	loading := map[Adapter]bool{}
	for _, a := range report.Loading {
		loading[a] = true
	}
	ready := map[Adapter]int64{}
	for model, version := range report.Models {
		ready[Adapter{Model: model}] = version
	}
	for a, version := range report.Ready {
		ready[a] = version
	}
	t.plannedOrders = nil
	for _, pl := range sortedPlacements(t) {
		version, reported := ready[pl.adapter]
		c.reconcilePlacement(t, pl, reported, version, loading[pl.adapter])
	}
	for a, version := range ready {
		if t.placements[a] == nil {
			c.addPlacement(t, a, placementReady, version)
		}
	}
	for a := range loading {
		if t.placements[a] == nil {
			pl := c.addPlacement(t, a, placementLoading, 0)
			pl.accepted, pl.acceptedAt, pl.cold = true, c.now, true
			t.plannedOrders = append(t.plannedOrders, plannedOrder{operation: Load, placement: pl})
		}
	}
}

// reconcilePlacement updates one placement to match a report. The parameter reported
// tells whether the report lists it as loaded, in the given version, and loading
// whether it lists it as being loaded.
func (c *Core) reconcilePlacement(t *targetState, pl *placement, reported bool, version int64, loading bool) {
	pl.uncertain = false
	switch {
	case pl.state == placementUnloading && !reported && !loading:
		c.removePlacement(pl)
	case pl.state == placementUnloading:
		pl.accepted = false
		t.plannedOrders = append(t.plannedOrders, plannedOrder{operation: Unload, placement: pl})
	case reported && (pl.state == placementReady || version >= pl.version):
		pl.version = version
		c.markReady(pl)
	case pl.state == placementReady && !loading:
		c.removePlacement(pl)
	case pl.state == placementReady:
		pl.state, pl.stateSince = placementLoading, c.now
		fallthrough
	default:
		pl.accepted = loading
		if loading {
			pl.acceptedAt = c.now
		}
		c.replanLoad(t, pl)
	}
}

// replanLoad plans a load again that the target's report does not show as completed.
// If there is no room for it, the placement is removed, and the requests that need the
// adapter start another load.
func (c *Core) replanLoad(t *targetState, pl *placement) {
	p := plannedOrder{operation: Load, placement: pl}
	if !c.hasRoomFor(t, p) {
		c.removePlacement(pl)
		return
	}
	t.plannedOrders = append(t.plannedOrders, p)
}

// recordFailure records a failure of a target, which is avoided for a while after
// several in a row.
func (c *Core) recordFailure(t *targetState) {
	t.consecutiveFailures++
	if t.consecutiveFailures >= failuresToAvoid {
		avoidance := minAvoidance << min(t.consecutiveFailures-failuresToAvoid, 5)
		t.avoidUntil = c.now + min(avoidance, maxAvoidance)
	}
}
