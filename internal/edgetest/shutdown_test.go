package edgetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// longWork is the time that slow targets take, longer than any grace period here.
const longWork = 25 * time.Second

// slowTargets makes all targets work on each request for longWork.
func slowTargets(c *cluster) {
	for _, t := range append(c.engines, c.apps...) {
		t.Settings.Pause = longWork
	}
	c.configure(
		route("slow-quote", "/slow-quote/", "streaming", llm, 2, true, 20000), route("slow-notes", "/slow-notes/", "streaming", llm, 1, false, 20000),
		route("slow-booking", "/slow-booking/", "non_idempotent", app, 1, false, 20000), route("slow-lookup", "/slow-lookup/", "idempotent", app, 2, false, 20000),
	)
}

// slowPaths are the routes of slowTargets.
var slowPaths = []string{"/slow-quote/", "/slow-notes/", "/slow-booking/", "/slow-lookup/"}

// Guards against requests that are passed on during a planned stop and cut without an answer
// at the end of its grace period, although they may not be repeated.
func TestRequestsOfAPlannedStopAreAnsweredBeforeItsEnd(t *testing.T) {
	for name, grace := range map[string]time.Duration{"usual grace": shutdownGrace, "short grace": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 1, slowTargets, func(c *cluster) { c.grace = grace })
			v := c.vms[0]
			close(v.stop)
			began := time.Now()
			var wait sync.WaitGroup
			answers := make(chan answer, 3*len(slowPaths))
			for range 3 {
				for i, path := range slowPaths {
					wait.Go(func() {
						answers <- c.ask(v, request{path: path + "x", adapter: fmt.Sprintf("a%d", i), deadline: 20 * time.Second})
					})
				}
				time.Sleep(grace / 10)
			}
			c.g.Eventually(v.done).WithTimeout(limit).Should(gomega.BeClosed())
			c.g.Expect(time.Since(began)).To(gomega.BeNumerically("<", grace))
			c.g.Eventually(answers).WithTimeout(time.Second).Should(gomega.HaveLen(cap(answers)), "not all are answered when the process ends")
			for range cap(answers) {
				a := <-answers
				c.g.Expect(a.err).NotTo(gomega.HaveOccurred())
				if len(c.runs(a.id)) > 0 {
					c.g.Expect(a.status).To(gomega.Equal(http.StatusBadGateway))
				} else {
					c.g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
				}
			}
			wait.Wait()
			c.g.Expect(c.logs.text()).To(gomega.MatchRegexp(`"event":"stopped","count":0,`))
		})
	}
}

// Guards against requests that come late in the grace period of a planned stop on a connection
// that their caller keeps using, and that are passed on although they may outlast the process.
func TestLateRequestsOfAPlannedStopAreRefused(t *testing.T) {
	c := start(t, 1, slowTargets)
	v := c.vms[0]
	type late struct {
		conn     net.Conn
		id, rest string
	}
	var requests []late
	close(v.stop)
	time.Sleep(2500 * time.Millisecond)
	for i, path := range slowPaths {
		conn, err := net.Dial("tcp", v.daemon.CallerAddress())
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }()
		id := fmt.Sprintf("late-%d", i)
		_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\n", path, host, id)
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		requests = append(requests, late{conn, id, fmt.Sprintf("X-Model: %s/a%d\r\nX-Token-Usage: 900,40\r\nX-Prompt-Prefix: aa:500,%s:400\r\nContent-Length: 0\r\n\r\n", model, i, id)})
	}
	time.Sleep(2 * time.Second)
	for _, r := range requests {
		_, err := io.WriteString(r.conn, r.rest)
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = r.conn.SetReadDeadline(time.Now().Add(limit))
		resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		c.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		c.g.Expect(resp.Close).To(gomega.BeTrue())
		_, err = io.Copy(io.Discard, resp.Body)
		c.g.Expect(err).NotTo(gomega.HaveOccurred())
		c.g.Expect(c.runs(r.id)).To(gomega.BeEmpty())
	}
	c.g.Eventually(v.done).WithTimeout(limit).Should(gomega.BeClosed())
}
