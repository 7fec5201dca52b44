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
	// hedgeFactor is the multiple of the usual time of an answer after which a
	// second target is asked, if the request may be repeated.
	hedgeFactor = 3
	// leastHedge is the least time before that.
	leastHedge = 90 * time.Millisecond
	// serverError is the first status of the failures of a target.
	serverError = 500
)

// reply is a whole answer of a target to one attempt, or the failure of it.
type reply struct {
	exchange *upstream.Exchange
	body     []byte
	answer   Answer
	failure  *errs.Error
	target   fleet.Target
}

// good reports whether the reply is an answer that need not be tried to better.
func (r *reply) good() bool { return r.failure == nil && r.exchange.Status < serverError }

// plain serves a request to a plain service. It sends the request to one target
// after another while that is allowed; a second one is asked beside the first if
// the first takes long.
func (c *call) plain() {
	replies := make(chan *reply, c.route.MaxAttempts+maxRefusals+1)
	running := 0
	var last *reply
	start := func() *errs.Error {
		target, found := c.s.opt.Fleet.Pick(c.service, c.exclude)
		if !found {
			return errs.NotRun(errs.NoTarget, "no target of the service is known").WithRetry(time.Second)
		}
		c.exclude = append(c.exclude, target.ID)
		running++
		go func() { replies <- c.attemptPlain(target) }()
		c.trace.step(StepSent, target.ID, "")
		return nil
	}
	if failure := start(); failure != nil {
		c.fail(failure)
		return
	}
	attempts := 1 // that may have run
	hedge := time.NewTimer(c.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case r := <-replies:
			running--
			if r.failure != nil && r.failure.Ran == errs.RanNo {
				attempts--
			} else {
				c.sent = true
			}
			if r.good() {
				c.deliver(r)
				return
			}
			c.trace.step(StepFailed, r.target.ID, describe(r))
			if r.failure != nil && c.ctx.Err() != nil {
				c.giveUp(attempts) // the exchange was ended with the request's time
				return
			}
			if better(r, last) {
				last = r
			}
			if c.again(attempts, last) && start() == nil {
				attempts++
				continue
			}
			if running == 0 {
				c.deliver(last)
				return
			}
		case <-hedge.C:
			if c.route.Repeatable() && attempts < c.route.MaxAttempts && c.timeLeft() > leastHedge &&
				c.s.opt.Fleet.TakeRepeat(c.service) && start() == nil {
				attempts++
			}
		case <-c.ctx.Done():
			c.giveUp(attempts)
			return
		}
	}
}

// giveUp answers a request whose time is over or whose caller has left.
func (c *call) giveUp(attempts int) {
	c.sent = c.sent || attempts > 0
	c.fail(c.givenUp())
}

func (c *call) hedgeAfter() time.Duration {
	return max(leastHedge, hedgeFactor*c.s.opt.Fleet.Expected(c.service, c.exclude[0]))
}

// again reports whether a request whose attempt has failed is sent to a further
// target.
func (c *call) again(attempts int, last *reply) bool {
	if c.ctx.Err() != nil || len(c.exclude) >= c.route.MaxAttempts+maxRefusals {
		return false
	}
	if attempts == 0 && last.failure != nil && last.failure.Code == errs.TargetUnavailable {
		return true // nothing arrived anywhere
	}
	if attempts > 0 && (!c.route.Repeatable() || attempts >= c.route.MaxAttempts) {
		return false
	}
	return c.s.opt.Fleet.TakeRepeat(c.service)
}

// better prefers a target's own answer to a failure, and a failure that may have
// run to one that has not, because the promise must hold for all attempts.
func better(r, last *reply) bool {
	if last == nil || r.failure == nil {
		return true
	}
	return last.failure != nil && last.failure.Ran == errs.RanNo
}

func describe(r *reply) string {
	if r.failure != nil {
		return string(r.failure.Code)
	}
	return "status"
}

// deliver answers with a reply.
func (c *call) deliver(r *reply) {
	if r.failure != nil {
		if c.sent && r.failure.Ran == errs.RanNo {
			r.failure = r.failure.WithRan(errs.RanUnknown)
		}
		c.fail(r.failure)
		return
	}
	c.passOn(r.exchange)
	c.http.SetBody(r.body)
	c.trace.answered(r.exchange.Status, r.target.ID)
}

// attemptPlain makes one exchange and reads the whole answer.
func (c *call) attemptPlain(target fleet.Target) *reply {
	began := time.Now()
	r := &reply{target: target}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	request := c.request(target.Address, Attempt{Target: target.ID})
	r.exchange, r.failure = c.s.opt.Upstream.Open(ctx, request, upstream.Times{Connect: connectLimit, End: c.end})
	connect := time.Duration(0)
	if r.failure == nil {
		connect = r.exchange.Connect()
		c.readPlain(r)
		r.exchange.Close()
	}
	c.s.opt.Fleet.Answered(c.service, target.ID, c.outcome(r), time.Since(began), connect, r.answer.Load)
	return r
}

func (c *call) readPlain(r *reply) {
	r.answer = c.s.opt.Dialect.Answer(r.exchange.Status, r.exchange.Fields)
	if r.answer.NotRun {
		r.failure = errs.NotRun(errs.Overloaded, "the target refused the request").WithRetry(refusalRetry)
		return
	}
	if r.failure = c.genuine(r.exchange, r.answer); r.failure != nil {
		return
	}
	r.body, r.failure = r.exchange.ReadAll(maxAnswerBytes)
}

// refusalRetry is the advice to a caller whose request all targets refused.
const refusalRetry = 300 * time.Millisecond

func (c *call) outcome(r *reply) balance.Outcome {
	switch {
	case r.failure == nil && r.exchange.Status >= serverError:
		return balance.ServerError
	case r.failure == nil:
		return balance.Answered
	case r.answer.NotRun:
		return balance.Refused
	case c.ctx.Err() == context.Canceled:
		return balance.Cancelled
	case r.failure.Ran == errs.RanNo:
		return balance.NotConnected
	}
	return balance.Failed
}
