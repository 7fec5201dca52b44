package gateway

import (
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
	"cicadaslip/internal/upstream"
)

const contentEvents = "text/event-stream"

// checkContinuation checks that the head of an answer allows its body to go on in the middle
// of a stream, where the caller cannot see the head.
func (c *call) checkContinuation(e *upstream.Exchange) *errs.Error {
	mediaType, _, _ := strings.Cut(e.Fields.Get(fasthttp.HeaderContentType), ";")
	if !c.streamBegun || e.Status == fasthttp.StatusOK && strings.EqualFold(strings.TrimSpace(mediaType), contentEvents) {
		return nil
	}
	return errs.New(errs.TargetRefused, "the target did not answer with the rest of the stream").WithRan(errs.RanUnknown)
}

// sequence checks that the events of one target follow each other, and those that the
// caller already has.
type sequence struct {
	last      int64 // ID of the event before the next one, 0 if there is none or the events have no IDs so far
	count     int   // events received, without comments
	continues bool  // the caller has the head and the events of another target
	named     bool  // the answer carries the ID of the request
}

// newSequence returns the check of a stream that was requested after an event.
func (c *call) newSequence(after int64, response ResponseMeta) sequence {
	s := sequence{continues: c.streamBegun, named: response.RequestID == c.meta.ID}
	if c.route.Repeatable() { // targets of other routes need not heed the ID
		s.last = after
	}
	return s
}

// accept checks the next event. In a stream whose events have IDs, one without an ID is
// something else, such as an error.
func (s *sequence) accept(event eventstream.Event) error {
	if event.Comment {
		return nil
	}
	if (s.last > 0 || s.continues) && event.ID != s.last+1 {
		return errs.New(errs.WrongAnswer, "the stream skipped or repeated an event, or contains something else")
	}
	s.count++
	s.last = max(s.last, event.ID)
	return nil
}

// next returns the next event. It returns io.EOF only at the end of a stream that may be
// complete. Comments before the event with which a target continues a stream are left out.
func (s *targetStream) next(c *call) (eventstream.Event, error) {
	for {
		event, err := s.events.Next()
		if err == nil {
			err = s.sequence.accept(event)
		} else if err == io.EOF {
			err = s.checkEnd(c)
		}
		if err != nil || !event.Comment || !s.sequence.continues || s.sequence.count > 0 {
			return event, err
		}
	}
}

// checkEnd returns io.EOF if a stream whose body ended without an error may be complete.
func (s *targetStream) checkEnd(c *call) error {
	unframed, empty := s.exchange.Unframed(), s.sequence.count == 0
	switch {
	case unframed && empty:
		return errs.New(errs.TruncatedAnswer, "the connection ended before an event")
	case empty && s.sequence.continues && !s.sequence.named:
		return errs.New(errs.TruncatedAnswer, "the answer ended before an event and does not name its request")
	case unframed && c.targetEnded(s.lease.Grant.Address):
		return errs.New(errs.TruncatedAnswer, "the connection ended together with the target")
	}
	return io.EOF
}
