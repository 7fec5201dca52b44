package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
)

// fakeQuarantine records what the gateway reports. Its first free answers of Blocked let the
// request run.
type fakeQuarantine struct {
	mu        sync.Mutex
	active    bool
	free      int
	suspect   bool
	crashes   int
	progress  int
	lastParts []string
}

func (q *fakeQuarantine) Blocked(string, []string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.free--; !q.active || q.free >= 0 {
		return 0
	}
	return time.Minute
}

func (q *fakeQuarantine) TargetCrashed(_, _ string, parts []string, _ string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes++
	q.lastParts = parts
}

func (q *fakeQuarantine) Progressed(string, []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.progress++
}

func (q *fakeQuarantine) Suspect(string, []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspect
}

func (q *fakeQuarantine) counts() (crashes, progress int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.crashes, q.progress
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a log that cannot tell a target that crashed from one that broke off a
// stream and went on.
func TestBrokenStreamTellsWhetherItsTargetCrashed(t *testing.T) {
	for name, crashes := range map[string]bool{"crashed": true, "still there": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var w *world
			w, address := newWorld(t, fleet.Streaming, func(c net.Conn) {
				_, _ = io.WriteString(c, streamHead)
				if crashes {
					w.stopTarget()
				}
			})
			_, _, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			summary := <-w.summaries
			last := summary.Trace.Steps[len(summary.Trace.Steps)-1]
			g.Expect(last.Name).To(gomega.Equal(gateway.StepFailed))
			g.Expect(last.Break).NotTo(gomega.BeNil())
			g.Expect(last.Break.Crashed).To(gomega.Equal(crashes))
		})
	}
}

// Guards against crashes that are not recognised because of what the target sent before,
// and against sound streams that do not count as progress.
func TestCrashIsReportedWhateverTheTargetSentBefore(t *testing.T) {
	for name, c := range map[string]struct {
		sent            string
		kind            fleet.Kind
		crash, progress int
	}{
		"nothing":              {"", fleet.Streaming, 1, 0},
		"half a head":          {"HTTP/1.1 20", fleet.Streaming, 1, 0},
		"no answer":            {"!!\r\n\r\n", fleet.Streaming, 1, 0},
		"a head":               {streamHead, fleet.Streaming, 1, 0},
		"half an event":        {streamHead + "4\r\nid: ", fleet.Streaming, 1, 0},
		"one event":            {streamHead + "7\r\nid: 1\n\n\r\n", fleet.Streaming, 1, 0},
		"two events":           {streamHead + "e\r\nid: 1\n\nid: 2\n\n\r\n", fleet.Streaming, 0, 1},
		"a whole stream":       {streamHead + "7\r\nid: 1\n\n\r\n0\r\n\r\n", fleet.Streaming, 0, 1},
		"half a plain answer":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", fleet.Idempotent, 1, 0},
		"a whole plain answer": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", fleet.Idempotent, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var w *world
			w, address := newWorld(t, c.kind, func(conn net.Conn) {
				w.stopTarget() // first, because the gateway may look at once
				_, _ = io.WriteString(conn, c.sent)
			})
			_, _, _ = get(g, address) // whole or cut
			<-w.summaries
			crashes, progress := w.quarantine.counts()
			g.Expect(crashes).To(gomega.Equal(c.crash))
			g.Expect(progress).To(gomega.Equal(c.progress))
		})
	}
}

// Guards against a request that reaches a target although its part is quarantined, also if
// that happened while it waited for a target.
func TestQuarantinedRequestReachesNoTarget(t *testing.T) {
	for name, c := range map[string]struct {
		kind fleet.Kind
		free int
	}{"stream": {fleet.Streaming, 0}, "during the wait": {fleet.Streaming, 2}, "plain": {fleet.Idempotent, 0}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var reached sync.Map
			w, address := newWorld(t, c.kind, func(net.Conn) { reached.Store("target", true) })
			w.quarantine.active, w.quarantine.free = true, c.free
			status, _, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
			_, found := reached.Load("target")
			g.Expect(found).To(gomega.BeFalse())
			g.Eventually(w.inFlight).Should(gomega.BeZero())
		})
	}
}

// Guards against one request that crashes a further target with each repeat.
func TestSuspectIsNotSentToAFurtherTarget(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Streaming, fleet.Idempotent} {
		for _, suspect := range []bool{false, true} {
			g := gomega.NewWithT(t)
			attempts := make(chan struct{}, 8)
			w, address := newWorld(t, kind, func(net.Conn) { attempts <- struct{}{} })
			w.route.MaxAttempts, w.route.Resumable, w.quarantine.suspect = 2, true, suspect
			status, _, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
			expected := 2
			if suspect {
				expected = 1
			}
			g.Expect(attempts).To(gomega.HaveLen(expected), "kind %s, suspect %v", kind, suspect)
		}
	}
}

// Guards against a stream that had made progress and is cut, instead of resumed, because its
// target crashed for another reason.
func TestStreamWithProgressIsResumedAlthoughItIsSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
		select {
		case <-first:
			_, _ = io.WriteString(conn, streamHead+"e\r\nid: 1\n\nid: 2\n\n\r\n")
		default:
			_, _ = io.WriteString(conn, streamHead+"7\r\nid: 3\n\n\r\n0\r\n\r\n")
		}
	})
	w.route.MaxAttempts, w.route.Resumable, w.quarantine.suspect = 2, true, true
	status, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("id: 1\n\nid: 2\n\nid: 3\n\n"))
}
