package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/balance"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/upstream"
)

const (
	// firstEventFactor and firstEventMargin limit the wait for the first event of
	// a stream that may be sent to another target: the estimate of the lease times
	// the factor, plus the margin.
	firstEventFactor = 2.5
	firstEventMargin = 400 * time.Millisecond
	// maxEventGap is the pause between events after which such a stream is resumed
	// on another target. Targets that process long prompts pause for more than a
	// second.
	maxEventGap = 2500 * time.Millisecond
	// defaultOutputDivisor gives the expected output of a request without a length
	// hint: its maximum output divided by this value.
	defaultOutputDivisor = 4
	// absentRetryDelay is the delay before the owner is asked again after a target
	// has refused a request because it does not hold the adapter.
	absentRetryDelay = 20 * time.Millisecond
)

// targetStream is the open response of a target to a streaming request.
type targetStream struct {
	lease    Lease
	exchange *upstream.Exchange
	events   *eventstream.Reader
	leased   bool          // the lease has not been released
	load     *balance.Load // load that the target reported, nil if none
	body     []byte        // body of a response that is not an event stream

	rateLimit float64   // that the target named, in requests per second, 0 if none
	headAt    time.Time // when the head of the answer arrived

	eventCount int // events received from this target
	sequence   sequence
}

// serveStream serves a request whose response is a stream of events.
func (c *call) serveStream() {
	stream, first, failure := c.openStream(c.meta.LastEventID)
	if failure != nil {
		c.respondError(failure)
		c.finish()
		return
	}
	c.copyResponseHead(stream.exchange)
	if stream.exchange.Status != fasthttp.StatusOK {
		c.http.SetBody(stream.body)
		c.trace.setResponse(stream.exchange.Status, stream.lease.Grant.Target)
		c.finish()
		return
	}
	body := &streamBody{call: c, source: stream, lastEventID: c.meta.LastEventID, progressAt: time.Now()}
	if len(first.Bytes) > 0 {
		body.enqueue(first)
	}
	c.streamBegun = true
	c.http.SetBodyStream(body, -1)
}

// openStream opens a stream at a target, and tries further targets as long as
// retries are allowed. It returns the stream with its first event. For a
// stream without events, the event has no bytes.
func (c *call) openStream(lastEventID int64) (*targetStream, eventstream.Event, *errs.Error) {
	for {
		stream, event, failure := c.tryOpenStream(lastEventID)
		if failure == nil {
			return stream, event, nil
		}
		if c.ctx.Err() != nil {
			return nil, event, c.contextError()
		}
		if !c.shouldRetryStream(failure) {
			if c.mayHaveRun && failure.Ran == errs.RanNo {
				failure = failure.WithRan(errs.RanUnknown)
			}
			return nil, event, failure
		}
	}
}

// shouldRetryStream reports whether a stream whose attempt failed before an
// event was forwarded is sent to a further target.
func (c *call) shouldRetryStream(failure *errs.Error) bool {
	if failure.Ran == errs.RanNo {
		if isPlacementFailure(failure) || c.refusals > maxRefusals {
			return false
		}
		// Without a connection no target received the request, so a further
		// attempt takes nothing from the retry budget.
		return failure.Code == errs.TargetUnavailable || c.server.opt.Fleet.TakeRetry(c.service)
	}
	return c.route.Repeatable() && c.possibleRuns < c.route.MaxAttempts && !c.mayCrashTargets() && c.server.opt.Fleet.TakeRetry(c.service)
}

// placementDetail marks errors of the placement. These are final, because the
// placement has already asked all owners.
const placementDetail = "placement"

// isPlacementFailure reports whether an error comes from the placement.
func isPlacementFailure(e *errs.Error) bool {
	return len(e.Details) > 0 && e.Details[0] == placementDetail
}

// tryOpenStream makes one attempt to open a stream, from the lease to the
// first event.
func (c *call) tryOpenStream(lastEventID int64) (*targetStream, eventstream.Event, *errs.Error) {
	if failure := c.checkQuarantine(); failure != nil {
		return nil, eventstream.Event{}, failure.WithDetails(placementDetail)
	}
	ctx, cancel := c.placementContext()
	defer cancel()
	lease, failure := c.server.opt.Placement.Acquire(ctx, c.service, c.placerRequest())
	if failure != nil {
		if ctx.Err() != nil && c.ctx.Err() == nil {
			failure = errs.NotRun(errs.DeadlineUnreachable, "no target could start the request before the caller leaves").WithRetry(refusalRetryAfter)
		}
		return nil, eventstream.Event{}, failure.WithDetails(placementDetail)
	}
	c.trace.addPlacement(lease)
	if failure := c.checkQuarantine(); failure != nil { // it may have begun during the wait
		c.server.opt.Placement.Release(lease, placer.Cancelled)
		return nil, eventstream.Event{}, failure.WithDetails(placementDetail)
	}
	if !c.server.opt.Fleet.Usable(lease.Grant.Target) {
		c.server.opt.Placement.Release(lease, placer.Unsent)
		c.excluded = append(c.excluded, lease.Grant.Target)
		c.refusals++
		return nil, eventstream.Event{}, errs.NotRun(errs.NoTarget, "the target is marked as leaving").WithDetails(lease.Grant.Target)
	}
	stream, failure := c.sendStreamRequest(lease, lastEventID)
	if failure != nil {
		return nil, eventstream.Event{}, failure
	}
	event, failure := stream.firstEvent(c)
	if failure != nil {
		return nil, event, failure
	}
	return stream, event, nil
}

// abandonReserve is the part of the time until the caller abandons a stream that is left
// for the refusal of its request.
const abandonReserve = 150 * time.Millisecond

// placementContext returns the context of a wait for a lease. It ends before the caller
// abandons the stream, so that the caller still gets an answer.
func (c *call) placementContext() (context.Context, context.CancelFunc) {
	if c.route.AbandonAfter <= 0 {
		return context.WithCancel(c.ctx)
	}
	return context.WithDeadline(c.ctx, c.waitingSince().Add(c.route.AbandonAfter-abandonReserve))
}

// waitingSince returns the time since which the caller has waited for the next event.
func (c *call) waitingSince() time.Time {
	if c.trace.lastEventAt.IsZero() {
		return c.arrived
	}
	return c.trace.lastEventAt
}

// placerRequest builds the request for a lease.
func (c *call) placerRequest() placer.Request {
	output := c.meta.LengthHint
	if output <= 0 {
		output = c.meta.MaxOutputTokens / defaultOutputDivisor
	}
	abandon := c.route.AbandonAfter
	if abandon > 0 {
		abandon -= time.Since(c.waitingSince())
	}
	return placer.Request{
		Abandon: abandon,
		ID:      c.meta.ID + "/" + strconv.FormatUint(c.server.acquireCount.Add(1), 36), Adapter: c.meta.Adapter, Bytes: len(c.body), PromptTokens: c.meta.PromptTokens, OutputTokens: min(output, max(1, c.meta.MaxOutputTokens)),
		Parts: c.meta.Parts, Priority: c.route.Priority, Objective: c.route.LatencyObjective - time.Since(c.arrived),
		Deadline: c.timeLeft(), Exclude: c.excluded,
	}
}

// sendStreamRequest sends the request to the target of a lease and checks the
// head of the response.
func (c *call) sendStreamRequest(lease Lease, lastEventID int64) (*targetStream, *errs.Error) {
	g := lease.Grant
	attempt := Attempt{Target: g.Target, Engine: c.isEngine, Priority: g.Priority}
	if c.meta.Adapter.Name != "" {
		attempt.Version = max(g.Version, c.server.opt.Fleet.RequiredVersion(c.meta.Adapter))
	}
	if lastEventID > c.meta.LastEventID {
		attempt.LastEventID = lastEventID
	}
	deadline := c.deadline
	if limit := c.firstEventDeadline(lease); limit.Before(deadline) {
		deadline = limit
	}
	exchange, failure := c.server.opt.Upstream.Open(c.ctx, c.upstreamRequest(g.Address, attempt), upstream.Timeouts{Connect: connectTimeout, Deadline: deadline})
	if failure != nil {
		return nil, c.recordFailedAttempt(lease, failure, 0)
	}
	exchange.SetDeadline(c.deadline)
	response := c.server.opt.Dialect.ParseResponse(exchange.Status, exchange.Fields)
	c.server.opt.Fleet.RecordRateLimit(lease.Grant.Target, response.RateLimit)
	if response.RateLimit > 0 {
		c.server.opt.Placement.Limited(lease, response.RateLimit)
	}
	if failure := c.checkStreamHead(lease, exchange, response); failure != nil {
		exchange.Close()
		return nil, failure
	}
	stream := &targetStream{lease: lease, exchange: exchange, events: eventstream.NewReader(exchange), load: response.Load, rateLimit: response.RateLimit, headAt: time.Now(), leased: true, sequence: c.newSequence(max(lastEventID, c.meta.LastEventID), response)}
	if exchange.Status == fasthttp.StatusOK {
		return stream, nil
	}
	if stream.body, failure = exchange.ReadAll(maxResponseBytes); failure != nil {
		exchange.Close()
		return nil, c.recordFailedAttempt(lease, failure, 0)
	}
	stream.release(c, placer.Errored)
	return stream, nil
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
		s.exchange.Close()
		c.server.opt.Placement.Release(s.lease, outcome)
	}
}

// firstEventDeadline returns the time until which to wait for the first event:
// the deadline of the request, or an earlier time if the request can be sent
// to another target.
func (c *call) firstEventDeadline(lease Lease) time.Time {
	if !c.canRetryElsewhere() {
		return c.deadline
	}
	return time.Now().Add(time.Duration(firstEventFactor*float64(lease.Estimate)) + firstEventMargin)
}

// canRetryElsewhere reports whether the request may run on a further target if
// the current attempt fails.
func (c *call) canRetryElsewhere() bool {
	return c.route.Repeatable() && c.possibleRuns+1 < c.route.MaxAttempts
}

// checkStreamHead checks the head of a response. A server error counts as a
// failed attempt if the request can be sent to another target; otherwise the
// target's response is forwarded to the caller.
func (c *call) checkStreamHead(lease Lease, e *upstream.Exchange, response ResponseMeta) *errs.Error {
	switch {
	case response.NotRun:
		c.refusals++
		outcome := placer.AtCapacity
		if response.Misdirected {
			outcome = placer.Absent
			time.Sleep(absentRetryDelay)
		} else {
			c.excluded = append(c.excluded, lease.Grant.Target)
		}
		c.server.opt.Placement.Release(lease, outcome)
		c.trace.addStep(StepFailed, lease.Grant.Target, "refused as not run")
		return errs.NotRun(errs.TargetRefused, "the target refused the request").WithRetry(refusalRetryAfter).WithDetails(lease.Grant.Target)
	case c.checkContinuation(e) != nil:
		return c.recordFailedAttempt(lease, c.checkContinuation(e), 0)
	case e.Status >= minServerErrorStatus && c.canRetryElsewhere():
		return c.recordFailedAttempt(lease, errs.New(errs.TargetRefused, "the target responded with a server error").WithRan(errs.RanYes), 0)
	}
	if failure := c.checkResponse(e, response); failure != nil {
		return c.recordFailedAttempt(lease, failure, 0)
	}
	return nil
}

// firstEvent reads the first event and reports it to the placement. At the end
// of a stream without events it returns an event without bytes.
func (s *targetStream) firstEvent(c *call) (eventstream.Event, *errs.Error) {
	if !s.leased {
		return eventstream.Event{}, nil
	}
	if c.canRetryElsewhere() {
		s.exchange.SetReadTimeout(time.Until(c.firstEventDeadline(s.lease)))
	}
	event, err := s.next(c)
	if err == io.EOF {
		return eventstream.Event{}, nil
	}
	if err != nil {
		s.exchange.Close()
		return event, c.recordFailedAttempt(s.lease, streamFailure(err), s.eventCount)
	}
	s.countEvent(c)
	slowness := 0.0
	if s.load != nil {
		slowness = s.load.Slowness
	}
	c.server.opt.Placement.Started(s.lease, TargetStatement{Slowness: slowness, RateLimit: s.rateLimit, Age: time.Since(s.headAt)})
	return event, nil
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
	call        *call
	source      *targetStream
	pending     []byte    // bytes of the current event that have not been read yet
	lastEventID int64     // ID of the last event that the caller has or that was enqueued, 0 if none
	progressAt  time.Time // when the stream began at its target or the last event with an ID arrived
	endErr      error     // result of Read after the last event, nil while the stream goes on
	closed      bool
}

// enqueue stores the next event for Read. The preceding event must have been
// read completely.
func (b *streamBody) enqueue(e eventstream.Event) {
	b.pending = append(b.pending[:0], e.Bytes...)
	if e.ID > 0 {
		b.lastEventID, b.progressAt = e.ID, time.Now()
	}
	b.call.trace.addEvent(time.Now())
}

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
	if c.canRetryElsewhere() {
		b.source.exchange.SetReadTimeout(time.Until(b.progressAt.Add(maxEventGap)))
	} else {
		b.source.exchange.SetDeadline(c.deadline)
	}
	event, err := b.source.next(c)
	switch {
	case err == nil && event.ID > 0 && event.ID != b.lastEventID+1 && b.lastEventID > 0:
		err = errs.New(errs.WrongAnswer, "the stream skipped or repeated an event")
	case err == nil:
		b.enqueue(event)
		b.source.countEvent(c)
		return
	case err == io.EOF:
		b.endErr = io.EOF
		if b.source.eventCount < progressEvents {
			c.recordProgress()
		}
		b.source.release(c, placer.Done)
		return
	}
	b.resume(streamFailure(err))
}

// resume continues the stream at another target after a failure, if a retry is
// allowed.
func (b *streamBody) resume(failure *errs.Error) {
	c := b.call
	b.source.exchange.Close()
	b.source.leased = false
	_ = c.recordFailedAttempt(b.source.lease, failure, b.source.eventCount)
	suspect := b.source.eventCount < progressEvents && c.mayCrashTargets()
	if c.ctx.Err() != nil || b.lastEventID == 0 || !c.route.Repeatable() || c.possibleRuns >= c.route.MaxAttempts || suspect ||
		!c.server.opt.Fleet.TakeRetry(c.service) {
		c.trace.setFailure(failure)
		b.endErr = failure
		return
	}
	stream, event, openFailure := c.openStream(b.lastEventID)
	switch {
	case openFailure != nil:
		c.trace.setFailure(openFailure)
		b.endErr = openFailure
		return
	case stream.exchange.Status != fasthttp.StatusOK:
		// The caller already has the head of the response, so the only way to
		// report the failure is to cut the connection.
		b.source = stream
		b.endErr = errs.New(errs.TargetRefused, "the target chosen to resume the stream did not respond with status 200").WithRan(errs.RanYes)
		c.trace.setFailure(failure)
		return
	case len(event.Bytes) == 0:
		b.source, b.endErr = stream, io.EOF
		b.source.release(c, placer.Done)
		return
	case event.ID != b.lastEventID+1:
		b.source = stream
		b.source.release(c, placer.Failed)
		b.endErr = errs.New(errs.WrongAnswer, "the resumed stream does not continue at the next event")
		return
	}
	b.source, b.progressAt = stream, time.Now()
	b.enqueue(event)
	c.trace.addStep(StepResumed, stream.lease.Grant.Target, "")
}

// Close implements io.Closer. The HTTP server calls it when the stream has
// ended or the connection of the caller has failed.
func (b *streamBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.source.release(b.call, placer.Cancelled)
	if b.endErr == io.EOF {
		b.call.trace.setResponse(b.source.exchange.Status, b.source.lease.Grant.Target)
	}
	b.call.finish()
	return nil
}
