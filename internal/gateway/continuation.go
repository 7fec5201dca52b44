package gateway

import (
	"io"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
)

// sequence checks that the events of one target follow each other, and those that the
// caller already has.
type sequence struct {
	last int64 // ID of the event before the next one, 0 if the events have no IDs so far
}

// newSequence returns the check of a stream that was requested after an event.
func (c *call) newSequence(after int64) sequence {
	if !c.route.Repeatable() { // targets of other routes need not heed the ID
		after = 0
	}
	return sequence{last: after}
}

// accept checks the next event. In a stream whose events have IDs, one without an ID is
// something else, such as an error.
func (s *sequence) accept(event eventstream.Event) error {
	if event.Comment {
		return nil
	}
	if s.last > 0 && event.ID != s.last+1 {
		return errs.New(errs.WrongAnswer, "the stream skipped or repeated an event, or contains something else")
	}
	s.last = max(s.last, event.ID)
	return nil
}

// next returns the next event. It returns io.EOF only at the end of a stream that may be
// complete: one without length and chunks is not if it has no event, or if its target has
// ended.
func (s *targetStream) next(c *call) (eventstream.Event, error) {
	event, err := s.events.Next()
	if err == nil {
		return event, s.sequence.accept(event)
	}
	if err != io.EOF || !s.exchange.Unframed() {
		return event, err
	}
	switch {
	case s.eventCount == 0 && s.after == 0:
		err = errs.New(errs.TruncatedAnswer, "the connection ended before an event")
	case c.targetEnded(s.lease.Grant.Address):
		err = errs.New(errs.TruncatedAnswer, "the connection ended together with the target")
	}
	return event, err
}
