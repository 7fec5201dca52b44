package edgetest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
)

// Guards against a request that reaches its target changed, and against fields
// that only this system may set.
func TestRequestsReachTheirTargetUnchanged(t *testing.T) {
	c := start(t, 3)
	for i, v := range c.vms {
		header := http.Header{
			"X-Custom": {"kept"}, "X-Hold": {"h"}, "X-Pin-Ms": {"9"}, "Kv-From": {"x"}, "X-Kv-Backup": {"x"}, "Kv-Fetch": {"x"},
			"X-Request-Priority": {"0"}, "X-Expect-Version": {"77"}, "X-Expect-Instance": {"other"},
		}
		a := c.ask(v, request{path: quote + "x/y?page=7&sort=new", body: strings.Repeat("b", 20000), adapter: "a1", header: header})
		c.g.Expect(a.status).To(gomega.Equal(http.StatusOK), "VM %d", i)
		c.g.Expect(a.body).To(gomega.Equal(stream(a.id)))
		c.g.Expect(a.header.Get("X-Server-Stamp")).NotTo(gomega.BeEmpty())
		runs := c.runs(a.id)
		c.g.Expect(runs).To(gomega.HaveLen(1))
		c.g.Expect(runs[0].URI).To(gomega.Equal(quote + "x/y?page=7&sort=new"))
		c.g.Expect(runs[0].Body).To(gomega.HaveLen(20000))
		c.g.Expect(runs[0].Header.Get("X-Custom")).To(gomega.Equal("kept"))
		c.g.Expect(runs[0].Header.Get("X-Model")).To(gomega.Equal(model + "/a1"))
		for _, name := range []string{"X-Hold", "X-Pin-Ms", "Kv-From", "X-Kv-Backup", "Kv-Fetch", "X-Expect-Version"} {
			c.g.Expect(runs[0].Header.Get(name)).To(gomega.BeEmpty(), name)
		}
		b := c.ask(v, request{method: http.MethodGet, path: lookup + "z"})
		c.g.Expect(b.body).To(gomega.Equal(engine.Answer(b.id)))
		c.g.Expect(c.ask(v, request{path: "/none/"}).status).To(gomega.Equal(http.StatusNotFound))
	}
}

// Guards against a request that is hidden in another.
func TestHiddenRequestsAreNotRun(t *testing.T) {
	c := start(t, 1)
	hidden := "POST " + booking + "x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	head := "POST " + booking + "x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: outer\r\n"
	for name, text := range map[string]string{
		"length and coding": head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(hidden)+5) + hidden,
		"two lengths":       head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden,
		"coding twice":      head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
		"space in the name": head + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(hidden)) + hidden,
		"line feeds":        strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 0\n\n" + hidden,
	} {
		lines, err := raw(c.vms[0], text)
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, line := range lines {
			c.g.Expect(line).To(gomega.HavePrefix("400"), name)
		}
		c.g.Expect(c.runs("hidden")).To(gomega.BeEmpty(), name)
	}
}

// Guards against a booking that runs twice, and against the promise that it did
// not run when it may have.
func TestBookingsRunAtMostOnce(t *testing.T) {
	c := start(t, 1)
	for _, fault := range []engine.Fault{
		engine.Reset, engine.Mute, engine.Cut, engine.Unsigned, engine.Foreign, engine.Garbage, engine.Failing,
	} {
		for _, target := range c.apps {
			target.SetFault(fault, -1)
		}
		a := c.ask(c.vms[0], request{path: booking + "x", body: "zip", deadline: 700 * time.Millisecond})
		c.g.Expect(a.status).NotTo(gomega.BeElementOf(408, 421, 429, 503, 200), string(fault))
		c.g.Expect(c.runs(a.id)).To(gomega.HaveLen(1), string(fault))
	}
	for _, target := range c.apps {
		target.SetFault(engine.None, 0)
	}
	c.apps[0].SetFault(engine.Full, -1)
	a := c.ask(c.vms[0], request{path: booking + "x", body: "zip"})
	c.g.Expect(a.status).To(gomega.Equal(http.StatusOK), "a refusal lets another target run it")
	c.g.Expect(c.runs(a.id)).To(gomega.HaveLen(1))
	for _, target := range c.apps {
		target.SetFault(engine.Full, -1)
	}
	a = c.ask(c.vms[0], request{path: booking + "x", body: "zip"})
	c.g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	c.g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	c.g.Expect(c.runs(a.id)).To(gomega.BeEmpty())
}

// Guards against a lookup that fails though another target can serve it, and
// against an answer that is spoilt and passed on.
func TestLookupsAreRepeatedAfterAnyFailure(t *testing.T) {
	for _, fault := range []engine.Fault{
		engine.Reset, engine.Cut, engine.Unsigned, engine.Foreign, engine.Garbage, engine.Failing, engine.Full, engine.Mute,
	} {
		t.Run(string(fault), func(t *testing.T) {
			c := start(t, 1)
			c.apps[0].SetFault(fault, -1)
			for range 4 {
				a := c.ask(c.vms[0], request{method: http.MethodGet, path: lookup + "x"})
				c.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
				c.g.Expect(a.body).To(gomega.Equal(engine.Answer(a.id)))
				c.g.Expect(len(c.runs(a.id))).To(gomega.BeNumerically("<=", 2), "targets that may run one request")
			}
		})
	}
}

// Guards against bytes behind an answer that are taken for the next one.
func TestExtraAnswersAreDropped(t *testing.T) {
	c := start(t, 1)
	for _, target := range c.apps {
		target.SetFault(engine.Extra, -1)
	}
	for range 5 {
		a := c.ask(c.vms[0], request{path: booking + "x"})
		c.g.Expect(a.body).To(gomega.Equal(engine.Answer(a.id)))
	}
}

// Guards against an earlier refusal that a target writes once more, before its answer: the
// request is refused as not run, or runs at a second target.
func TestRepeatedRefusalsOfOtherRequestsAreDropped(t *testing.T) {
	c := start(t, 1)
	for _, target := range append(append([]*engine.Target{}, c.apps...), c.engines...) {
		target.SetFault(engine.Repeated, -1)
	}
	for range 3 {
		for _, path := range []string{booking, lookup} {
			a := c.ask(c.vms[0], request{path: path + "x"})
			c.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
			c.g.Expect(a.body).To(gomega.Equal(engine.Answer(a.id)))
			c.g.Expect(c.runs(a.id)).To(gomega.HaveLen(1))
		}
		for _, path := range []string{notes, quote} {
			a := c.ask(c.vms[0], request{path: path + "x", adapter: "a1"})
			c.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
			c.g.Expect(a.body).To(gomega.Equal(stream(a.id)))
			c.g.Expect(c.runs(a.id)).To(gomega.HaveLen(1))
		}
	}
}

// Guards against a stream whose events are lost, doubled or mixed when its target
// breaks off, and against a broken stream that looks complete.
func TestStreamsAreResumedWhole(t *testing.T) {
	c := start(t, 1)
	for _, target := range c.engines {
		target.SetFault(engine.Cut, 1)
	}
	c.engines[1].SetFault(engine.None, 0)
	c.engines[2].SetFault(engine.None, 0)
	for range 6 {
		a := c.ask(c.vms[0], request{path: quote + "x", adapter: "a1"})
		c.g.Expect(a.err).NotTo(gomega.HaveOccurred())
		c.g.Expect(a.body).To(gomega.Equal(stream(a.id)))
	}
	for _, target := range c.engines {
		target.SetFault(engine.Cut, -1)
	}
	a := c.ask(c.vms[0], request{path: notes + "x", adapter: "a1"})
	c.g.Expect(a.err).To(gomega.HaveOccurred(), "a broken stream must not look complete")
	c.g.Expect(c.runs(a.id)).To(gomega.HaveLen(1))
	c.g.Expect(stream(a.id)).To(gomega.HavePrefix(a.body))
}

// Guards against a stream that breaks off and looks complete because the target
// that was to continue it failed.
func TestAStreamWhoseContinuationFailsDoesNotLookComplete(t *testing.T) {
	c := start(t, 1)
	for _, target := range c.engines {
		target.SetFault(engine.Failing, -1)
	}
	c.engines[0].SetFault(engine.Cut, -1)
	cut := 0
	for i := range 12 {
		a := c.ask(c.vms[0], request{path: quote + "x", adapter: fmt.Sprintf("a%d", i)})
		if a.status != http.StatusOK {
			continue
		}
		cut++
		c.g.Expect(a.err).To(gomega.HaveOccurred())
		c.g.Expect(stream(a.id)).To(gomega.HavePrefix(a.body))
	}
	c.g.Expect(cut).To(gomega.BeNumerically(">", 0), "no stream broke off")
}

// Guards against work for callers that have left.
func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	c := start(t, 1)
	for _, target := range c.apps {
		target.SetFault(engine.Mute, -1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan answer)
	go func() { done <- c.send(ctx, c.vms[0], request{path: booking + "x", id: "left"}) }()
	c.g.Eventually(func() int { return len(c.runs("left")) }).WithTimeout(limit).Should(gomega.Equal(1))
	cancel()
	<-done
	c.g.Eventually(func() bool { return c.runs("left")[0].Dropped }).WithTimeout(limit).Should(gomega.BeTrue())
}

// Guards against a request that is held longer than its route allows.
func TestTheRouteTimeoutIsKept(t *testing.T) {
	c := start(t, 1)
	for _, target := range c.apps {
		target.SetFault(engine.Mute, -1)
	}
	a := c.ask(c.vms[0], request{path: booking + "x", deadline: 10 * time.Second})
	c.g.Expect(a.status).To(gomega.Equal(http.StatusGatewayTimeout))
	c.g.Expect(a.took).To(gomega.BeNumerically("~", 1500*time.Millisecond, 500*time.Millisecond))
}

// Guards against adapters over the places of an engine while orders are lost, and
// against adapters that are never served.
func TestEnginesAreNotOrderedOverTheirPlaces(t *testing.T) {
	c := start(t, 3)
	for _, target := range c.engines {
		target.LoseOrders(3)
	}
	var wait sync.WaitGroup
	var served sync.Map
	for i := range 60 {
		wait.Go(func() {
			a := c.ask(c.vms[i%3], request{path: quote + "x", adapter: fmt.Sprintf("a%d", i%20)})
			if a.status == http.StatusOK && a.body == stream(a.id) {
				served.Store(i%20, true)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	wait.Wait()
	count := 0
	served.Range(func(any, any) bool { count++; return true })
	c.g.Expect(count).To(gomega.Equal(20))
	for _, target := range c.engines {
		c.g.Expect(target.Overfull()).To(gomega.BeFalse())
	}
}

// Guards against an idle limit of the configuration that does not apply, also to connections
// that are open when it changes: callers reuse them shortly before its end.
func TestIdleLimitOfTheConfigurationInForceApplies(t *testing.T) {
	const short, long = 1500, 15000
	c := start(t, 1)
	changeTo := func(idleMs int) {
		c.idleMs = idleMs
		c.configure()
		c.g.Eventually(c.logs.text).WithTimeout(limit).Should(gomega.ContainSubstring(fmt.Sprintf("\"event\":\"config_in_force\",\"config\":%d,", c.version)))
	}
	changeTo(short)
	open := func() net.Conn {
		conn, err := net.Dial("tcp", c.vms[0].daemon.CallerAddress())
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	began := time.Now()
	conn := open()
	_ = conn.SetReadDeadline(began.Add(long * time.Millisecond / 2))
	_, err := conn.Read(make([]byte, 1))
	c.g.Expect(err).To(gomega.MatchError(io.EOF), "the connection is not closed at the idle limit")
	c.g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", short*time.Millisecond))

	conn = open()
	changeTo(long)
	_ = conn.SetReadDeadline(time.Now().Add(2 * short * time.Millisecond))
	_, err = conn.Read(make([]byte, 1))
	c.g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded), "the connection is closed at the earlier limit")
	_ = conn.SetReadDeadline(time.Time{})
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: reuse\r\nContent-Length: 0\r\n\r\n", booking, host)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	c.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
}
