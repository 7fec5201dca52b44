package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
	"cicadaslip/internal/hedge"
	"cicadaslip/internal/placer"
)

const (
	// firstEventFactor and firstEventMargin limit the wait for the first event of a stream
	// before a handover: the estimate of the lease times the factor, plus the margin.
	firstEventFactor = 2.5
	firstEventMargin = 400 * time.Millisecond
	// maxEventGap is the pause between events after which a handover begins, unless the
	// caller would abandon the stream earlier. Targets that process long prompts pause for
	// more than a second.
	maxEventGap = 2500 * time.Millisecond
	// maxOverlap is the time for which two targets may work on one stream, also if the second one
	// is a hedge. It leaves time for the end of the first one's work to reach it: the limit is
	// 400 ms.
	maxOverlap = hedge.Overlap
)

// opening describes a stream that a call needs.
type opening struct {
	ctx          context.Context
	after        int64     // ID of the event after which the stream begins, 0 for its beginning
	waitingSince time.Time // since when the caller has waited for the next event
	handover     *handover // that moves the request from another target, nil if none is at work
	hedge        bool      // another target is at work and not late
}

// handover moves a request to another target when the first one is late with its next event.
// The first target may still deliver, so its stream is closed only once another target has
// accepted the request.
type handover struct {
	call  *call
	from  *targetStream
	next  opening
	timer *time.Timer   // set once, under mu
	done  chan struct{} // closed when the attempt at the other target has ended

	mu      sync.Mutex
	outcome handoverOutcome
	started bool
	cancel  context.CancelFunc // ends the attempt at the other target, nil before it has begun
	overlap *time.Timer        // ends the first target's work, nil if the request was not sent to the other one

	lateAt       time.Time // when the first target is late
	hedge        bool      // begins before that, if hedging allows it
	hedgeTakenAt time.Time // when hedging allowed it
	hedgedTo     string    // target that the request is being sent to before that, empty if none
	beaten       bool      // the first target had neither failed nor was late when a hedge replaced it

	// Result of the attempt, valid once done is closed.
	stream  *targetStream
	event   eventstream.Event
	failure *errs.Error
}

// handoverOutcome says at which target the request goes on.
type handoverOutcome int

const (
	undecided handoverOutcome = iota
	kept                      // at the first target
	moved                     // at the other one
)

// planHandover begins a handover after a delay, unless the first target delivers before. If
// hedging allows it, the handover of a stream that has not begun begins earlier. It returns nil if the request may not run on a further target.
func (c *call) planHandover(from *targetStream, o opening, delay time.Duration) *handover {
	if !c.mayStartAnother() {
		return nil
	}
	h := &handover{call: c, from: from, next: o, done: make(chan struct{}), lateAt: time.Now().Add(delay)}
	if hedgeDelay, hedged := c.firstEventHedge(from); hedged && hedgeDelay < delay {
		h.hedge, delay = true, hedgeDelay
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(delay, h.run)
	return h
}

// run opens the stream at another target.
func (h *handover) run() {
	h.mu.Lock()
	if h.outcome != undecided {
		h.mu.Unlock()
		return
	}
	if h.hedge {
		if h.hedgeTakenAt, h.hedge = h.mayHedge(); !h.hedge {
			h.timer.Reset(time.Until(h.lateAt))
			h.mu.Unlock()
			return
		}
	}
	hedged, waiting := h.hedge, false
	h.started = true
	h.next.ctx, h.cancel = context.WithCancel(h.from.opening.ctx)
	h.next.handover = h
	h.mu.Unlock()
	defer func() {
		if !waiting {
			close(h.done)
		}
	}()
	defer h.contain()
	defer func() {
		if !waiting { // else the first target's work goes on beside this
			h.call.refundUnused()
		}
	}()
	if hedged {
		if h.openHedge() {
			return
		}
		if waiting = h.awaitLate(); waiting || h.next.ctx.Err() != nil || !h.call.mayStartAnother() {
			return
		}
	}
	c := h.call
	if c.ctx.Err() != nil {
		h.failure = c.contextError()
		return
	}
	if earlier := h.from.opening.handover; earlier != nil && !earlier.take() {
		h.failure = errs.New(errs.Cancelled, "the request has stayed at an earlier target")
		return
	}
	if c.mayCrashTargets() {
		h.failure = errs.New(errs.Quarantined, "the request may crash a further target")
		return
	}
	c.trace.addStep(StepLate, h.from.lease.Grant.Target, "")
	c.excluded = append(c.excluded, h.from.lease.Grant.Target)
	h.stream, h.event, h.failure = c.openStream(h.next)
	c.returnRetry()
	if h.failure == nil && !h.take() {
		h.stream.release(c, placer.Cancelled)
		h.stream, h.failure = nil, errs.New(errs.Cancelled, "the first target delivered the next event")
	}
}

// contain makes a panic the failure of the handover. It must be deferred.
func (h *handover) contain() {
	if cause := recover(); cause != nil {
		h.failure = errs.FromPanic(cause)
		h.call.server.opt.Observer.Panicked(shortID(h.call.meta.ID), h.failure)
	}
}

// sent records that the request is being sent to the other target, which limits the time for
// which the first one goes on.
func (h *handover) sent(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hedged := h.hedge
	if hedged {
		h.hedgedTo = target
		h.call.trace.addStep(StepHedged, target, "")
	}
	h.overlap = time.AfterFunc(maxOverlap, func() {
		if hedged {
			h.win()
			return
		}
		h.take()
	})
}

// attemptFailed records that the other target does not answer the request, so that the first
// one goes on unless its work has been ended. A nil handover ignores it.
func (h *handover) attemptFailed() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.overlap != nil {
		h.overlap.Stop()
		h.overlap = nil
	}
}

// take moves the request to the other target and ends the work of the first one. It reports
// false if the first one has delivered before.
func (h *handover) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outcome == kept {
		return false
	}
	h.outcome = moved
	h.from.cancel()
	return true
}

// keep ends the handover because the first target has delivered. It reports false if the
// request has moved before. A nil handover is kept.
func (h *handover) keep() bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	if h.outcome == moved {
		h.mu.Unlock()
		return false
	}
	h.outcome = kept
	started := h.started
	h.mu.Unlock()
	h.timer.Stop()
	if started {
		h.cancel()
		<-h.done
		first := h.from.lease.Grant.Target
		h.call.excluded = without(h.call.excluded, first)
	}
	return true
}

// without returns the targets but one.
func without(targets []string, target string) []string {
	return slices.DeleteFunc(targets, func(other string) bool { return other == target })
}

// hasMoved reports whether the request has moved to the other target.
func (h *handover) hasMoved() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outcome == moved
}

// firstFailed records that the first target has failed. It reports whether an attempt at
// another target is under way or has succeeded, whose result the caller must wait for.
func (h *handover) firstFailed() bool {
	if h == nil {
		return false
	}
	h.timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.outcome != undecided:
	case h.started:
		h.outcome = moved
	default:
		h.outcome = kept
	}
	return h.outcome == moved
}

// wait returns the result of the attempt at the other target.
func (h *handover) wait() (*targetStream, eventstream.Event, *errs.Error) {
	<-h.done
	return h.stream, h.event, h.failure
}

// abandon ends the handover at the end of the call. A nil handover ignores it.
func (h *handover) abandon() {
	if !h.keep() {
		h.cancel()
		if stream, _, failure := h.wait(); failure == nil {
			stream.release(h.call, placer.Cancelled)
		}
	}
}

// firstEventDelay returns the time after which a target is late with the first event.
func firstEventDelay(lease Lease) time.Duration {
	return time.Duration(firstEventFactor*float64(lease.Estimate)) + firstEventMargin
}

// eventGapDelay returns the time after which a target is late with a further event.
func (c *call) eventGapDelay() time.Duration {
	if c.route.AbandonAfter > 0 {
		return min(maxEventGap, c.route.AbandonAfter/2)
	}
	return maxEventGap
}
