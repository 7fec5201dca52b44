package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// stuck is a writer that never returns until it is freed.
type stuck struct{ free chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.free
	return len(p), nil
}

// Guards against a process that waits for whoever reads its log.
func TestAStuckReaderBlocksNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	out := stuck{make(chan struct{})}
	defer close(out.free)
	s := New(out, Settings{Buffer: 1000})
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

// lockedBuffer is a buffer that two goroutines use.
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

// Guards against a volume beyond the bound, and against drops that nobody sees.
func TestLinesAreBoundedAndDropsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &lockedBuffer{}
	s := New(out, Settings{Lines: 10})
	s.now = func() time.Time { return time.Unix(100, 0) }
	for range 25 {
		_, _ = s.Write([]byte("x\n"))
	}
	s.Close()
	g.Expect(strings.Count(out.String(), "x\n")).To(gomega.Equal(10))
	g.Expect(out.String()).To(gomega.ContainSubstring(`"event":"log_lines_dropped","count":15`))
}
