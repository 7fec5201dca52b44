// Package logsink writes log lines without ever blocking the process. Lines wait
// in a bounded buffer for a writer of their own; what does not fit is dropped and
// counted, and the count is written as soon as there is room again.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushPeriod is the time between two writes, which hold many lines each.
	flushPeriod = 100 * time.Millisecond
	// closeLimit bounds the wait for the last lines.
	closeLimit = 500 * time.Millisecond
)

// Settings bound the lines. Zero fields take the defaults.
type Settings struct {
	// Buffer is the number of bytes that wait at most, default 256 KiB.
	Buffer int
	// Lines and Bytes are the most that are taken in a second, default 2000 lines
	// and 512 KiB.
	Lines int
	Bytes int
}

func (s Settings) withDefaults() Settings {
	if s.Buffer <= 0 {
		s.Buffer = 256 << 10
	}
	if s.Lines <= 0 {
		s.Lines = 2000
	}
	if s.Bytes <= 0 {
		s.Bytes = 512 << 10
	}
	return s
}

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	settings Settings
	out      io.Writer
	now      func() time.Time

	mu      sync.Mutex
	waiting []byte
	second  int64
	lines   int
	bytes   int
	unsaid  int // dropped lines that were not reported yet
	closed  bool

	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer, settings Settings) *Sink {
	s := &Sink{settings: settings.withDefaults(), out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.now().Unix(); second != s.second {
		s.second, s.lines, s.bytes = second, 0, 0
	}
	if s.closed || s.lines >= s.settings.Lines || s.bytes+len(line) > s.settings.Bytes ||
		len(s.waiting)+len(line) > s.settings.Buffer {
		s.unsaid++
		s.dropped.Add(1)
		return len(line), nil
	}
	s.lines++
	s.bytes += len(line)
	if len(s.waiting) == 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.waiting = append(s.waiting, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits, for a bounded time.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.wake)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeLimit):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	for range s.wake {
		time.Sleep(flushPeriod)
		spare = s.flush(spare)
	}
	s.flush(spare)
}

// flush writes what waits and returns a buffer to use again.
func (s *Sink) flush(spare []byte) []byte {
	s.mu.Lock()
	lines := s.waiting
	if s.unsaid > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"event\":\"log_lines_dropped\",\"count\":%d}\n", s.unsaid)
		s.unsaid = 0
	}
	s.waiting = spare[:0]
	s.mu.Unlock()
	_, _ = s.out.Write(lines) // there is nowhere to report a failure of the log
	return lines
}
