package gateway

import (
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
	"cicadaslip/internal/placer"
)

// serveStream serves a request whose response is a stream of events.
func (c *call) serveStream() {
	stream, first, failure := c.openStream(opening{ctx: c.ctx, after: c.meta.LastEventID, waitingSince: c.arrived})
	if failure != nil && c.serverError != nil {
		stream, failure = c.serverError, nil
	}
	if failure != nil {
		c.respondError(failure)
		c.finish()
		return
	}
	if stream.exchange.Status == fasthttp.StatusOK && !c.stage.CompareAndSwap(stageOpen, stageStreaming) {
		stream.release(c, placer.Cancelled)
		c.mayHaveRun = true
		c.respondError(c.contextError())
		c.finish()
		return
	}
	c.copyResponseHead(stream.answer)
	if stream.exchange.Status != fasthttp.StatusOK {
		c.http.Response.SetBodyRaw(stream.body)
		c.trace.setResponse(stream.exchange.Status, stream.lease.Grant.Target)
		c.finish()
		return
	}
	body := &streamBody{call: c, source: stream, lastEventID: c.meta.LastEventID}
	if len(first.Bytes) > 0 {
		body.enqueue(first)
	}
	c.streamBegun = true
	c.http.SetBodyStream(body, -1)
}

// openStream opens a stream at a target, and tries further targets as long as
// retries are allowed. It returns the stream with its first event. For a
// stream without events, the event has no bytes.
func (c *call) openStream(o opening) (*targetStream, eventstream.Event, *errs.Error) {
	defer c.refundUnused()
	earlierRefusals := c.refusals
	for {
		stream, event, failure := c.tryOpenStream(o)
		switch {
		case failure == nil:
			return stream, event, nil
		case c.ended():
			return nil, event, c.contextError()
		case o.ctx.Err() != nil:
			return nil, event, failure
		case c.shouldRetryStream(failure, c.refusals-earlierRefusals):
			continue
		case c.awaitPlacement(o, failure):
			earlierRefusals = c.refusals
			continue
		}
		if c.mayHaveRun && failure.Ran == errs.RanNo {
			failure = failure.WithRan(errs.RanUnknown)
		}
		return nil, event, failure
	}
}

// shouldRetryStream reports whether a stream whose attempt failed before an
// event was forwarded is sent to a further target, after a number of refusals.
func (c *call) shouldRetryStream(failure *errs.Error, refusals int) bool {
	if failure.Ran == errs.RanNo {
		return !isPlacementFailure(failure) && refusals <= maxRefusals
	}
	return c.mayStartAnother() && !c.mayCrashTargets()
}

// mayStartAnother reports whether the request may run on a further target, in addition to
// those that run or may have run it.
func (c *call) mayStartAnother() bool {
	return c.route.Repeatable() && c.possibleRuns < c.route.MaxAttempts
}

// tryOpenStream makes one attempt to open a stream, from the lease to the first event. If
// the target is late and the request moves to another one, it returns the stream there.
func (c *call) tryOpenStream(o opening) (*targetStream, eventstream.Event, *errs.Error) {
	lease, failure := c.acquire(o)
	if failure != nil {
		return nil, eventstream.Event{}, failure
	}
	s := &targetStream{lease: lease, leased: true, opening: o}
	settled := false
	defer func() {
		if !settled { // a panic
			s.handover.abandon()
			o.handover.attemptFailed()
			s.release(c, placer.Cancelled)
		}
	}()
	stream, event, failure := s.settle(c)
	settled = true
	return stream, event, failure
}
