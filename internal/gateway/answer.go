package gateway

import (
	"context"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/membudget"
	"cicadaslip/internal/upstream"
)

const (
	// maxForeignAnswers limits how many answers to other requests are skipped before the
	// answer to this one.
	maxForeignAnswers = 4
	// minFailureStatus is the lowest HTTP status code of a failure.
	minFailureStatus = 400
)

// answer is the head of a target's response to the call.
type answer struct {
	exchange *upstream.Exchange
	meta     ResponseMeta
	skipped  int // answers to other requests that came before it
}

// ask sends the request to a target and reads the head of its response. Complete responses
// that carry the ID of another request are skipped. The caller must close the exchange.
func (c *call) ask(ctx context.Context, request upstream.Request, timeouts upstream.Timeouts) (answer, *errs.Error) {
	exchange, failure := c.server.opt.Upstream.Open(ctx, request, timeouts)
	if failure != nil {
		return answer{}, failure
	}
	a := answer{exchange: exchange}
	returned := false
	defer func() {
		if !returned {
			exchange.Close()
		}
	}()
	for {
		a.meta = c.server.opt.Dialect.ParseResponse(exchange.Status, exchange.Fields)
		if a.meta.RequestID == "" || a.meta.RequestID == c.meta.ID {
			returned = true
			return a, nil
		}
		if a.meta.Statement.states() {
			c.server.opt.Fleet.IgnoreStatement(ForeignStatement)
		}
		if a.skipped++; a.skipped > maxForeignAnswers {
			return answer{}, wrongAnswer("the target answered other requests only")
		}
		if failure = exchange.Next(maxResponseBytes); failure != nil {
			return answer{}, failure
		}
	}
}

// refuses reports whether the answer states that the target has not run the request. A
// refusal that does not name the request may be that of another one.
func (c *call) refuses(a answer) bool {
	return a.meta.NotRun && a.meta.RequestID == c.meta.ID && a.exchange.Status >= minFailureStatus
}

// checkAnswer checks that an answer that is no refusal comes from a target and belongs to
// this request.
func (c *call) checkAnswer(a answer) *errs.Error {
	switch {
	case a.meta.NotRun:
		return wrongAnswer("the refusal names no request, or has the status of a success")
	case promisesNotRun(a.exchange.Status) && !c.route.Repeatable():
		return wrongAnswer("the status promises that the request has not run, which the target does not state")
	case a.meta.RequestID == "" && a.skipped > 0:
		return wrongAnswer("the response names no request and follows one to another request")
	case a.meta.Encoded:
		return wrongAnswer("the response has a content encoding")
	case !a.meta.Signed:
		return wrongAnswer("the response carries no target signature")
	}
	return nil
}

// promisesNotRun reports whether a caller takes a status as the promise that its request
// has not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// wrongAnswer returns the error for an answer that tells nothing about the request.
func wrongAnswer(message string) *errs.Error {
	return errs.New(errs.WrongAnswer, message).WithRan(errs.RanUnknown)
}

// reserve takes memory for an answer, on the account of the caller's connection. ctx is that of the
// attempt at the request.
func (c *call) reserve(ctx context.Context, bytes int) *errs.Error {
	if c.callerConn == nil {
		return nil
	}
	switch refusal := c.callerConn.Memory.Reserve(ctx, int64(bytes)); {
	case refusal == membudget.Granted:
		return nil
	case ctx.Err() != nil: // not for lack of memory
		return errs.Wrap(ctx.Err(), errs.Cancelled, "the attempt ended while it waited for memory").WithRan(errs.RanUnknown)
	default:
		return errs.New(errs.Overloaded, "no memory for the answer: "+string(refusal)).WithRan(errs.RanUnknown)
	}
}

// reserver returns reserve for an attempt.
func (c *call) reserver(ctx context.Context) func(bytes int) *errs.Error {
	return func(bytes int) *errs.Error { return c.reserve(ctx, bytes) }
}

// eventReserver is like reserver, for an event: its buffer, and the copy of it for the caller.
func (c *call) eventReserver(ctx context.Context) func(bytes int) *errs.Error {
	return func(bytes int) *errs.Error { return c.reserve(ctx, 2*bytes) }
}
