package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/placer"
)

// defaultOutputDivisor gives the expected output of a request without a length hint: its
// maximum output divided by this value.
const defaultOutputDivisor = 4

// awaitPlacement waits after refusals until the placement may be asked again. Meanwhile other
// requests may use the retry that was taken for the attempt, and its charge. It returns false at once if the
// request is refused for good: one of which the caller has nothing yet, and that is not at
// work at another target, is better sent again by the caller.
func (c *call) awaitPlacement(o opening, failure *errs.Error) bool {
	if failure.Ran != errs.RanNo || o.handover == nil && !c.streamBegun || c.refusesWaiting() {
		return false
	}
	c.returnRetry()
	c.refundUnused()
	left, delay := time.Until(c.placementDeadline(o)), failure.Retry
	if failure.Code != errs.Quarantined {
		delay = min(delay, left/2) // the advice is meant for callers, which may come back later
	}
	delay = max(minPlacementDelay, delay)
	if delay >= left || !pause.For(o.ctx, delay) {
		return false
	}
	c.unavailable = nil
	return true
}

// placementDetail marks errors of the placement. These are final unless awaitPlacement says
// otherwise, because the placement has already asked all owners.
const placementDetail = "placement"

// isPlacementFailure reports whether an error comes from the placement.
func isPlacementFailure(e *errs.Error) bool {
	return len(e.Details) > 0 && e.Details[0] == placementDetail
}

// acquire waits for a lease of a target that takes requests.
func (c *call) acquire(o opening) (Lease, *errs.Error) {
	if failure := c.checkQuarantine(); failure != nil {
		return Lease{}, failure.WithDetails(placementDetail)
	}
	if !c.takeRetry() {
		return Lease{}, errs.NotRun(errs.Overloaded, "the retry budget of the service is used up").WithRetry(refusalRetryAfter).WithDetails(placementDetail)
	}
	lease, failure := c.acquireUsable(o)
	if failure != nil {
		return Lease{}, failure.WithDetails(placementDetail)
	}
	if failure := c.checkQuarantine(); failure != nil { // it may have begun during the wait
		c.server.opt.Placement.Release(lease, placer.Cancelled)
		return Lease{}, failure.WithDetails(placementDetail)
	}
	return lease, nil
}

// acquireUsable waits for a target that takes requests. The owner of a group may learn later
// than this VM that a target leaves or pauses.
func (c *call) acquireUsable(o opening) (Lease, *errs.Error) {
	if left := c.server.opt.Fleet.ServicePausedFor(c.service); left > time.Until(c.placementDeadline(o)) {
		c.traceServicePause()
		return Lease{}, errs.NotRun(errs.NoTarget, "no target of the service takes a request now").WithRetry(min(maxPauseAdvice, left))
	}
	ctx, cancel := context.WithDeadline(o.ctx, c.placementDeadline(o))
	defer cancel()
	if !c.streamBegun {
		defer context.AfterFunc(c.server.waits, cancel)()
	}
	var paused []string // targets that were granted during their pause
	for {
		request := c.placerRequest(o)
		lease, failure := c.server.opt.Placement.Acquire(ctx, c.service, request)
		if failure != nil {
			switch {
			case ctx.Err() == nil || c.ctx.Err() != nil:
			case c.refusesWaiting():
				failure = shutdownError(errs.RanNo)
			default:
				failure = errs.NotRun(errs.DeadlineUnreachable, "no target could start the request before the caller leaves").WithRetry(refusalRetryAfter)
			}
			return Lease{}, failure
		}
		if request.QuotaCost > 0 {
			c.charges++
		}
		c.trace.addPlacement(lease)
		g := lease.Grant
		switch {
		case !c.server.opt.Fleet.Usable(g.Target, g.Born):
			c.excluded = append(c.excluded, g.Target)
			c.trace.addStep(StepSkipped, g.Target, "the target leaves")
		case c.pauses(g.Target, g.Born):
			// The next request tells the owner of the pause, after which the target may be of
			// use again.
			if slices.Contains(paused, g.Target) {
				c.unavailable = append(c.unavailable, g.Target)
			}
			paused = append(paused, g.Target)
			c.trace.addStep(StepSkipped, g.Target, DetailPauses)
		default:
			return lease, nil
		}
		c.server.opt.Placement.Release(lease, placer.Cancelled)
	}
}

// refusesWaiting reports whether the shutdown of this VM ends the wait for a target.
func (c *call) refusesWaiting() bool { return !c.streamBegun && c.server.waits.Err() != nil }

// takeRetry takes a retry from the budget if the request has reached a target before. One that
// was taken and not sent counts for the next attempt.
func (c *call) takeRetry() bool {
	if c.arrivals == 0 || !c.retryTakenAt.IsZero() {
		return true
	}
	if !c.server.opt.Fleet.TakeRetry(c.service) {
		return false
	}
	c.retryTakenAt = time.Now()
	return true
}

// returnRetry gives back a retry that was taken and not sent.
func (c *call) returnRetry() {
	if !c.retryTakenAt.IsZero() {
		c.server.opt.Fleet.ReturnRetry(c.service, c.retryTakenAt)
		c.retryTakenAt = time.Time{}
	}
}

// abandonReserve is the part of the time until the caller abandons a stream that is left
// for the refusal of its request.
const abandonReserve = 150 * time.Millisecond

// minPlacementDelay is the time until the placement is asked again after a refusal.
const minPlacementDelay = 200 * time.Millisecond

// placementDeadline returns when the wait for a lease ends: before the caller abandons the
// stream, so that it still gets an answer.
func (c *call) placementDeadline(o opening) time.Time {
	if c.route.AbandonAfter <= 0 {
		return c.deadline
	}
	return o.waitingSince.Add(c.route.AbandonAfter - abandonReserve)
}

// placerRequest builds the request for a lease.
func (c *call) placerRequest(o opening) placer.Request {
	output := c.meta.LengthHint
	if output <= 0 {
		output = c.meta.MaxOutputTokens / defaultOutputDivisor
	}
	abandon := c.route.AbandonAfter
	if abandon > 0 {
		abandon -= time.Since(o.waitingSince)
	}
	objective := c.route.LatencyObjective - time.Since(c.arrived)
	if o.after > c.meta.LastEventID && abandon > 0 {
		objective = abandon
	}
	request := placer.Request{
		Abandon: abandon,
		ID:      shortID(c.meta.ID) + "/" + strconv.FormatUint(c.server.acquireCount.Add(1), 36), Adapter: c.meta.Adapter, Bytes: c.body.size, PromptTokens: c.meta.PromptTokens, OutputTokens: min(output, max(1, c.meta.MaxOutputTokens)),
		Parts: c.meta.Parts, Priority: c.route.Priority, Objective: objective, EventGap: c.route.EventGapObjective,
		Deadline: c.timeLeft(), Exclude: slices.Concat(c.excluded, c.unavailable), Hedge: o.hedge,
	}
	if c.organisation != nil {
		request.Organisation, request.OrganisationPriority = c.organisation.Name, c.organisation.Priority
		if c.needsCharge() {
			request.QuotaCost = c.quotaCost
		}
		request.QuotaRepeat = o.handover != nil || c.streamBegun || c.arrivals > 0
	}
	return request
}
