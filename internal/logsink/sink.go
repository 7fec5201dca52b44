// Package logsink writes log lines without blocking the goroutines that log. A
// separate goroutine writes the lines from a buffer of limited size. Lines that
// exceed the buffer or the rate limits are dropped and counted, and the next write
// reports their number.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushInterval is the time between two writes. It lets one write contain many
	// lines.
	flushInterval = 100 * time.Millisecond
	// closeTimeout limits the time that Close waits for the last lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// Settings are the limits of a Sink. Fields that are zero or negative take the
// default.
type Settings struct {
	// BufferBytes is the maximum number of buffered bytes, default 256 KiB.
	BufferBytes int
	// LinesPerSecond and BytesPerSecond are the maximum numbers of lines and bytes
	// that are accepted in one second, default 2000 lines and 512 KiB.
	LinesPerSecond int
	BytesPerSecond int
}

func (s Settings) withDefaults() Settings {
	if s.BufferBytes <= 0 {
		s.BufferBytes = 256 << 10
	}
	if s.LinesPerSecond <= 0 {
		s.LinesPerSecond = 2000
	}
	if s.BytesPerSecond <= 0 {
		s.BytesPerSecond = 512 << 10
	}
	return s
}

// Sink is an io.Writer that takes one complete line per call. It is safe for
// concurrent use.
type Sink struct {
	settings Settings
	out      io.Writer
	now      func() time.Time

	mu              sync.Mutex
	buffer          []byte // lines to be written
	currentSecond   int64  // Unix time in seconds of the last line
	linesInSecond   int    // lines accepted in currentSecond
	bytesInSecond   int    // bytes accepted in currentSecond
	unreportedDrops int    // dropped lines that no write has reported yet
	closed          bool

	dropped atomic.Int64
	wake    chan struct{} // signals that the buffer has lines; closed by Close
	done    chan struct{} // closed when writeLoop has ended
}

// New returns a sink that writes to out. Close must be called to write the last
// lines.
func New(out io.Writer, settings Settings) *Sink {
	s := &Sink{settings: settings.withDefaults(), out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.writeLoop()
	return s
}

// Write adds one line to the buffer, or drops it if a limit is reached or the sink
// is closed. It does not wait for the output and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.now().Unix(); second != s.currentSecond {
		s.currentSecond, s.linesInSecond, s.bytesInSecond = second, 0, 0
	}
	if s.closed || s.linesInSecond >= s.settings.LinesPerSecond || s.bytesInSecond+len(line) > s.settings.BytesPerSecond ||
		len(s.buffer)+len(line) > s.settings.BufferBytes {
		s.unreportedDrops++
		s.dropped.Add(1)
		return len(line), nil
	}
	s.linesInSecond++
	s.bytesInSecond += len(line)
	if len(s.buffer) == 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the sink was created.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close makes later lines be dropped and waits until the buffered lines are written,
// at most for closeTimeout.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.wake)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

// writeLoop flushes the buffer whenever it has lines, until Close is called.
func (s *Sink) writeLoop() {
	defer close(s.done)
	var unusedBuffer []byte
	for range s.wake {
		time.Sleep(flushInterval)
		unusedBuffer = s.flush(unusedBuffer)
	}
	s.flush(unusedBuffer)
}

// flush writes the buffered lines and the number of unreported drops. It replaces
// the buffer by unusedBuffer and returns the old buffer for reuse.
func (s *Sink) flush(unusedBuffer []byte) []byte {
	s.mu.Lock()
	lines := s.buffer
	if s.unreportedDrops > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"event\":\"log_lines_dropped\",\"count\":%d}\n", s.unreportedDrops)
		s.unreportedDrops = 0
	}
	s.buffer = unusedBuffer[:0]
	s.mu.Unlock()
	_, _ = s.out.Write(lines) // a failure to write the log cannot be logged
	return lines
}
