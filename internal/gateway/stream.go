package gateway

import (
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
	// firstEventFactor and firstEventSpare bound the time until the first event
	// of a stream that may be sent to another target.
	firstEventFactor = 2.5
	firstEventSpare  = 400 * time.Millisecond
	// gapLimit is the pause after which such a stream goes on elsewhere. Targets
	// that read long prompts pause for more than a second.
	gapLimit = 2500 * time.Millisecond
	// outputGuess is the expected part of the largest answer without a hint.
	outputGuess = 4
	// absentWait is the pause before the owner is asked again after a target
	// denied that it holds the adapter.
	absentWait = 20 * time.Millisecond
)

// feed is an open stream of a target.
type feed struct {
	lease    Lease
	exchange *upstream.Exchange
	events   *eventstream.Reader
	held     bool // the lease has not been released
	load     *balance.Load
	body     []byte // of an answer that is no stream
}

// stream serves a request whose answer is a stream of events.
func (c *call) stream() {
	f, first, failure := c.openFeed(c.meta.ResumeAfter)
	if failure != nil {
		c.fail(failure)
		c.finish()
		return
	}
	c.passOn(f.exchange)
	if f.exchange.Status != fasthttp.StatusOK {
		c.http.SetBody(f.body)
		c.trace.answered(f.exchange.Status, f.lease.Grant.Target)
		c.finish()
		return
	}
	body := &streamBody{call: c, feed: f, last: c.meta.ResumeAfter}
	if len(first.Bytes) > 0 {
		body.take(first)
	}
	c.http.SetBodyStream(body, -1)
}

// openFeed gets a target and opens a stream there, on one target after another
// while that is allowed. It returns the stream with its first event; a stream
// without events returns an event without bytes.
func (c *call) openFeed(after int64) (*feed, eventstream.Event, *errs.Error) {
	for {
		f, event, failure := c.tryFeed(after)
		if failure == nil {
			return f, event, nil
		}
		if c.ctx.Err() != nil {
			return nil, event, c.givenUp()
		}
		if !c.sendAgain(failure) {
			if c.sent && failure.Ran == errs.RanNo {
				failure = failure.WithRan(errs.RanUnknown)
			}
			return nil, event, failure
		}
	}
}

// sendAgain reports whether a stream that failed before an event was passed on
// is sent to a further target.
func (c *call) sendAgain(failure *errs.Error) bool {
	if failure.Ran == errs.RanNo {
		if isPlacement(failure) || c.refused > maxRefusals {
			return false
		}
		// A request that was not sent did not arrive anywhere.
		return failure.Code == errs.TargetUnavailable || c.s.opt.Fleet.TakeRepeat(c.service)
	}
	return c.route.Repeatable() && c.ran < c.route.MaxAttempts && c.s.opt.Fleet.TakeRepeat(c.service)
}

// fromPlacement marks failures of the placement, which are final: it has already
// asked all owners.
const fromPlacement = "placement"

func isPlacement(e *errs.Error) bool {
	return len(e.Details) > 0 && e.Details[0] == fromPlacement
}

func (c *call) tryFeed(after int64) (*feed, eventstream.Event, *errs.Error) {
	lease, failure := c.s.opt.Placement.Acquire(c.ctx, c.service, c.placerRequest())
	if failure != nil {
		return nil, eventstream.Event{}, failure.WithDetails(fromPlacement)
	}
	c.trace.placed(lease)
	if !c.s.opt.Fleet.Usable(lease.Grant.Target) {
		c.s.opt.Placement.Release(lease, placer.Unsent)
		c.exclude = append(c.exclude, lease.Grant.Target)
		c.refused++
		return nil, eventstream.Event{}, errs.NotRun(errs.NoTarget, "the target is leaving").WithDetails(lease.Grant.Target)
	}
	f, failure := c.dialFeed(lease, after)
	if failure != nil {
		return nil, eventstream.Event{}, failure
	}
	event, failure := f.first(c)
	if failure != nil {
		return nil, event, failure
	}
	return f, event, nil
}

func (c *call) placerRequest() placer.Request {
	output := c.meta.LengthHint
	if output <= 0 {
		output = c.meta.OutputTokens / outputGuess
	}
	return placer.Request{
		ID: c.meta.ID + "/" + strconv.FormatUint(c.s.number.Add(1), 36), Adapter: c.meta.Adapter, Bytes: len(c.body), PromptTokens: c.meta.PromptTokens, OutputTokens: min(output, max(1, c.meta.OutputTokens)),
		Parts: c.meta.Parts, Priority: c.route.Priority, Objective: c.route.TargetLatency - time.Since(c.arrived),
		Deadline: c.timeLeft(), Exclude: c.exclude,
	}
}

// dialFeed sends the request to the target of a lease.
func (c *call) dialFeed(lease Lease, after int64) (*feed, *errs.Error) {
	g := lease.Grant
	attempt := Attempt{Target: g.Target, Engine: c.engine, Priority: g.Priority}
	if c.meta.Adapter.Name != "" {
		attempt.Version = max(g.Version, c.s.opt.Fleet.RequiredVersion(c.meta.Adapter))
	}
	if after > c.meta.ResumeAfter {
		attempt.ResumeAfter = after
	}
	end := c.end
	if limit := c.firstLimit(lease); limit.Before(end) {
		end = limit
	}
	exchange, failure := c.s.opt.Upstream.Open(c.ctx, c.request(g.Address, attempt), upstream.Times{Connect: connectLimit, End: end})
	if failure != nil {
		return nil, c.lost(lease, failure)
	}
	exchange.Until(c.end)
	answer := c.s.opt.Dialect.Answer(exchange.Status, exchange.Fields)
	if failure := c.judge(lease, exchange, answer); failure != nil {
		exchange.Close()
		return nil, failure
	}
	f := &feed{lease: lease, exchange: exchange, events: eventstream.NewReader(exchange), load: answer.Load, held: true}
	if exchange.Status == fasthttp.StatusOK {
		return f, nil
	}
	if f.body, failure = exchange.ReadAll(maxAnswerBytes); failure != nil {
		exchange.Close()
		return nil, c.lost(lease, failure)
	}
	f.release(c, placer.Errored)
	return f, nil
}

// release ends the use of the target.
func (f *feed) release(c *call, outcome placer.Outcome) {
	if f.held {
		f.held = false
		f.exchange.Close()
		c.s.opt.Placement.Release(f.lease, outcome)
	}
}

// firstLimit is the time until which the first event is waited for, if the
// request can go to another target.
func (c *call) firstLimit(lease Lease) time.Time {
	if !c.mayMove() {
		return c.end
	}
	return time.Now().Add(time.Duration(firstEventFactor*float64(lease.Estimate)) + firstEventSpare)
}

// mayMove reports whether the request may still run on a further target.
func (c *call) mayMove() bool { return c.route.Repeatable() && c.ran+1 < c.route.MaxAttempts }

// lost enters an attempt that got no answer.
func (c *call) lost(lease Lease, failure *errs.Error) *errs.Error {
	c.exclude = append(c.exclude, lease.Grant.Target)
	outcome := placer.Failed
	switch {
	case c.left.Load():
		outcome = placer.Cancelled
	case failure.Ran == errs.RanNo:
		outcome = placer.Unsent
		c.refused++
	case failure.Code == errs.Timeout:
		outcome = placer.TimedOut
	}
	if failure.Ran != errs.RanNo {
		c.sent = true
		c.ran++
	}
	c.s.opt.Placement.Release(lease, outcome)
	c.trace.step(StepFailed, lease.Grant.Target, string(failure.Code))
	return failure.WithDetails(lease.Grant.Target)
}

// judge checks the head of an answer. Answers that are no stream but genuine
// failures of the target are final for requests that may not be repeated.
func (c *call) judge(lease Lease, e *upstream.Exchange, a Answer) *errs.Error {
	switch {
	case a.NotRun:
		c.refused++
		outcome := placer.AtCapacity
		if a.Elsewhere {
			outcome = placer.Absent
			time.Sleep(absentWait)
		} else {
			c.exclude = append(c.exclude, lease.Grant.Target)
		}
		c.s.opt.Placement.Release(lease, outcome)
		c.trace.step(StepFailed, lease.Grant.Target, "refused as not run")
		return errs.NotRun(errs.TargetRefused, "the target refused the request").WithRetry(refusalRetry).WithDetails(lease.Grant.Target)
	case e.Status >= serverError && c.mayMove():
		return c.lost(lease, errs.New(errs.TargetRefused, "the target failed").WithRan(errs.RanYes))
	}
	if failure := c.genuine(e, a); failure != nil {
		return c.lost(lease, failure)
	}
	return nil
}

// first reads the first event.
func (f *feed) first(c *call) (eventstream.Event, *errs.Error) {
	if !f.held {
		return eventstream.Event{}, nil
	}
	if c.mayMove() {
		f.exchange.Allow(time.Until(c.firstLimit(f.lease)))
	}
	event, err := f.events.Next()
	if err == io.EOF {
		return eventstream.Event{}, nil
	}
	if err != nil {
		f.exchange.Close()
		return event, c.lost(f.lease, streamFailure(err))
	}
	slowness := 0.0
	if f.load != nil {
		slowness = f.load.Slowness
	}
	c.s.opt.Placement.Started(f.lease, slowness)
	return event, nil
}

func streamFailure(err error) *errs.Error {
	if upstream.Silence(err) {
		return errs.Wrap(err, errs.Timeout, "the stream fell silent").WithRan(errs.RanUnknown)
	}
	return errs.Wrap(err, errs.TruncatedAnswer, "the stream broke off").WithRan(errs.RanUnknown)
}

// streamBody passes events on. It implements io.ReadCloser.
type streamBody struct {
	call    *call
	feed    *feed
	pending []byte
	last    int64 // event passed on
	ended   error
	closed  bool
}

// take queues an event that follows the last one.
func (b *streamBody) take(e eventstream.Event) {
	b.pending = append(b.pending[:0], e.Bytes...)
	if e.ID > 0 {
		b.last = e.ID
	}
	b.call.trace.event(time.Now())
}

// Read implements io.Reader. A failure cuts the connection, so that the stream
// does not look complete.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.ended != nil {
			return 0, b.ended
		}
		b.next()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// next gets the next event, from another target if the present one breaks off.
func (b *streamBody) next() {
	c := b.call
	if c.mayMove() {
		b.feed.exchange.Allow(gapLimit)
	} else {
		b.feed.exchange.Until(c.end)
	}
	event, err := b.feed.events.Next()
	switch {
	case err == nil && event.ID > 0 && event.ID != b.last+1 && b.last > 0:
		err = errs.New(errs.WrongAnswer, "an event of the stream is missing or repeated")
	case err == nil:
		b.take(event)
		return
	case err == io.EOF:
		b.ended = io.EOF
		b.feed.release(c, placer.Done)
		return
	}
	b.resume(streamFailure(err))
}

// resume continues the stream at another target.
func (b *streamBody) resume(failure *errs.Error) {
	c := b.call
	b.feed.exchange.Close()
	b.feed.held = false
	_ = c.lost(b.feed.lease, failure)
	if c.ctx.Err() != nil || b.last == 0 || !c.route.Repeatable() || c.ran >= c.route.MaxAttempts ||
		!c.s.opt.Fleet.TakeRepeat(c.service) {
		c.trace.failed(failure)
		b.ended = failure
		return
	}
	f, event, failed := c.openFeed(b.last)
	switch {
	case failed != nil:
		c.trace.failed(failed)
		b.ended = failed
		return
	case f.exchange.Status != fasthttp.StatusOK:
		// The head of the stream is with the caller: a failure can only cut it.
		b.feed = f
		b.ended = errs.New(errs.TargetRefused, "the target that was to continue the stream failed").WithRan(errs.RanYes)
		c.trace.failed(failure)
		return
	case len(event.Bytes) == 0:
		b.feed, b.ended = f, io.EOF
		b.feed.release(c, placer.Done)
		return
	case event.ID != b.last+1:
		b.feed = f
		b.feed.release(c, placer.Failed)
		b.ended = errs.New(errs.WrongAnswer, "the resumed stream does not join")
		return
	}
	b.feed = f
	b.take(event)
	c.trace.step(StepResumed, f.lease.Grant.Target, "")
}

// Close implements io.Closer. It is called when the stream has ended or the
// caller's connection has failed.
func (b *streamBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.feed.release(b.call, placer.Cancelled)
	if b.ended == io.EOF {
		b.call.trace.answered(b.feed.exchange.Status, b.feed.lease.Grant.Target)
	}
	b.call.finish()
	return nil
}
