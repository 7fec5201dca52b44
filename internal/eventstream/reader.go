// Package eventstream splits a stream of server-sent events into whole events,
// so that an interrupted stream can be resumed after the last whole event.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

// Event is one whole event as received, including the blank line that ends it.
type Event struct {
	Bytes   []byte // valid until the next call to Next
	ID      int64  // 0 if the event has no ID or one that is not a number
	Comment bool   // the event has no fields, only comments or nothing
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	input *bufio.Reader
	event []byte // bytes of the current event, reused by the next call to Next
	// reserve is called before event grows beyond freeBytes, nil without a limit.
	reserve func(bytes int) *errs.Error
}

// freeBytes is the size of an event up to which Reserve's function is not called.
const freeBytes = 4 << 10

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(r, 2<<10)} }

// Reserve sets a function that is called before the reader takes memory for a larger event than
// those before. If it fails, so does Next.
func (r *Reader) Reserve(reserve func(bytes int) *errs.Error) { r.reserve = reserve }

// grow makes room for more bytes of the current event.
func (r *Reader) grow(more int) error {
	size := len(r.event) + more
	if size <= cap(r.event) || size <= freeBytes || r.reserve == nil {
		return nil
	}
	size = max(size, 2*cap(r.event))
	if failure := r.reserve(size - cap(r.event)); failure != nil {
		return failure
	}
	r.event = append(make([]byte, 0, size), r.event...)
	return nil
}

// Next returns the next whole event. It returns io.EOF at the end of the
// stream. If the stream ends within an event, it fails with
// errs.TruncatedAnswer, and with errs.WrongAnswer at a line that is neither a
// field nor a comment, such as the status line of another answer.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	lineStart := 0
	result := Event{Comment: true}
	for {
		part, err := r.input.ReadSlice('\n')
		if failure := r.grow(len(part)); failure != nil {
			return Event{}, failure
		}
		r.event = append(r.event, part...)
		if len(r.event) > maxEventBytes {
			return Event{}, errs.New(errs.TooLarge, "an event of the stream exceeds the size limit")
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(r.event) > 0:
			return Event{}, errs.New(errs.TruncatedAnswer, "the stream ended within an event")
		case err != nil:
			return Event{}, err
		}
		content := bytes.TrimRight(r.event[lineStart:], "\r\n")
		lineStart = len(r.event)
		name, value, _ := bytes.Cut(content, []byte(":"))
		switch {
		case len(content) == 0:
			result.Bytes = r.event
			return result, nil
		case len(name) == 0: // a comment
			continue
		case !httpfields.ValidName(name):
			return Event{}, errs.New(errs.WrongAnswer, "a line of the stream is neither a field nor a comment")
		}
		result.Comment = false
		if string(name) == "id" {
			result.ID = parseID(value)
		}
	}
}

// parseID returns 0 for an ID that is not a number.
func parseID(value []byte) int64 {
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return 0
	}
	return id
}
