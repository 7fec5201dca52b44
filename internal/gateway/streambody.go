package gateway

import (
	"io"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
	"cicadaslip/internal/placer"
)

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
	b.call.trace.addEvent()
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
