package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// Guards against a repeatable request that stays at a silent target until its deadline: its
// only hedge went to a second silent target, or was denied once.
func TestSlowRequestIsHedgedAgain(t *testing.T) {
	answers := writes(plainAnswer)
	for name, c := range map[string]struct {
		targets func(net.Conn)
		denied  int // retries denied at first
		absent  int // times that no target can be picked, after the first target
	}{
		"two silent targets":          {targets: inTurn(mute(), mute(), answers)},
		"the budget was used up":      {targets: inTurn(mute(), answers), denied: 2},
		"no target could be picked":   {targets: inTurn(mute(), answers), absent: 2},
		"a silent target and refusal": {targets: inTurn(mute(), writes(refusal), answers), denied: 1},
		"another request's refusal":   {targets: inTurn(mute(), writes(foreignRefusal, ownPlainAnswer))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Idempotent, c.targets)
			w.route.MaxAttempts, w.latency = 3, time.Millisecond
			w.takeRetry = func() bool { c.denied--; return c.denied < 0 }
			w.pick = func(exclude []string) bool {
				if len(exclude) == 0 {
					return true
				}
				c.absent--
				return c.absent < 0
			}
			began := time.Now()
			status, body, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(body).To(gomega.Equal("ok"))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}

// Guards against retries that are taken from the budget and that no target receives, so that
// other requests find none.
func TestRetryThatNoTargetReceivesIsReturned(t *testing.T) {
	failed := writes("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno")
	for name, c := range map[string]struct {
		target     func(net.Conn)
		pick       func(exclude []string) bool
		stopTarget bool // after the first connection
		retries    int
	}{
		"retry, no target can be picked":  {target: failed, pick: func(exclude []string) bool { return len(exclude) == 0 }},
		"hedges, no target can be picked": {target: func(c net.Conn) { time.Sleep(400 * time.Millisecond); failed(c) }, pick: func(exclude []string) bool { return len(exclude) == 0 }},
		"no connection":                   {target: failed, stopTarget: true},
		"a refusal, then no connection":   {target: writes(refusal), stopTarget: true},
		"sent":                            {target: failed, retries: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var w *world
			w, address := newWorld(t, fleet.Idempotent, func(conn net.Conn) {
				if c.stopTarget {
					w.stopTarget()
				}
				c.target(conn)
			})
			w.route.MaxAttempts, w.latency, w.pick = 3, time.Millisecond, c.pick
			_, _, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.taken()).To(gomega.Equal(c.retries))
		})
	}
}

// Guards against a target's whole answer that is replaced by an error at the deadline, because
// a further target was tried after it and sent nothing.
func TestServerErrorIsPassedOnAtTheDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Idempotent, writes("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"))
	w.route.MaxAttempts = 2
	var dials atomic.Int64
	ended := make(chan struct{})
	defer close(ended)
	w.dial = func() {
		if dials.Add(1) == 2 {
			<-ended
		}
	}
	status, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(body).To(gomega.Equal("no"))
}

// Guards against a request that may crash targets and is hedged, so that it reaches one
// target more.
func TestSuspectIsNotHedged(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Idempotent, func(c net.Conn) {
		time.Sleep(500 * time.Millisecond)
		writes(plainAnswer)(c)
	})
	w.route.MaxAttempts, w.latency, w.quarantine.suspect = 3, time.Millisecond, true
	status, _, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(w.taken()).To(gomega.BeZero())
}

// Guards against an attempt whose connection opens only when the request has been answered:
// its body was that of the next request on the caller's connection.
func TestLateAttemptDoesNotSendTheBodyOfTheNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	const bytes = 1 << 10
	bodies := make(chan byte, 8)
	w, address := newWorld(t, fleet.Idempotent, nil)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = target.Close() }()
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if body, err := io.ReadAll(r.Body); err == nil {
					bodies <- body[0]
					writes(plainAnswer)(c)
				}
			}()
		}
	}()
	w.target = target.Addr().String()
	var dials atomic.Int64
	answered, late := make(chan struct{}), make(chan struct{})
	w.route.MaxAttempts, w.latency = 2, time.Millisecond
	w.dial = func() {
		if dials.Add(1) == 1 {
			<-answered
			time.AfterFunc(100*time.Millisecond, func() { close(late) })
		}
	}
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	for _, request := range []string{"qa", "qb"} {
		_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", request, bytes, strings.Repeat(request[1:], bytes))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp, err := http.ReadResponse(answers, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	close(answered)
	<-late
	received := map[byte]int{}
	for len(bodies) > 0 {
		received[<-bodies]++
	}
	g.Expect(received).To(gomega.Equal(map[byte]int{'a': 1, 'b': 1}))
}

// Guards against a retry that stays taken from the budget because the request ends, with an
// answer or because its caller leaves, while the attempt still connects.
func TestRetryThatIsConnectingAtTheEndIsReturned(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		g := gomega.NewWithT(t)
		hedging, ended := make(chan struct{}), make(chan struct{})
		w, address := newWorld(t, fleet.Idempotent, func(c net.Conn) {
			<-hedging
			if leaves {
				_, _ = c.Read(make([]byte, 1)) // until the gateway closes
				return
			}
			writes(plainAnswer)(c)
		})
		var dials atomic.Int64
		w.route.MaxAttempts, w.latency = 2, time.Millisecond
		w.dial = func() {
			if dials.Add(1) == 2 {
				close(hedging)
				<-ended
			}
		}
		conn := connect(t, address, 0, callerRequest+"\r\n")
		<-hedging
		if leaves {
			g.Expect(conn.Close()).To(gomega.Succeed())
		}
		<-w.summaries
		close(ended)
		g.Eventually(w.taken).Should(gomega.BeZero(), "caller leaves: %v", leaves)
	}
}
