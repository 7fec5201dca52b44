package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
)

const (
	// silence is how long a sound target sends nothing. It is longer than a stream waits
	// before another target is sought, and shorter than the callers of these tests wait.
	silence = 3 * time.Second
	// overlapBound is the time for which two targets may work on one request.
	overlapBound = 400 * time.Millisecond

	chunk1, chunk2, chunk3 = "7\r\nid: 1\n\n\r\n", "7\r\nid: 2\n\n\r\n", "7\r\nid: 3\n\n\r\n"
	wholeStream            = "id: 1\n\nid: 2\n\nid: 3\n\n"
	refusal                = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// targets answers the first request with first, and all later ones with second.
func targets(first, second func(net.Conn)) func(net.Conn) {
	var requests atomic.Int64
	return func(c net.Conn) {
		if requests.Add(1) == 1 {
			first(c)
			return
		}
		second(c)
	}
}

func writes(parts ...string) func(net.Conn) {
	return func(c net.Conn) {
		for _, part := range parts {
			_, _ = io.WriteString(c, part)
		}
	}
}

// silentThenWhole begins a stream, is silent for a while, and goes on to the end.
func silentThenWhole(c net.Conn) {
	writes(streamHead, chunk1, chunk2)(c)
	time.Sleep(silence)
	writes(chunk3, lastChunk)(c)
}

// lateThenWhole sends nothing for a while, and then a whole stream.
func lateThenWhole(c net.Conn) {
	time.Sleep(silence)
	writes(streamHead, chunk1, chunk2, chunk3, lastChunk)(c)
}

func refuseAfterFirst(placement int) *errs.Error {
	if placement == 1 {
		return nil
	}
	return errs.NotRun(errs.Overloaded, "no place").WithRetry(time.Second)
}

// Guards against a stream that is cut, or a request that fails, because its sound target was
// silent for some seconds and no other target could take the request.
func TestRequestStaysAtASilentTargetUntilAnotherTakesIt(t *testing.T) {
	for name, first := range map[string]func(net.Conn){"begun": silentThenWhole, "before the first event": lateThenWhole} {
		for why, c := range map[string]struct {
			acquire   func(int) *errs.Error
			noRetries bool
			second    func(net.Conn)
		}{
			"the placement refuses":          {acquire: refuseAfterFirst, second: writes(streamHead)},
			"no retry is left":               {noRetries: true, second: writes(streamHead)},
			"the other target refuses":       {second: writes(refusal)},
			"the other target closes":        {second: func(net.Conn) {}},
			"the other target has no stream": {second: writes("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno")},
		} {
			t.Run(name+", "+why, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				w, address := newWorld(t, fleet.Streaming, targets(first, c.second))
				w.route.Resumable, w.route.MaxAttempts, w.estimate = true, 3, time.Millisecond
				w.acquire, w.noRetries = c.acquire, c.noRetries
				status, body, err := get(g, address)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusOK))
				g.Expect(body).To(gomega.Equal(wholeStream))
			})
		}
	}
}

// Guards against two targets that work on one request for longer than allowed, and against a
// stream that stays at a target that has ended without a word.
func TestSilentTargetIsLeftOnceAnotherHasTheRequest(t *testing.T) {
	for name, c := range map[string]struct{ first, second string }{
		"begun, continued at once":         {streamHead + chunk1, streamHead + chunk2 + chunk3 + lastChunk},
		"begun, nothing yet":               {streamHead + chunk1, ""},
		"before the first event, at once":  {"", streamHead + chunk1 + chunk2 + chunk3 + lastChunk},
		"before the first event, no event": {"", streamHead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			sent, closed := make(chan time.Time, 1), make(chan time.Time, 1)
			w, address := newWorld(t, fleet.Streaming, targets(func(conn net.Conn) {
				writes(c.first)(conn)
				_, _ = conn.Read(make([]byte, 1)) // until the gateway closes
				closed <- time.Now()
			}, func(conn net.Conn) {
				sent <- time.Now()
				writes(c.second)(conn)
				if len(c.second) <= len(streamHead) {
					_, _ = conn.Read(make([]byte, 1))
				}
			}))
			w.route.Resumable, w.route.MaxAttempts, w.estimate = true, 2, time.Millisecond
			_, body, err := get(g, address)
			if len(c.second) > len(streamHead) {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.Equal(wholeStream))
			}
			g.Expect((<-closed).Sub(<-sent)).To(gomega.BeNumerically("<", overlapBound))
		})
	}
}

// Guards against a request that goes on at two targets after the first one has delivered the
// event that was late.
func TestLateEventEndsTheAttemptAtTheOtherTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	opened, closed := make(chan struct{}, 1), make(chan struct{}, 1)
	w, address := newWorld(t, fleet.Streaming, targets(func(conn net.Conn) {
		writes(streamHead, chunk1, chunk2)(conn)
		<-opened
		writes(chunk3)(conn)
		<-closed
		writes(lastChunk)(conn)
	}, func(conn net.Conn) {
		opened <- struct{}{}
		_, _ = conn.Read(make([]byte, 1))
		closed <- struct{}{}
	}))
	w.route.Resumable, w.route.MaxAttempts = true, 2
	_, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal(wholeStream))
}

// Guards against a begun stream that is cut because the first answer of the placement after
// the end of its target is a refusal, although there is time to ask again.
func TestBrokenStreamWaitsForAPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Streaming, targets(writes(streamHead, chunk1, chunk2), writes(streamHead, chunk3, lastChunk)))
	w.route.Resumable, w.route.MaxAttempts = true, 2
	w.acquire = func(placement int) *errs.Error {
		if placement == 2 || placement == 3 {
			return errs.NotRun(errs.Overloaded, "no place").WithRetry(time.Second)
		}
		return nil
	}
	_, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal(wholeStream))
}

// Guards against a retry that is kept from other requests by one that is refused a place and
// waits until it may ask again.
func TestWaitForAPlaceHoldsNoRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Streaming, targets(writes(streamHead, chunk1, chunk2), writes(streamHead, chunk3, lastChunk)))
	w.route.Resumable, w.route.MaxAttempts = true, 2
	waiting := make(chan struct{})
	w.acquire = func(placement int) *errs.Error {
		if placement == 2 {
			close(waiting)
			return errs.NotRun(errs.Overloaded, "no place").WithRetry(time.Second)
		}
		return nil
	}
	taken := make(chan int, 1)
	go func() {
		<-waiting
		time.Sleep(500 * time.Millisecond)
		taken <- w.taken()
	}()
	_, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal(wholeStream))
	g.Expect(<-taken).To(gomega.BeZero())
	g.Expect(w.taken()).To(gomega.Equal(1))
}
