package eventstream_test

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
)

// Guards against bytes of a target that make the process panic, and against events that are
// split, joined, changed or given the ID of another line, however the bytes arrive.
func FuzzReader(f *testing.F) {
	f.Add([]byte(twoEvents))
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	f.Add([]byte(":\n\n: busy\r\n\r\nid:3\n\n\n\n"))
	f.Add([]byte("id: 99999999999999999999\n\nid: -1\n\nid: x\n\nid\n\n"))
	f.Add([]byte("data: " + strings.Repeat("x", 2042) + "\nid: 4\n\n"))
	f.Add([]byte("data: " + strings.Repeat("x", 2042) + "id: 5\n\n"))
	f.Add([]byte("id: 1\n\nHTTP/1.1 500 x\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("id: 1\n\n{\"error\":\"x\"}\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var seen []string // by each way of reading
		for _, wrap := range []func(io.Reader) io.Reader{
			func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader,
		} {
			r := eventstream.NewReader(wrap(bytes.NewReader(text)))
			rest, ids := text, ""
			for {
				e, err := r.Next()
				if err != nil {
					checkEnd(t, rest, err)
					ids += string(errs.As(err).Code)
					break
				}
				if !bytes.HasPrefix(rest, e.Bytes) {
					t.Fatalf("event %q is not what follows in %q", e.Bytes, rest)
				}
				checkEvent(t, e)
				rest = rest[len(e.Bytes):]
				ids += strconv.FormatInt(e.ID, 10) + " "
			}
			seen = append(seen, ids)
			if seen[0] != ids {
				t.Fatalf("%q: %q by one way of reading, %q by another", text, seen[0], ids)
			}
		}
	})
}

// checkEvent checks that an event has one blank line, at its end, and the ID of its last line
// with one.
func checkEvent(t *testing.T, e eventstream.Event) {
	lines := strings.Split(string(e.Bytes), "\n") // the last one is empty
	id, comment := int64(0), true
	for i, line := range lines[:len(lines)-1] {
		line = strings.TrimRight(line, "\r")
		if (line == "") != (i == len(lines)-2) {
			t.Fatalf("event %q does not end at its first blank line", e.Bytes)
		}
		comment = comment && (line == "" || line[0] == ':')
		if name, value, _ := strings.Cut(line, ":"); name == "id" {
			var err error
			if id, err = strconv.ParseInt(strings.TrimSpace(value), 10, 64); err != nil {
				id = 0
			}
		}
	}
	if e.ID != id || e.Comment != comment {
		t.Fatalf("event %q: ID %d, comment %v", e.Bytes, e.ID, e.Comment)
	}
}

// checkEnd checks that a stream ends as complete only behind a whole event.
func checkEnd(t *testing.T, rest []byte, err error) {
	switch {
	case err == io.EOF && len(rest) > 0:
		t.Fatalf("the stream ends as complete before %q", rest)
	case err != io.EOF && len(rest) == 0:
		t.Fatalf("the stream does not end as complete: %v", err)
	}
}
