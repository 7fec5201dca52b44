package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// unframedHead begins an answer with neither a length nor chunks, which ends with its
// connection.
const unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

// Guards against a stream without length and chunks that is broken off and looks complete,
// and against a whole one that is taken for broken.
func TestUnframedStreamsAreCompleteOnlyIfTheyEndWhole(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		sent  string
		end   func(w *world, c net.Conn)
		whole bool
	}{
		"whole":                           {event1 + event2, nil, true},
		"ends inside an event":            {event1 + "id: 2\nda", nil, false},
		"ends inside the first event":     {"id: 1\nda", nil, false},
		"no event":                        {"", nil, false},
		"reset between events":            {event1, func(_ *world, c net.Conn) { reset(c) }, false},
		"the target ends between events":  {event1, func(w *world, _ net.Conn) { w.stopTarget() }, false},
		"the target ends before an event": {"", func(w *world, _ net.Conn) { w.stopTarget() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var w *world
			w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
				_, _ = io.WriteString(conn, unframedHead+c.sent)
				if c.end != nil {
					c.end(w, conn)
				}
			})
			status, body, err := get(g, address)
			g.Expect(err == nil && status == http.StatusOK).To(gomega.Equal(c.whole), "status %d, body %q, error %v", status, body, err)
			_, progress := w.quarantine.counts()
			if c.whole {
				g.Expect(body).To(gomega.Equal(event1 + event2))
			} else {
				g.Expect(progress).To(gomega.BeZero(), "a broken stream counts as progress")
			}
			g.Eventually(w.inFlight).Should(gomega.BeZero())
		})
	}
}

// Guards against a broken stream that is not continued because it seems to be complete.
func TestUnframedStreamIsResumedAfterItsTargetEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
		select {
		case <-first:
			_, _ = io.WriteString(conn, unframedHead+"id: 1\ndata: a\n\nid: 2")
		default:
			_, _ = io.WriteString(conn, unframedHead+"id: 2\ndata: b\n\n")
		}
	})
	w.route.Resumable, w.route.MaxAttempts = true, 2
	status, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
}

// Guards against a plain answer without a length that lost its end with its target.
func TestUnframedAnswerThatEndsWithItsTargetIsNotWhole(t *testing.T) {
	for _, ends := range []bool{false, true} {
		g := gomega.NewWithT(t)
		var w *world
		w, address := newWorld(t, fleet.NonIdempotent, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nan answer")
			if ends {
				w.stopTarget()
			}
		})
		status, body, err := get(g, address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if ends {
			g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
			continue
		}
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.Equal("an answer"))
	}
}

// Guards against an answer without a body that is taken for one that lost its body with its
// target.
func TestAnswerWithoutABodyIsWholeAlthoughItsTargetEnds(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.NonIdempotent, fleet.Streaming} {
		g := gomega.NewWithT(t)
		var w *world
		w, address := newWorld(t, kind, func(conn net.Conn) {
			w.stopTarget()
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\nX-Request-Id: q1\r\n\r\n")
		})
		status, body, err := get(g, address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusNoContent))
		g.Expect(body).To(gomega.BeEmpty())
	}
}
