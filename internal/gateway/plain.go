package gateway

import (
	"context"
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
	target   fleet.Target
	sentAt   time.Time
}

// acceptable reports whether the reply is a response without a server error,
// for which no further target is tried.
func (r *reply) acceptable() bool {
	return r.failure == nil && r.exchange.Status < minServerErrorStatus
}

// servePlain serves a request to a service whose responses are not streams. It
// tries one target after another as long as retries are allowed. If the first
// target is slow, a hedge is sent to a second one while the first is still
// running.
func (c *call) servePlain() {
	replies := make(chan *reply, c.route.MaxAttempts+maxRefusals+1)
	running := 0
	var last *reply
	start := func() *errs.Error {
		target, found := c.server.opt.Fleet.Pick(c.service, c.excluded)
		if !found {
			return errs.NotRun(errs.NoTarget, "no target of the service takes a request now").WithRetry(time.Second)
		}
		c.excluded = append(c.excluded, target.ID)
		running++
		go func() {
			r := &reply{target: target}
			c.attemptPlain(r)
			replies <- r
		}()
		c.trace.addStep(StepSent, target.ID, "")
		return nil
	}
	if failure := start(); failure != nil {
		c.respondError(failure)
		return
	}
	attempts := 1 // attempts that ran or may have run the request
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case r := <-replies:
			running--
			if r.failure != nil && r.failure.Ran == errs.RanNo {
				attempts--
			} else {
				c.mayHaveRun = true
			}
			if r.acceptable() {
				c.respond(r)
				return
			}
			c.trace.addStep(StepFailed, r.target.ID, failureLabel(r))
			if r.failure != nil && c.ctx.Err() != nil {
				c.abandon(attempts) // the end of the call's context aborted the exchange
				return
			}
			if supersedes(r, last) {
				last = r
			}
			if c.shouldRetry(attempts, last) && start() == nil {
				attempts++
				continue
			}
			if running == 0 {
				c.respond(last)
				return
			}
		case <-hedge.C:
			if c.route.Repeatable() && attempts < c.route.MaxAttempts && c.timeLeft() > minHedgeDelay &&
				c.server.opt.Fleet.TakeRetry(c.service) && start() == nil {
				attempts++
			}
		case <-c.ctx.Done():
			c.abandon(attempts)
			return
		}
	}
}

// abandon responds to a request whose deadline has passed or whose caller has
// disconnected.
func (c *call) abandon(attempts int) {
	c.mayHaveRun = c.mayHaveRun || attempts > 0
	c.respondError(c.contextError())
}

// hedgeDelay returns the time after which the request is hedged.
func (c *call) hedgeDelay() time.Duration {
	return max(minHedgeDelay, hedgeFactor*c.server.opt.Fleet.ExpectedLatency(c.service, c.excluded[0]))
}

// shouldRetry reports whether a request is sent to a further target after a
// failed attempt. It takes a retry from the budget unless no attempt reached a
// target.
func (c *call) shouldRetry(attempts int, last *reply) bool {
	if c.ctx.Err() != nil || len(c.excluded) >= c.route.MaxAttempts+maxRefusals {
		return false
	}
	if attempts == 0 && last.failure != nil && last.failure.Code == errs.TargetUnavailable {
		return true // no target received any byte of the request
	}
	if attempts > 0 && (!c.route.Repeatable() || attempts >= c.route.MaxAttempts || c.mayCrashTargets()) {
		return false
	}
	return c.server.opt.Fleet.TakeRetry(c.service)
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
	c.copyResponseHead(r.exchange)
	c.http.SetBody(r.body)
	c.trace.setResponse(r.exchange.Status, r.target.ID)
}

// attemptPlain sends the request to one target and reads the complete
// response.
func (c *call) attemptPlain(r *reply) {
	defer c.containAttempt(r)
	startedAt, target := time.Now(), r.target
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	request := c.upstreamRequest(target.Address, Attempt{Target: target.ID})
	r.sentAt = time.Now()
	a, failure := c.ask(ctx, request, upstream.Timeouts{Connect: connectTimeout, Deadline: c.deadline})
	r.failure = failure
	connectTime := time.Duration(0)
	if r.failure == nil {
		r.exchange, r.meta = a.exchange, a.meta
		connectTime = r.exchange.ConnectTime()
		c.readPlain(r, a)
		r.exchange.Close()
	}
	c.judgePlain(r)
	c.server.opt.Fleet.RecordOutcome(c.service, target.ID, c.outcome(r), time.Since(startedAt), connectTime, r.meta.Load)
}

// readPlain checks the head of an answer and reads its body.
func (c *call) readPlain(r *reply, a answer) {
	if head, stated := c.statement(r.meta, r.sentAt, r.target.Born); stated {
		c.server.opt.Fleet.RecordStatement(r.target.ID, head)
	}
	if c.refuses(a) {
		r.refused = true
		r.failure = errs.NotRun(errs.Overloaded, "the target refused the request").WithRetry(refusalRetryAfter)
		return
	}
	if r.failure = c.checkAnswer(a); r.failure != nil {
		return
	}
	r.body, r.failure = r.exchange.ReadAll(maxResponseBytes)
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
// refused by all targets that were tried.
const refusalRetryAfter = 300 * time.Millisecond

// outcome returns the outcome of an attempt for the load balancer.
func (c *call) outcome(r *reply) balance.Outcome {
	switch {
	case r.failure == nil && r.exchange.Status >= minServerErrorStatus:
		return balance.ServerError
	case r.failure == nil:
		return balance.Answered
	case r.refused:
		return balance.Refused
	case c.ctx.Err() == context.Canceled:
		return balance.Cancelled
	case r.failure.Ran == errs.RanNo:
		return balance.NotConnected
	}
	return balance.Failed
}
