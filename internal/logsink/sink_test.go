package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// blockedWriter is a writer whose Write blocks until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// Guards against a process that blocks because the reader of its log does not read.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	out := blockedWriter{make(chan struct{})}
	defer close(out.unblock)
	s := New(out, Settings{BufferBytes: 1000})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range 10_000 {
			_, _ = s.Write([]byte("a line of the log\n"))
		}
		s.Close()
	}()
	g.Eventually(finished).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
	g.Expect(s.Dropped()).To(gomega.BeNumerically(">", 9000))
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against more lines per second than the limit, and against dropped lines that
// are not reported in the log.
func TestLinesPerSecondAreLimitedAndDropsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &lockedBuffer{}
	s := New(out, Settings{LinesPerSecond: 10})
	s.now = func() time.Time { return time.Unix(100, 0) }
	for range 25 {
		_, _ = s.Write([]byte("x\n"))
	}
	s.Close()
	g.Expect(strings.Count(out.String(), "x\n")).To(gomega.Equal(10))
	g.Expect(out.String()).To(gomega.ContainSubstring(`"event":"log_lines_dropped","count":15`))
}
