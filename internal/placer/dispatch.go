package placer

import (
	"cmp"
	"slices"
	"time"

	"cicadaslip/internal/errs"
)

// usable reports whether requests may be sent to a placement. An outdated version
// is used for up to versionGrace, until another target has the newest one.
func (c *Core) usable(pl *placement) bool {
	if pl.state != placementReady || pl.uncertain || !pl.target.acceptsWork() {
		return false
	}
	if pl.staleSince == 0 {
		return true
	}
	if c.now-pl.staleSince > versionGrace {
		return false
	}
	return !slices.ContainsFunc(c.adapterState(pl.adapter).placements, func(other *placement) bool {
		return other.state == placementReady && other.staleSince == 0 && other.target.acceptsWork()
	})
}

// candidate is a target for a request, with the expected time until the first
// event.
type candidate struct {
	placement  *placement
	target     *targetState
	backlog    time.Duration
	limitWait  time.Duration // until the target's limit allows the request
	pauseWait  time.Duration // until the target wants requests from the request's VM
	decodeWait time.Duration // until the streams of the target have had the time for an event
	firstEvent time.Duration
	penalty    time.Duration // further costs of the target, expressed as a delay
}

// startDelay returns the expected time until the target begins the request.
func (a candidate) startDelay() time.Duration {
	return max(a.backlog, a.limitWait, a.pauseWait, a.decodeWait)
}

// betterThan reports whether a costs less than b, including the penalties.
func (a candidate) betterThan(b candidate) bool {
	return a.firstEvent+a.penalty < b.firstEvent+b.penalty
}

// hasCapacity reports whether a target can take one more request.
func (c *Core) hasCapacity(t *targetState, r *queuedRequest) bool {
	if t.reservedPass == c.dispatchPass && c.shares != nil {
		return false
	}
	if len(t.runs) == 0 {
		return true
	}
	limit := int(maxCacheFill * float64(c.params.Engine.CacheTokens))
	return len(t.runs) < t.description.Slots && (c.params.Engine.CacheTokens == 0 || t.runTokens+r.PromptTokens+r.OutputTokens <= limit)
}

// backlog returns the time that a target still needs for the prefill of the
// granted prompts.
func (c *Core) backlog(t *targetState) time.Duration { return max(0, t.prefillUntil-c.now) }

// estimate returns a target as a candidate for a request.
func (c *Core) estimate(t *targetState, r *queuedRequest) candidate {
	backlog := c.backlog(t)
	roundTrip, penalty := c.networkCost(t, &r.Request)
	penalty += c.interferencePenalty(t, &r.Request)
	penalty += c.limitPenalty(t, &r.Request)
	prefill := c.prefillTime(t, &r.Request)
	option := candidate{
		target: t, backlog: backlog, limitWait: c.limitWait(t), pauseWait: t.pausedFor(c.now, r.Holder), decodeWait: c.decodeWait(t, prefill),
		penalty: penalty,
	}
	option.firstEvent = option.startDelay() + prefill + c.firstEventTime(t) + roundTrip
	return option
}

// interferencePenalty returns the penalty for the interference between a request
// and the other work of a target, which interleaves prefill with the decoding of
// its running streams.
func (c *Core) interferencePenalty(t *targetState, r *Request) time.Duration {
	if r.PromptTokens < longPromptTokens {
		return time.Duration(min(1, t.recentPrefillShare(c.now)) * float64(prefillPenalty))
	}
	return min(maxStreamPenalty, time.Duration(len(t.runs))*streamPenalty)
}

// networkCost returns the round-trip time between a request's VM and a target, and
// the penalty for sending the request there.
func (c *Core) networkCost(t *targetState, r *Request) (roundTrip, penalty time.Duration) {
	if r.DataCentre == "" || c.params.Regions[r.DataCentre] == c.params.Regions[t.description.DataCentre] {
		return 0, 0
	}
	return regionRoundTrip, regionBytePenalty * time.Duration(r.Bytes)
}

// bestCandidate returns the target with the earliest first event, including
// penalties, among those that have the request's adapter ready. Targets that are
// being avoided are used only if there is no other. The result full reports whether
// a target was skipped for lack of capacity.
func (c *Core) bestCandidate(r *queuedRequest) (best candidate, full bool) {
	var avoided candidate
	for _, pl := range r.adapter.placements {
		t := pl.target
		if !c.usable(pl) || slices.Contains(r.Exclude, t.description.ID) || !t.hasReadyModel(r.Request.Adapter.Model) {
			continue
		}
		if !c.hasCapacity(t, r) {
			full = true
			continue
		}
		option := c.estimate(t, r)
		if pl.staleSince != 0 && c.now+option.startDelay()-pl.staleSince > versionGrace {
			continue // the request would begin on the outdated version too late
		}
		option.placement = pl
		dest := &best
		if c.now < t.avoidUntil {
			dest = &avoided
		}
		if dest.placement == nil || option.betterThan(*dest) {
			*dest = option
		}
	}
	if best.placement == nil {
		return avoided, full
	}
	return best, full
}

// While more than largeQueue requests are queued, the whole queue is dispatched at
// most once per largeQueuePassInterval, and each new request once on arrival.
const (
	largeQueue             = 12
	largeQueuePassInterval = 8 * time.Millisecond
)

// dispatchQueue grants queued requests: first those that can still meet their
// objective, in order of rank and arrival, then late ones within the remaining
// capacity.
func (c *Core) dispatchQueue() {
	if len(c.queue) == 0 || len(c.queue) > largeQueue && c.now < c.lastFullPass+largeQueuePassInterval && !c.hasNewRequest {
		return
	}
	c.dispatchPass++
	if len(c.queue) > largeQueue && c.now < c.lastFullPass+largeQueuePassInterval {
		if c.shares != nil {
			return // a new request does not go ahead of the order
		}
		c.hasNewRequest = false
		c.dispatchRequest(c.queue[len(c.queue)-1])
		return
	}
	c.lastFullPass, c.hasNewRequest = c.now, false
	queue := slices.Clone(c.queue)
	c.replicateBusyAdapters()
	if c.shares != nil {
		c.orderByShares(queue)
		c.shares.order = queue
		for _, r := range queue {
			c.dispatchRequest(r)
		}
		return
	}
	for _, r := range queue {
		r.late = c.cannotBeOnTime(r)
	}
	slices.SortStableFunc(queue, func(a, b *queuedRequest) int {
		return cmp.Or(compareBools(a.late, b.late), compareRanks(a.rank(), b.rank()))
	})
	for _, r := range queue {
		c.dispatchRequest(r)
	}
}

// dispatchRequest grants a request, leaves it in the queue, or starts a load of its
// adapter.
func (c *Core) dispatchRequest(r *queuedRequest) {
	if r.Hedge {
		c.dispatchHedge(r)
		return
	}
	best, full := c.bestCandidate(r)
	timeLeft := r.firstEventDue - c.now
	if best.placement != nil && best.firstEvent <= timeLeft {
		if max(best.backlog, best.limitWait) >= replicationBacklog {
			c.considerReplica(r, best)
		}
		if !c.defersLongPrompt(r, best, timeLeft) && c.leavesRoom(r, best) {
			c.grantWithinLimit(r, best)
		}
		return
	}
	if pendingFirst, found := c.earliestPendingLoad(r); found && (best.placement == nil || pendingFirst < best.firstEvent) {
		return
	}
	if best.placement == nil {
		if full {
			c.reserveCapacity(r)
		}
		if c.now < r.latestStart && c.startsTooLate(r) {
			c.refuse(r, errs.NotRun(errs.NoTarget, "no target has the adapter, and the owner may not order a load in time").
				WithRetry(retryAfter(c.ordersFrom-c.now)))
			return
		}
		c.startLoad(r, 0)
		return
	}
	if timeLeft > 0 && c.replicaPaysOff(r.adapter) && c.startLoad(r, timeLeft) {
		return
	}
	if best.backlog <= c.maxLateBacklog(r) {
		c.grantWithinLimit(r, best)
	}
}

// grantWithinLimit grants a request, or leaves it in the queue until the target's limit allows
// it, the target wants it and its streams have had the time for an event.
func (c *Core) grantWithinLimit(r *queuedRequest, best candidate) {
	if best.pauseWait > 0 {
		c.holdUpForPause(r, best.target)
		return
	}
	if best.limitWait > 0 {
		c.reserveLimit(best.target)
		c.holdUp(r, best.target)
		return
	}
	if best.decodeWait > 0 {
		r.decodeWaitFrom = cmp.Or(r.decodeWaitFrom, c.now)
		return
	}
	c.grant(r, best)
}

// startsTooLate reports whether a load of a request's adapter, ordered as soon as orders
// are expected to be allowed, would end too late for a useful answer.
func (c *Core) startsTooLate(r *queuedRequest) bool {
	return !c.ordersAllowed && c.ordersFrom+c.latencies.loadTime(true) > r.latestStart
}

// defersLongPrompt reports whether a long prompt stays queued until its target has
// finished the prefill of earlier prompts. It is deferred only while it can still be
// on time. A target interleaves prefill with the decoding of its running streams, so
// prompts in direct succession would stall the streams until the last one is done.
func (c *Core) defersLongPrompt(r *queuedRequest, best candidate, timeLeft time.Duration) bool {
	if best.backlog == 0 || r.PromptTokens < longPromptTokens || best.firstEvent+deferralMargin > timeLeft {
		return false
	}
	for _, run := range best.target.runs {
		if run.firstEventSeen {
			return true
		}
	}
	return false
}

// deferralMargin is the time that must be left after the expected first event for a
// long prompt to be deferred.
const deferralMargin = 250 * time.Millisecond

// earliestPendingLoad returns the shortest expected time until the first event over
// all targets that are loading the request's adapter, and whether there is such a
// target.
func (c *Core) earliestPendingLoad(r *queuedRequest) (firstEvent time.Duration, found bool) {
	for _, pl := range r.adapter.placements {
		if pl.state != placementLoading || pl.uncertain || !pl.target.acceptsWork() || c.now-pl.stateSince > maxLoadTime ||
			slices.Contains(r.Exclude, pl.target.description.ID) || !pl.mayBeUnderWay() && c.startsTooLate(r) {
			continue
		}
		since := pl.stateSince
		if pl.accepted {
			since = pl.acceptedAt
		}
		expected := max(0, since+c.latencies.loadTime(pl.cold)-c.now, pl.target.heldUntil-c.now) + c.estimate(pl.target, r).firstEvent
		if !found || expected < firstEvent {
			firstEvent, found = expected, true
		}
	}
	return firstEvent, found
}

// mayBeUnderWay reports whether the target may have got the order to load or unload the adapter.
func (pl *placement) mayBeUnderWay() bool {
	t := pl.target
	return pl.accepted || pl.unobserved || t.inFlight != nil && t.inFlightPlan.placement == pl
}

// considerReplica starts a load of the adapter on a further target if demand is high
// and another target would produce the first event clearly earlier than the best
// current one.
func (c *Core) considerReplica(r *queuedRequest, best candidate) {
	if r.Request.Adapter.Name != "" && !c.isLoading(r.adapter) && r.adapter.demandAt(c.now) >= replicationDemand*float64(len(r.adapter.placements)) {
		c.startLoad(r, best.firstEvent*4/5)
	}
}

// replicaPaysOff reports whether an adapter may be loaded on a further target: always while the
// weights store has capacity left, and otherwise only if the demand for it is high. A load for few
// requests would delay the loads of adapters that are on no target.
func (c *Core) replicaPaysOff(a *adapterState) bool {
	return float64(c.currentColdLoads()) < spareTransit*c.transit.limit || a.demandAt(c.now) >= replicationDemand*float64(len(a.placements))
}

// isLoading reports whether a load of the adapter is under way.
func (c *Core) isLoading(a *adapterState) bool {
	return slices.ContainsFunc(a.placements, func(pl *placement) bool {
		return pl.state == placementLoading && !pl.uncertain && pl.target.acceptsWork() && c.now-pl.stateSince < maxLoadTime
	})
}

// grant assigns a request to a candidate's target.
func (c *Core) grant(r *queuedRequest, best candidate) {
	t, pl := best.target, best.placement
	late := r.firstEventDue < c.now+best.firstEvent
	c.dequeue(r)
	cachedTokens := t.prefixes.cachedTokens(r.Request.Adapter, r.Parts)
	run := &activeRun{
		request: r, target: t, grantedAt: c.now, expectedFirstEvent: best.firstEvent, prefillTime: c.prefillTime(t, &r.Request),
		uncachedTokens: max(0, r.PromptTokens-cachedTokens), onlyPrefill: best.backlog == 0,
	}
	pl.lastUsedAt = c.now
	t.limit.Take(c.now)
	c.startPacedRun(t, r, run.prefillTime)
	t.runs[r.ID], c.runs[r.ID] = run, run
	t.runTokens += r.PromptTokens + r.OutputTokens
	t.prefillUntil = max(t.prefillUntil, c.now) + run.prefillTime
	t.addPrefill(c.now, run.prefillTime)
	c.countGrant(r, run.prefillTime)
	t.prefixes.add(r.Request.Adapter, r.Parts)
	c.emit(GrantRequest{
		Grant: Grant{
			Request: r.ID, Target: t.description.ID, Address: t.description.Address, Version: pl.version,
			Priority: c.enginePriorities.Of(c.now, &r.Request, late), Born: t.description.Born,
		},
		Estimate: best.firstEvent, Backlog: best.backlog, Waited: c.now - r.queuedAt,
		Hold: c.limitHold(r), Pause: c.pauseHold(r), StreamsWait: c.streamsWait(r), Repeat: len(r.Exclude) > 0, Organisation: r.Organisation,
	})
}

// admit returns a refusal if a new request cannot be expected to start in time, nil if it can.
func (c *Core) admit(r *queuedRequest) *RefuseRequest {
	targets, backlog, queued := 0, time.Duration(0), time.Duration(0)
	for _, t := range c.targets {
		if t.acceptsWork() {
			targets++
			backlog += c.backlog(t)
		}
	}
	if targets == 0 {
		return &RefuseRequest{ID: r.ID, Err: errNoTarget()}
	}
	if failure, pause := c.checkPauses(r); failure != nil {
		return &RefuseRequest{ID: r.ID, Err: failure, Pause: pause}
	}
	if len(c.queue) == 0 {
		return nil
	}
	if failure, hold := c.checkLimits(r); failure != nil {
		return &RefuseRequest{ID: r.ID, Err: failure, Hold: hold}
	}
	if c.shares != nil {
		if len(c.queue) >= maxQueueLength {
			return c.makeRoom(r)
		}
		return c.admitByShare(r)
	}
	for _, other := range c.queue {
		if compareRanks(other.rank(), r.rank()) <= 0 {
			queued += c.latencies.prefill(other.PromptTokens)
		}
	}
	wait := (backlog + queued) / time.Duration(targets)
	if float64(wait) > maxWaitFraction*float64(r.latestStart-c.now) {
		return &RefuseRequest{ID: r.ID, Err: errs.NotRun(errs.Overloaded, "the request would wait beyond its deadline").WithRetry(retryAfter(wait))}
	}
	return nil
}

// errNoTarget returns the error for requests to a group whose targets all leave.
func errNoTarget() *errs.Error {
	return errs.NotRun(errs.NoTarget, "no target of the group takes new work").WithRetry(maxRetryAfter / 2)
}

// retryAfter returns the retry delay for a request that would wait that long.
func retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait/2))
}

// refuseExpired refuses queued requests that can no longer be answered in time, and
// all of them while the owner drains or all targets leave.
func (c *Core) refuseExpired() {
	if len(c.queue) == 0 {
		return
	}
	served := slices.ContainsFunc(c.targets, (*targetState).acceptsWork)
	if served && !c.draining {
		c.refuseUnreachable()
	}
	for _, r := range slices.Clone(c.queue) {
		switch {
		case c.draining:
			c.refuse(r, errs.NotRun(errs.Draining, "the owner of the target group is shutting down"))
		case !served:
			c.refuse(r, errNoTarget())
		case c.now >= r.latestStart && c.shares != nil:
			c.refuseByShare(r, c.refusalByShare(r, CauseCapacity, c.Backlog(c.now), errs.DeadlineUnreachable, "no target could start the request in time"))
		case c.now >= r.latestStart:
			c.refuse(r, errs.NotRun(errs.DeadlineUnreachable, "no target could start the request in time").WithRetry(minRetryAfter))
		default:
			if failure, pause := c.checkPauses(r); failure != nil {
				r.refusedBy = pause
				c.refuse(r, failure)
			}
		}
	}
}
