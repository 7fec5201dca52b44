package gateway

import (
	"context"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/upstream"
)

const (
	// defaultOutputDivisor gives the expected output of a request without a length
	// hint: its maximum output divided by this value.
	defaultOutputDivisor = 4
	// absentRetryDelay is the delay before the owner is asked again after a target
	// has refused a request because it does not hold the adapter.
	absentRetryDelay = 20 * time.Millisecond
)

// targetStream is an attempt at a streaming request, and the open response of its target.
type targetStream struct {
	lease    Lease
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
	c.copyResponseHead(stream.answer)
	if stream.exchange.Status != fasthttp.StatusOK {
		c.http.SetBody(stream.body)
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

// awaitPlacement waits after refusals until the placement may be asked again. Meanwhile other
// requests may use the retry that was taken for the attempt. It returns false at once if the
// request is refused for good: one of which the caller has nothing yet, and that is not at
// work at another target, is better sent again by the caller.
func (c *call) awaitPlacement(o opening, failure *errs.Error) bool {
	if failure.Ran != errs.RanNo || o.handover == nil && !c.streamBegun || c.refusesWaiting() {
		return false
	}
	c.returnRetry()
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

// settle opens the stream and decides on the outcome of the attempt.
func (s *targetStream) settle(c *call) (*targetStream, eventstream.Event, *errs.Error) {
	event, failure := s.open(c)
	serverError := failure == nil && s.exchange.Status >= minServerErrorStatus
	if failure == nil && !serverError && s.handover.keep() {
		s.accept(c)
		return s, event, nil
	}
	if s.handover.firstFailed() {
		s.close()
		stream, event, moveFailure := s.handover.wait()
		s.fail(c, lateFailure(failure))
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
		lease, failure := c.server.opt.Placement.Acquire(ctx, c.service, c.placerRequest(o))
		if failure != nil {
			switch {
			case ctx.Err() == nil || c.ctx.Err() != nil:
			case c.refusesWaiting():
				failure = errs.NotRun(errs.Draining, "this VM is shutting down").WithRetry(drainRetryAfter)
			default:
				failure = errs.NotRun(errs.DeadlineUnreachable, "no target could start the request before the caller leaves").WithRetry(refusalRetryAfter)
			}
			return Lease{}, failure
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
	return placer.Request{
		Abandon: abandon,
		ID:      c.meta.ID + "/" + strconv.FormatUint(c.server.acquireCount.Add(1), 36), Adapter: c.meta.Adapter, Bytes: len(c.body), PromptTokens: c.meta.PromptTokens, OutputTokens: min(output, max(1, c.meta.MaxOutputTokens)),
		Parts: c.meta.Parts, Priority: c.route.Priority, Objective: objective,
		Deadline: c.timeLeft(), Exclude: slices.Concat(c.excluded, c.unavailable),
	}
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
		if s.body, failure = s.exchange.ReadAll(maxResponseBytes); failure == nil && s.opening.handover != nil {
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
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(s.opening.ctx)
	request := c.upstreamRequest(g.Address, attempt)
	request.Connected = func() bool { return s.markSent(c) }
	request.Late = func(read upstream.LateHead) { c.recordLate(g.Target, g.Born, s.sentAt, read) }
	if s.answer, failure = c.ask(ctx, request, upstream.Timeouts{Connect: connectTimeout, Deadline: c.deadline}); failure != nil {
		return failure
	}
	s.events, s.sequence = eventstream.NewReader(s.exchange), c.newSequence(s.opening.after, s.meta)
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
	s.born = c.server.opt.Fleet.NewestStart(s.lease.Grant.Target, s.lease.Grant.Born)
	c.possibleRuns++
	c.arrivals++
	c.retryTakenAt = time.Time{}
	if s.opening.handover != nil {
		s.opening.handover.sent()
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
	case errs.Is(err, errs.WrongAnswer):
		return errs.As(err).WithRan(errs.RanUnknown)
	}
	return errs.Wrap(err, errs.TruncatedAnswer, "the event stream was interrupted").WithRan(errs.RanUnknown)
}

// streamBody forwards the events of a stream to the caller. It implements
// io.ReadCloser.
type streamBody struct {
	call         *call
	source       *targetStream
	handover     *handover // planned if the source is late with the next event, nil if none
	pending      []byte    // bytes of the current event that have not been read yet
	lastEventID  int64     // ID of the last event that the caller has or that was enqueued, 0 if none
	hasEvents    bool      // an event other than a comment was enqueued
	waitingSince time.Time // when the last event had been written to the caller
	endErr       error     // result of Read after the last event, nil while the stream goes on
	closed       bool
}

// enqueue stores the next event for Read. The preceding event must have been
// read completely.
func (b *streamBody) enqueue(e eventstream.Event) {
	b.pending = append(b.pending[:0], e.Bytes...)
	if e.ID > 0 {
		b.lastEventID = e.ID
	}
	b.hasEvents = b.hasEvents || !e.Comment
	b.call.trace.addEvent(time.Now())
}

// mayMove reports whether another target can continue the stream.
func (b *streamBody) mayMove() bool { return b.lastEventID > 0 || !b.hasEvents }

// Read implements io.Reader. An error other than io.EOF makes the HTTP server
// cut the connection, so that the stream does not look complete.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.endErr != nil {
			return 0, b.endErr
		}
		b.readNext()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// readNext reads the next event. If the current target fails, it resumes the
// stream at another one.
func (b *streamBody) readNext() {
	defer b.contain()
	c := b.call
	b.waitingSince = time.Now()
	if b.handover == nil && b.mayMove() {
		next := opening{after: b.lastEventID, waitingSince: b.waitingSince}
		b.handover = c.planHandover(b.source, next, c.eventGapDelay())
	}
	event, err := b.source.next(c)
	progress := err == nil && !event.Comment || err == io.EOF
	switch {
	case b.handover.hasMoved(), progress && !b.handover.keep():
		b.move(lateFailure(nil))
	case err == nil:
		if progress {
			b.handover = nil
		}
		b.enqueue(event)
		b.source.countEvent(c)
	case err == io.EOF:
		b.endErr = io.EOF
		if b.source.eventCount < progressEvents {
			c.recordProgress()
		}
		b.source.release(c, placer.Done)
	case b.handover.firstFailed():
		b.move(streamFailure(err))
	default:
		b.handover = nil
		_ = b.source.fail(c, streamFailure(err))
		b.resume(streamFailure(err))
	}
}

// move replaces the source by the stream that the handover has opened.
func (b *streamBody) move(failure *errs.Error) {
	b.source.close()
	stream, event, openFailure := b.handover.wait()
	b.handover = nil
	late := b.source
	if openFailure == nil {
		b.source = stream
	}
	_ = late.fail(b.call, failure)
	if openFailure != nil {
		b.resume(openFailure)
		return
	}
	b.continueWith(event)
}

// resume continues the stream at another target after a failure, if a retry is
// allowed.
func (b *streamBody) resume(failure *errs.Error) {
	c := b.call
	suspect := b.source.eventCount < progressEvents && c.mayCrashTargets()
	if c.ended() || !b.mayMove() || suspect || !c.mayStartAnother() {
		b.cut(failure)
		return
	}
	stream, event, openFailure := c.openStream(opening{ctx: c.ctx, after: b.lastEventID, waitingSince: b.waitingSince})
	if openFailure != nil {
		b.cut(openFailure)
		return
	}
	b.source = stream
	b.continueWith(event)
}

// cut ends the stream without its end.
func (b *streamBody) cut(failure *errs.Error) {
	b.call.trace.setCut(failure)
	b.endErr = failure
}

// continueWith continues the stream with the events of a new source, of which the first one
// has been read.
func (b *streamBody) continueWith(event eventstream.Event) {
	c := b.call
	if len(event.Bytes) == 0 {
		b.endErr = io.EOF
		b.source.release(c, placer.Done)
		return
	}
	b.enqueue(event)
	c.trace.addStep(StepResumed, b.source.lease.Grant.Target, "")
}

// Close implements io.Closer. The HTTP server calls it when the stream has
// ended or the connection of the caller has failed.
func (b *streamBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	c := b.call
	b.handover.abandon()
	b.source.release(c, placer.Cancelled)
	switch b.endErr {
	case io.EOF:
		c.trace.setResponse(b.source.exchange.Status, b.source.lease.Grant.Target)
	case nil:
		c.callerLeft.Store(true)
		c.trace.setCut(errs.New(errs.Cancelled, "writing to the caller failed").WithRan(errs.RanYes))
	}
	c.finish()
	return nil
}
