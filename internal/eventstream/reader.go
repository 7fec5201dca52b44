// Package eventstream splits a stream of server-sent events into whole events,
// so that a stream that breaks off can be continued after the last whole one.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"cicadaslip/internal/errs"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// Event is one whole event as it arrived, with the blank line that ends it.
type Event struct {
	Bytes []byte // valid until the next call of Next
	ID    int64  // 0 if the event has none, or one that is no number
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	lines *bufio.Reader
	event []byte
}

// NewReader returns a reader of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{lines: bufio.NewReaderSize(r, 2<<10)} }

// Next returns the next whole event. At the end of the stream it returns io.EOF;
// a stream that ends within an event fails with errs.TruncatedAnswer.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	var id int64
	for {
		line, err := r.lines.ReadSlice('\n')
		r.event = append(r.event, line...)
		if len(r.event) > maxEventBytes {
			return Event{}, errs.New(errs.TooLarge, "an event of a stream is too large")
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(r.event) > 0:
			return Event{}, errs.New(errs.TruncatedAnswer, "the stream ended within an event")
		case err != nil:
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return Event{Bytes: r.event, ID: id}, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64) // no number: 0
		}
	}
}
