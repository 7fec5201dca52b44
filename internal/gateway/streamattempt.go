package gateway

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/upstream"
)

// absentRetryDelay is the delay before the owner is asked again after a target has refused a
// request because it does not hold the adapter.
const absentRetryDelay = 20 * time.Millisecond

// targetStream is an attempt at a streaming request, and the open response of its target.
type targetStream struct {
	lease    Lease
	ctx      context.Context    // of the exchange
	cancel   context.CancelFunc // ends the exchange
	answer                      // without an exchange before the head of the response has arrived
	events   *eventstream.Reader
	head     TargetStatement // what the head of the response stated
	sentAt   time.Time       // when the request was sent
	born     int64           // start time of the target that it was sent to
	body     []byte          // body of a response that is not an event stream
	leased   bool            // the lease has not been released
	refused  bool            // the target has stated that it did not run the request
	sent     bool            // the request may have reached the target
	withheld bool            // the request was not sent because the target pauses
	handover *handover       // planned if the first event is late, nil if none

	opening    opening
	eventCount int // events received from this target
	sequence   sequence
}

// settle opens the stream and decides on the outcome of the attempt.
func (s *targetStream) settle(c *call) (*targetStream, eventstream.Event, *errs.Error) {
	event, failure := s.open(c)
	serverError := failure == nil && s.exchange.Status >= minServerErrorStatus
	if failure == nil && !serverError && s.handover.keep() {
		c.observeFirstEvent(s, true)
		s.accept(c)
		return s, event, nil
	}
	if s.handover.hasMoved() {
		c.observeFirstEvent(s, false)
	}
	if s.handover.firstFailed() {
		s.close()
		stream, event, moveFailure := s.handover.wait()
		s.fail(c, s.handover.leaveFailure(failure))
		return stream, event, moveFailure
	}
	if serverError && !c.mayStartAnother() && s.opening.handover == nil {
		s.accept(c)
		return s, event, nil
	}
	if serverError {
		c.serverError = s
		failure = errs.New(errs.TargetRefused, "the target responded with a server error").WithRan(errs.RanYes)
	}
	return nil, event, s.fail(c, failure)
}

// lateFailure returns the failure of a target from which a request has moved: its own, if it
// has failed, or that it was late.
func lateFailure(failure *errs.Error) *errs.Error {
	if failure != nil {
		return failure
	}
	return errs.New(errs.Timeout, "another target has continued the request").WithRan(errs.RanUnknown)
}

// open sends the request to the target of the lease and reads the response up to the first
// event. For a stream without events it returns an event without bytes. The call's record of
// attempts changes only in accept and fail, because another attempt may be under way.
func (s *targetStream) open(c *call) (eventstream.Event, *errs.Error) {
	if failure := s.send(c); failure != nil {
		return eventstream.Event{}, failure
	}
	if failure := s.checkHead(c); failure != nil {
		return eventstream.Event{}, failure
	}
	if s.exchange.Status != fasthttp.StatusOK {
		var failure *errs.Error
		if s.body, failure = s.exchange.ReadAll(maxResponseBytes, c.reserver(s.ctx)); failure == nil && s.opening.handover != nil {
			failure = errs.New(errs.TargetRefused, "the target did not respond with status 200").WithRan(errs.RanYes)
		}
		return eventstream.Event{}, failure
	}
	event, err := s.next(c)
	switch {
	case err == io.EOF:
		return eventstream.Event{}, nil
	case err != nil:
		return eventstream.Event{}, streamFailure(err)
	}
	s.countEvent(c)
	return event, nil
}

// send sends the request to the target of the lease and reads the head of the response.
func (s *targetStream) send(c *call) (failure *errs.Error) {
	g := s.lease.Grant
	attempt := Attempt{Target: g.Target, Engine: c.isEngine, Priority: g.Priority}
	if c.meta.Adapter.Name != "" {
		attempt.Version = max(g.Version, c.server.opt.Fleet.RequiredVersion(c.meta.Adapter))
	}
	if s.opening.after > c.meta.LastEventID {
		attempt.LastEventID = s.opening.after
	}
	s.ctx, s.cancel = context.WithCancel(s.opening.ctx)
	request := c.upstreamRequest(g.Address, attempt)
	request.Connected = func() bool { return s.markSent(c) }
	request.Late = func(read upstream.LateHead) { c.recordLate(g.Target, g.Born, s.sentAt, read) }
	if s.answer, failure = c.ask(s.ctx, request, upstream.Timeouts{Connect: connectTimeout, Deadline: c.deadline}); failure != nil {
		return failure
	}
	s.events, s.sequence = eventstream.NewReader(s.exchange), c.newSequence(s.opening.after, s.meta)
	s.events.Reserve(c.eventReserver(s.ctx))
	var stated bool
	if s.head, stated = c.statement(s.meta, s.sentAt, s.born); stated {
		c.server.opt.Fleet.RecordStatement(g.Target, s.head)
		c.server.opt.Placement.Stated(s.lease, s.head)
	}
	return nil
}

// markSent records that the request is being sent to the target. It returns false if it need
// not be sent any more.
func (s *targetStream) markSent(c *call) bool {
	if s.opening.ctx.Err() != nil {
		return false
	}
	if c.pauses(s.lease.Grant.Target, s.lease.Grant.Born) { // since the connection was begun
		s.withheld = true
		return false
	}
	s.sent, s.sentAt = true, time.Now()
	c.trace.addSent(s.lease.Grant.Target)
	s.born = c.server.opt.Fleet.NewestStart(s.lease.Grant.Target, s.lease.Grant.Born)
	c.possibleRuns++
	c.arrivals++
	c.retryTakenAt = time.Time{}
	if s.opening.handover != nil {
		s.opening.handover.sent(s.lease.Grant.Target)
	}
	s.handover = c.planHandover(s, s.opening, firstEventDelay(s.lease))
	return true
}

// checkHead returns an error if the target refuses the request, or if the response is not one
// to this request.
func (s *targetStream) checkHead(c *call) *errs.Error {
	if s.refused = c.refuses(s.answer); s.refused {
		return errs.NotRun(errs.TargetRefused, "the target refused the request").WithRetry(c.pauseAdvice(refusalRetryAfter))
	}
	if failure := c.checkContinuation(s.exchange); failure != nil {
		return failure
	}
	return c.checkAnswer(s.answer)
}

// accept records that the response of the target is forwarded to the caller.
func (s *targetStream) accept(c *call) {
	if s.exchange.Status != fasthttp.StatusOK {
		s.release(c, placer.Errored)
		return
	}
	if s.eventCount == 0 {
		return
	}
	if s.meta.Load != nil {
		s.head.Slowness = s.meta.Load.Slowness
	}
	c.server.opt.Placement.Started(s.lease, s.head)
}

// fail records that the attempt has failed, and releases the lease. It returns the failure
// with the ID of the target added.
func (s *targetStream) fail(c *call, failure *errs.Error) *errs.Error {
	s.close()
	s.leased = false
	if s.sent && failure.Ran == errs.RanNo {
		c.possibleRuns--
	}
	s.opening.handover.attemptFailed()
	switch {
	case s.refused:
		return s.recordRefusal(c, failure)
	case s.withheld:
		c.server.opt.Placement.Release(s.lease, placer.Cancelled)
		c.trace.addStep(StepSkipped, s.lease.Grant.Target, DetailPauses)
		return failure
	case s.opening.ctx.Err() != nil && c.ctx.Err() == nil:
		c.mayHaveRun = c.mayHaveRun || s.sent
		c.server.opt.Placement.Release(s.lease, placer.Cancelled)
		c.trace.addStep(StepFailed, s.lease.Grant.Target, string(errs.Cancelled))
		return failure
	}
	return c.recordFailedAttempt(s.lease, failure, s.eventCount)
}

// recordRefusal records that the target has not run the request.
func (s *targetStream) recordRefusal(c *call, failure *errs.Error) *errs.Error {
	target := s.lease.Grant.Target
	c.refusals++
	outcome := placer.AtCapacity
	if s.meta.Misdirected {
		outcome = placer.Absent
		pause.For(c.ctx, absentRetryDelay)
	} else {
		c.unavailable = append(c.unavailable, target)
	}
	c.server.opt.Placement.Release(s.lease, outcome)
	c.trace.addStep(StepFailed, target, "refused as not run")
	return failure.WithDetails(target)
}

// close ends the exchange with the target.
func (s *targetStream) close() {
	if s.exchange != nil {
		s.exchange.Close()
	}
	if s.cancel != nil {
		s.cancel()
	}
}

// countEvent counts an event that was received from the target.
func (s *targetStream) countEvent(c *call) {
	if s.eventCount++; s.eventCount == progressEvents {
		c.recordProgress()
	}
}

// release closes the exchange and releases the lease, if that has not happened
// yet.
func (s *targetStream) release(c *call, outcome placer.Outcome) {
	if s.leased {
		s.leased = false
		s.close()
		c.server.opt.Placement.Release(s.lease, outcome)
	}
}

// streamFailure returns the typed error for a failed read from a stream.
func streamFailure(err error) *errs.Error {
	switch {
	case upstream.IsTimeout(err):
		return errs.Wrap(err, errs.Timeout, "no event arrived from the target in time").WithRan(errs.RanUnknown)
	case errs.Is(err, errs.WrongAnswer), errs.Is(err, errs.Overloaded), errs.Is(err, errs.Cancelled):
		return errs.As(err).WithRan(errs.RanUnknown)
	}
	return errs.Wrap(err, errs.TruncatedAnswer, "the event stream was interrupted").WithRan(errs.RanUnknown)
}
