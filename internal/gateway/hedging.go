package gateway

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/hedge"
	"cicadaslip/internal/placer"
)

// Hedging decides on second attempts at a request beside one that goes on.
type Hedging interface {
	// CountRequest counts a request towards the limit of a service.
	CountRequest(service string)
	// Observe records the latency of the first attempt at a request, and whether it has answered.
	// An attempt that ended because another one was first counts with the time until then.
	Observe(service string, took, expected time.Duration, answered bool)
	// Delay returns the time after which a request is hedged. leaves tells that its first attempt is
	// left hedge.Overlap after the second one has begun. Delay reports false if the request is not
	// hedged, or if that is not known yet.
	Delay(service string, expected time.Duration, leaves bool) (time.Duration, bool)
	// Take reports why a request may not be hedged now. If it may, the hedge counts.
	Take(service string, q HedgeQuestion) hedge.Denial
	// Return gives back a hedge that was taken at a time and that no target has received.
	Return(service string, takenAt time.Time)
	// Short records that a hedge found the service short of capacity.
	Short(service string)
}

// HedgeQuestion describes a hedge that Hedging.Take decides on.
type HedgeQuestion struct {
	Conditions   hedge.Conditions
	Organisation string   // that sends the request, empty if none
	Placed       bool     // the owner of a target group decides on the capacity
	Exclude      []string // targets that have the request, unless Placed
}

// Details of a StepHedgeEnded.
const (
	HedgeWon    = "won"    // its answer was the first one
	HedgeLost   = "lost"   // another attempt answered before, or the request ended
	HedgeFailed = "failed" // it ended without an answer
)

const (
	// plainExpectation is what the latencies of plain requests are compared with: all requests
	// of a service are alike.
	plainExpectation = time.Second
	// estimateMargin is added to the estimate of the time until the first event, so that the
	// noise of a short one does not count as a multiple of it.
	estimateMargin = 100 * time.Millisecond
)

// takeHedge reports whether the request may be sent to a second target now, and when that was
// decided. exclude are the targets of a plain request.
func (c *call) takeHedge(exclude []string) (takenAt time.Time, allowed bool) {
	q := HedgeQuestion{
		Conditions: hedge.Conditions{ShuttingDown: c.server.draining.Load(), MayCrash: c.mayCrashTargets()},
		Placed:     c.isEngine, Exclude: exclude,
	}
	if c.organisation != nil {
		q.Organisation = c.organisation.Name
	}
	if denial := c.server.opt.Hedging.Take(c.service, q); denial != "" {
		c.denyHedge(denial)
		return time.Time{}, false
	}
	return time.Now(), true
}

// denyHedge records why the request was not hedged, once for each reason.
func (c *call) denyHedge(reason hedge.Denial) {
	c.trace.addStepOnce(StepHedgeDenied, string(reason))
}

// hedgeResult returns how a hedge of a plain request ended.
func hedgeResult(r *reply) string {
	if r.acceptable() {
		return HedgeWon
	}
	return HedgeFailed
}

// plainHedgeDenial returns the reason for which a hedge of a plain request was not started.
func plainHedgeDenial(failure *errs.Error) hedge.Denial {
	switch failure.Code {
	case errs.Overloaded:
		return hedge.NoRetry
	case errs.QuotaExceeded:
		return hedge.OverQuota
	}
	return hedge.NoTarget
}

// observePlain records the latency of the first attempt at a plain request.
func (c *call) observePlain(r *reply, took time.Duration) {
	if c.server.opt.Hedging == nil || !r.retryAt.IsZero() || !r.sent {
		return
	}
	beaten := c.ctx.Err() != nil && !c.callerLeft.Load() && !c.endedByShutdown()
	if r.acceptable() || beaten {
		c.server.opt.Hedging.Observe(c.service, took, plainExpectation, r.acceptable())
	}
}

// observeFirstEvent records the time that the first target of a request has taken for the first event,
// or until it was left without one.
func (c *call) observeFirstEvent(s *targetStream, answered bool) {
	if c.server.opt.Hedging != nil && c.beginsStream(s) {
		c.server.opt.Hedging.Observe(c.service, time.Since(s.sentAt), s.lease.Estimate+estimateMargin, answered)
	}
}

// beginsStream reports whether an attempt is to begin the stream of a caller that has got nothing
// of it, with no other attempt beside it.
func (c *call) beginsStream(s *targetStream) bool {
	return s.sent && s.opening.handover == nil && !c.streamBegun
}

// firstEventHedge returns the time after which an attempt is hedged. It reports false if it is not.
func (c *call) firstEventHedge(s *targetStream) (time.Duration, bool) {
	if c.server.opt.Hedging == nil || !c.beginsStream(s) {
		return 0, false
	}
	return c.server.opt.Hedging.Delay(c.service, s.lease.Estimate+estimateMargin, true)
}

// mayHedge is like takeHedge. A panic counts as a denial.
func (h *handover) mayHedge() (takenAt time.Time, allowed bool) {
	defer h.contain()
	return h.call.takeHedge(nil)
}

// openHedge opens the stream at a second target beside the first one. It reports false, with the
// failure, if nothing has come of that, so that the handover is as before.
func (h *handover) openHedge() bool {
	c := h.call
	if !c.takeRetry() {
		c.server.opt.Hedging.Return(c.service, h.hedgeTakenAt)
		c.denyHedge(hedge.NoRetry)
		return false
	}
	c.excluded = append(c.excluded, h.from.lease.Grant.Target)
	next := h.next
	next.hedge = true
	stream, event, failure := c.tryOpenStream(next)
	c.excluded = without(c.excluded, h.from.lease.Grant.Target)
	c.returnRetry()
	h.failure = failure
	switch {
	case failure == nil && h.win():
		h.stream, h.event = stream, event
		c.trace.addStep(StepHedgeEnded, stream.lease.Grant.Target, HedgeWon)
		return true
	case failure == nil:
		stream.release(c, placer.Cancelled)
		h.failure = errs.New(errs.Cancelled, "the first target delivered the first event")
		c.trace.addStep(StepHedgeEnded, stream.lease.Grant.Target, HedgeLost)
	case h.hedgedTo != "" && h.next.ctx.Err() != nil:
		c.trace.addStep(StepHedgeEnded, h.hedgedTo, HedgeLost)
	case h.hedgedTo != "":
		c.trace.addStep(StepHedgeEnded, h.hedgedTo, HedgeFailed)
	default:
		c.server.opt.Hedging.Return(c.service, h.hedgeTakenAt)
		if h.next.ctx.Err() == nil { // else the first target has delivered meanwhile
			c.denyHedge(hedgeDenial(failure))
		}
	}
	if failure != nil && (failure.Code == errs.Overloaded || failure.Code == errs.TargetRefused && failure.Ran == errs.RanNo) {
		c.server.opt.Hedging.Short(c.service)
	}
	return false
}

// hedgeDenial returns the reason for which a hedge was not sent.
func hedgeDenial(failure *errs.Error) hedge.Denial {
	switch failure.Code {
	case errs.NotOwner, errs.Timeout, errs.PeerUnavailable, errs.Draining, errs.Cancelled:
		return hedge.NoOwner
	case errs.Overloaded:
		return hedge.NoCapacity
	case errs.QuotaExceeded:
		return hedge.OverQuota
	case errs.Quarantined:
		return hedge.MayCrash
	}
	return hedge.NoTarget
}

// win moves the request to the target of a hedge, which has delivered first or has had the request
// for maxOverlap. It reports false if the first target has delivered before.
func (h *handover) win() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outcome == kept {
		return false
	}
	if h.outcome == undecided {
		h.beaten, h.outcome = true, moved
	}
	h.from.cancel()
	return true
}

// awaitLate makes the handover begin when the first target is late, after a hedge that has come to
// nothing. It reports false if the request does not go on at the first target as before.
func (h *handover) awaitLate() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge, h.hedgedTo = false, ""
	if h.outcome != undecided {
		return false
	}
	h.started = false
	h.cancel()
	if h.call.mayStartAnother() {
		h.timer.Reset(time.Until(h.lateAt))
	}
	return true
}

// leaveFailure returns the failure of the first target, which the request has left.
func (h *handover) leaveFailure(failure *errs.Error) *errs.Error {
	if h.beaten {
		return errs.New(errs.Cancelled, "another target has replaced this one").WithRan(errs.RanUnknown)
	}
	return lateFailure(failure)
}
