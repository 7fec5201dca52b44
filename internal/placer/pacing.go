package placer

import "time"

const (
	// pacedGapFraction is the part of the event gap objective that prefill and one event may
	// take. The rest covers errors of the estimates.
	pacedGapFraction = 0.9
	// pacedEventTimes is the time that streams get for an event between prompts, relative to that
	// of a target with few streams. Each further stream slows down all of them.
	pacedEventTimes = 1.5
)

// decodeTime returns the time in which all streams of a target get an event while it does no
// prefill.
func (c *Core) decodeTime(t *targetState) time.Duration {
	return time.Duration(pacedEventTimes * float64(c.firstEventTime(t)))
}

// prefillRun returns the prefill that a target was granted since its streams last had the time
// for an event.
func (c *Core) prefillRun(t *targetState) time.Duration {
	idle := c.now - t.prefillUntil
	if idle <= 0 || t.prefillGranted == 0 {
		return t.prefillGranted
	}
	return time.Duration(float64(t.prefillGranted) * max(0, 1-float64(idle)/float64(c.decodeTime(t))))
}

// decodeWait returns the time until a target may get a prompt with some prefill time. A target
// prefills prompts in chunks between the tokens of its streams, so prompts in direct succession
// add up to one pause of all streams. When a further prompt would make the pause longer than the
// event gap objective, the streams first get the time for an event. A prompt does not wait if the
// pause misses the objective in any case.
func (c *Core) decodeWait(t *targetState, prefill time.Duration) time.Duration {
	if t.eventGap == 0 {
		return 0
	}
	decode := c.decodeTime(t)
	allowed := time.Duration(pacedGapFraction*float64(t.eventGap)) - decode
	run := c.prefillRun(t)
	if run == 0 || run+prefill <= allowed || run > allowed || prefill > allowed {
		return 0
	}
	return c.backlog(t) + time.Duration(float64(decode)*min(1, 1-float64(allowed-prefill)/float64(run)))
}

// streamsWait returns the time since a request first waited for the streams of a target.
func (c *Core) streamsWait(r *queuedRequest) time.Duration {
	if r.decodeWaitFrom == 0 {
		return 0
	}
	return c.now - r.decodeWaitFrom
}

// startPacedRun records a granted request. Its prefill follows that of earlier ones.
func (c *Core) startPacedRun(t *targetState, r *queuedRequest, prefill time.Duration) {
	t.prefillGranted = c.prefillRun(t) + prefill
	t.eventGap = shorterObjective(t.eventGap, r.EventGap)
}

// endPacedRun updates the shortest event gap objective of a target after the end of a run.
func (t *targetState) endPacedRun(r *queuedRequest) {
	if r.EventGap == 0 || r.EventGap > t.eventGap {
		return
	}
	t.eventGap = 0
	for _, run := range t.runs {
		t.eventGap = shorterObjective(t.eventGap, run.request.EventGap)
	}
}

// shorterObjective returns the shorter of two objectives, of which 0 is none.
func shorterObjective(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
