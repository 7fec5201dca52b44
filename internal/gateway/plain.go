package gateway

import (
	"context"
	"slices"
	"time"

	"cicadaslip/internal/balance"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/upstream"
)

const (
	// hedgeFactor is the multiple of a target's usual response time after which a
	// repeatable request is also sent to a second target.
	hedgeFactor = 3
	// minHedgeDelay is the minimum time before a request is hedged, and the
	// minimum time left to its deadline for which a hedge is sent.
	minHedgeDelay = 90 * time.Millisecond
	// silentFactor is the multiple of that time after which Hedging does not keep a request from
	// a further target: the target has probably frozen, and its answer would come too late.
	silentFactor = 3
	// minServerErrorStatus is the lowest HTTP status code of a server error.
	minServerErrorStatus = 500
)

// reply is the result of one attempt: the complete response of a target, or a
// failure.
type reply struct {
	exchange *upstream.Exchange
	body     []byte
	meta     ResponseMeta
	failure  *errs.Error
	refused  bool // the target states that it did not run the request
	sent     bool // the target may have received a part of the request
	withheld bool // the request was not sent because the target pauses
	target   fleet.Target
	request  upstream.Request
	sentAt   time.Time
	retryAt  time.Time // when the attempt's retry was taken from the budget, zero if it took none
	hedgedAt time.Time // when Hedging allowed the attempt, zero if it did not decide on it
}

// acceptable reports whether the reply is a response without a server error,
// for which no further target is tried.
func (r *reply) acceptable() bool {
	return r.failure == nil && r.exchange.Status < minServerErrorStatus
}

// servePlain serves a request to a service whose responses are not streams. It
// tries one target after another as long as retries are allowed. If the targets
// that have the request are slow, a hedge is sent to a further one while they are
// still running.
func (c *call) servePlain() {
	replies := make(chan *reply, c.route.MaxAttempts+maxRefusals+1)
	running, sent := 0, false
	var startedAt time.Time // of the last attempt
	var last *reply
	hedges := 0 // attempts under way that Hedging has allowed
	defer func() {
		for range hedges {
			c.trace.addStep(StepHedgeEnded, "", HedgeLost)
		}
	}()
	start := func(retryAt, hedgedAt time.Time) *errs.Error {
		target, found := c.server.opt.Fleet.Pick(c.service, c.excluded)
		if !found && c.server.opt.Fleet.Limited(c.service, c.excluded) {
			c.trace.addStep(StepLimited, "", "no share of a rate limit left")
			return errs.NotRun(errs.NoTarget, "the rate limits of the service's targets leave this VM no request now").WithRetry(time.Second)
		}
		if !found {
			c.traceServicePause()
			return errs.NotRun(errs.NoTarget, "no target of the service takes a request now").WithRetry(c.pauseAdvice(time.Second))
		}
		c.excluded = append(c.excluded, target.ID)
		startedAt = time.Now()
		running++
		c.possibleRuns++
		r := &reply{target: target, retryAt: retryAt, hedgedAt: hedgedAt, request: c.upstreamRequest(target.Address, Attempt{Target: target.ID})}
		r.request.Body = slices.Clone(c.body.first) // the attempt may outlive the call, whose buffer is used again
		go func() {
			c.attemptPlain(r)
			replies <- r
		}()
		c.trace.addStep(StepSent, target.ID, "")
		return nil
	}
	first := func() *errs.Error {
		if failure := c.payPlain(false); failure != nil {
			return failure
		}
		return start(time.Time{}, time.Time{})
	}
	// startExtra starts an attempt that the retry budget must allow.
	startExtra := func(hedgedAt time.Time) *errs.Error {
		if !c.server.opt.Fleet.TakeRetry(c.service) {
			return errs.NotRun(errs.Overloaded, "the retry budget of the service is used up")
		}
		takenAt := time.Now()
		failure := c.payPlain(running > 0)
		if failure == nil {
			failure = start(takenAt, hedgedAt)
		}
		if failure != nil {
			c.server.opt.Fleet.ReturnRetry(c.service, takenAt)
			c.refundUnused()
		}
		return failure
	}
	retry := func() *errs.Error { return startExtra(time.Time{}) }
	// startHedge starts an attempt beside those that are running.
	startHedge := func() bool {
		if c.server.opt.Hedging == nil {
			return retry() == nil
		}
		hedgedAt, allowed := c.takeHedge(c.excluded)
		if !allowed {
			return false
		}
		if failure := startExtra(hedgedAt); failure != nil {
			c.server.opt.Hedging.Return(c.service, hedgedAt)
			c.denyHedge(plainHedgeDenial(failure))
			return false
		}
		hedges++
		c.trace.addStep(StepHedged, c.excluded[len(c.excluded)-1], "")
		return true
	}
	if failure := first(); failure != nil {
		c.respondError(failure)
		return
	}
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case r := <-replies:
			running--
			sent = sent || r.sent
			if r.failure != nil && r.failure.Ran == errs.RanNo {
				c.possibleRuns--
			} else {
				c.mayHaveRun = true
			}
			if !r.hedgedAt.IsZero() {
				hedges--
				c.trace.addStep(StepHedgeEnded, r.target.ID, hedgeResult(r))
			}
			if r.acceptable() {
				c.respond(r)
				return
			}
			c.traceFailure(r)
			if r.failure != nil && c.ctx.Err() != nil {
				c.abandon(last) // the end of the call's context aborted the exchange
				return
			}
			if supersedes(r, last) {
				last = r
			}
			next := retry
			if !sent && c.possibleRuns == 0 {
				next = first
			}
			if c.shouldRetry(c.possibleRuns) && next() == nil {
				continue
			}
			c.refundUnused()
			if running == 0 {
				c.respond(last)
				return
			}
		case <-hedge.C:
			if c.mayHedge(c.possibleRuns) && !startHedge() && c.isSilent(startedAt) {
				_ = retry()
			}
			hedge.Reset(c.hedgeDelay())
		case <-c.ctx.Done():
			select {
			case r := <-replies: // both have come while the process did not run
				if supersedes(r, last) {
					last = r
				}
			default:
			}
			c.abandon(last)
			return
		}
	}
}

// abandon responds to a request whose deadline has passed or whose caller has
// disconnected, with the last whole response of a target if there is one.
func (c *call) abandon(last *reply) {
	c.mayHaveRun = c.mayHaveRun || c.possibleRuns > 0
	if last != nil && last.failure == nil {
		c.respond(last)
		return
	}
	c.respondError(c.contextError())
}

// hedgeDelay returns the time after which the request is hedged, or after which that is tried
// again: without Hedging, or until it knows the service's latency, it depends on the last target that the
// request was sent to.
func (c *call) hedgeDelay() time.Duration {
	if c.server.opt.Hedging != nil {
		if delay, known := c.server.opt.Hedging.Delay(c.service, plainExpectation, false); known {
			return delay
		}
	}
	return c.usualHedgeDelay()
}

// usualHedgeDelay returns the delay that depends on the last target.
func (c *call) usualHedgeDelay() time.Duration {
	return max(minHedgeDelay, hedgeFactor*c.server.opt.Fleet.ExpectedLatency(c.service, c.excluded[len(c.excluded)-1]))
}

// isSilent reports whether the last attempt has taken so long that the request is sent to a further
// target although Hedging has denied that, within the retry budget.
func (c *call) isSilent(startedAt time.Time) bool {
	if c.server.opt.Hedging == nil || time.Since(startedAt) < silentFactor*c.usualHedgeDelay() || c.mayCrashTargets() {
		return false
	}
	c.trace.addStepOnce(StepLate, "")
	return true
}

// mayHedge reports whether the request may be sent to a further target while attempts are
// running.
func (c *call) mayHedge(attempts int) bool {
	if !c.route.Repeatable() || attempts >= c.route.MaxAttempts || c.timeLeft() <= minHedgeDelay || c.triedEnough() {
		return false
	}
	return c.server.opt.Hedging != nil || !c.mayCrashTargets() // Hedging is asked with what may crash targets
}

// triedEnough reports whether the request was sent to as many targets as it may be sent to,
// including those that refused it.
func (c *call) triedEnough() bool { return len(c.excluded) >= c.route.MaxAttempts+maxRefusals }

// shouldRetry reports whether a request may be sent to a further target after a
// failed attempt.
func (c *call) shouldRetry(attempts int) bool {
	if c.ctx.Err() != nil || c.triedEnough() {
		return false
	}
	return attempts == 0 || c.route.Repeatable() && attempts < c.route.MaxAttempts && !c.mayCrashTargets()
}

// supersedes reports whether r replaces last as the reply for the caller. A
// response of a target replaces a failure. A failure that may have run
// replaces one that has not run, because the caller may only be told that the
// request has not run if that holds for all attempts.
func supersedes(r, last *reply) bool {
	if last == nil || r.failure == nil {
		return true
	}
	return last.failure != nil && last.failure.Ran == errs.RanNo
}

// traceFailure records the end of an attempt without an answer for the caller.
func (c *call) traceFailure(r *reply) {
	if r.withheld {
		c.trace.addStep(StepSkipped, r.target.ID, DetailPauses)
		return
	}
	c.trace.addStep(StepFailed, r.target.ID, failureLabel(r))
}

// failureLabel returns the error code of a failed reply, or "status" for a
// response with an error status.
func failureLabel(r *reply) string {
	if r.failure != nil {
		return string(r.failure.Code)
	}
	return "status"
}

// respond sends a reply to the caller.
func (c *call) respond(r *reply) {
	if r.failure != nil {
		if c.mayHaveRun && r.failure.Ran == errs.RanNo {
			r.failure = r.failure.WithRan(errs.RanUnknown)
		}
		c.respondError(r.failure)
		return
	}
	c.copyResponseHead(answer{exchange: r.exchange, meta: r.meta})
	c.http.Response.SetBodyRaw(r.body)
	c.trace.setResponse(r.exchange.Status, r.target.ID)
}

// attemptPlain sends the request to one target, reads the complete response and records the
// outcome.
func (c *call) attemptPlain(r *reply) {
	defer c.containAttempt(r)
	startedAt := time.Now()
	connectTime := c.exchangePlain(r)
	c.returnUnsent(r)
	c.judgePlain(r)
	c.observePlain(r, time.Since(startedAt))
	c.server.opt.Fleet.RecordOutcome(c.service, r.target.ID, c.outcome(r), time.Since(startedAt), connectTime, r.meta.Load)
}

// exchangePlain sends the request to one target and reads the complete response. It returns
// the time that it took to connect, 0 if there is no response.
func (c *call) exchangePlain(r *reply) (connectTime time.Duration) {
	defer c.containAttempt(r)
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	r.request.Connected = func() bool {
		r.target.Born = c.server.opt.Fleet.NewestStart(r.target.ID, r.target.Born)
		r.withheld = c.pauses(r.target.ID, r.target.Born) // since the target was picked
		if r.sent = ctx.Err() == nil && !r.withheld; r.sent {
			c.trace.addSent(r.target.ID)
		}
		return r.sent
	}
	r.sentAt = time.Now()
	r.request.Late = func(read upstream.LateHead) { c.recordLate(r.target.ID, r.target.Born, r.sentAt, read) }
	a, failure := c.ask(ctx, r.request, upstream.Timeouts{Connect: connectTimeout, Deadline: c.deadline})
	r.request.Rest = nil // Late refers to the reply
	if r.withheld {
		failure = errs.NotRun(errs.NoTarget, "no target of the service takes a request now").WithRetry(c.pauseAdvice(refusalRetryAfter))
	}
	if r.failure = failure; failure != nil {
		return 0
	}
	defer a.exchange.Close()
	r.exchange, r.meta = a.exchange, a.meta
	c.readPlain(ctx, r, a)
	return r.exchange.ConnectTime()
}

// returnUnsent gives back the retry of an attempt that no target has received. The attempt may
// end after the call.
func (c *call) returnUnsent(r *reply) {
	if !r.sent && !r.retryAt.IsZero() {
		c.server.opt.Fleet.ReturnRetry(c.service, r.retryAt)
	}
	if !r.sent && !r.hedgedAt.IsZero() {
		c.server.opt.Hedging.Return(c.service, r.hedgedAt)
	}
}

// readPlain checks the head of an answer and reads its body.
func (c *call) readPlain(ctx context.Context, r *reply, a answer) {
	if head, stated := c.statement(r.meta, r.sentAt, r.target.Born); stated {
		c.server.opt.Fleet.RecordStatement(r.target.ID, head)
	}
	if c.refuses(a) {
		r.refused = true
		r.failure = errs.NotRun(errs.Overloaded, "the target refused the request").WithRetry(c.pauseAdvice(refusalRetryAfter))
		return
	}
	if r.failure = c.checkAnswer(a); r.failure != nil {
		return
	}
	r.body, r.failure = r.exchange.ReadAll(maxResponseBytes, c.reserver(ctx))
	if r.failure == nil && r.exchange.Unframed() && c.targetEnded(r.target.Address) {
		r.failure = errs.New(errs.TruncatedAnswer, "the connection ended together with the target").WithRan(errs.RanUnknown)
	}
}

// judgePlain reports to the quarantine how the attempt at a request with a prompt ended.
func (c *call) judgePlain(r *reply) {
	switch {
	case len(c.sharedParts) == 0:
	case r.failure == nil:
		c.recordProgress()
	case c.mayHaveCrashed(r.failure):
		c.checkCrash(r.target.ID, r.target.Address)
	}
}

// refusalRetryAfter is the Retry-After time for callers whose request was
// refused by all targets that were tried, or for another reason that states no time.
const refusalRetryAfter = 300 * time.Millisecond

// DetailPauses is the detail of a StepSkipped whose target pauses.
const DetailPauses = "the target pauses"

// traceServicePause records that all targets of the service pause, if they do.
func (c *call) traceServicePause() {
	if c.server.opt.Fleet.ServicePausedFor(c.service) > 0 {
		c.trace.addStep(StepPaused, "", "all targets of the service pause")
	}
}

// pauses reports whether an incarnation of a target wants no requests from this VM now.
func (c *call) pauses(target string, born int64) bool {
	return c.server.opt.Fleet.PausedFor(target, born) > 0
}

// maxPauseAdvice limits the Retry-After time for callers of a service whose targets all pause,
// because other VMs may serve them earlier.
const maxPauseAdvice = 5 * time.Second

// pauseAdvice returns the Retry-After time of a refusal: that of the first target that ends its
// pause, or usual if a target does not pause.
func (c *call) pauseAdvice(usual time.Duration) time.Duration {
	if left := c.server.opt.Fleet.ServicePausedFor(c.service); left > 0 {
		return min(maxPauseAdvice, left)
	}
	return usual
}

// outcome returns the outcome of an attempt for the load balancer.
func (c *call) outcome(r *reply) balance.Outcome {
	switch {
	case r.failure == nil && r.exchange.Status >= minServerErrorStatus:
		return balance.ServerError
	case r.failure == nil:
		return balance.Answered
	case r.refused:
		return balance.Refused
	case r.withheld:
		return balance.Cancelled
	case c.ctx.Err() == context.Canceled:
		return balance.Cancelled
	case r.failure.Code == errs.Overloaded: // this VM has no memory or no connections left
		return balance.Cancelled
	case r.failure.Ran == errs.RanNo:
		return balance.NotConnected
	}
	return balance.Failed
}
