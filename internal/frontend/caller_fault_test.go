package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/standin/service"
)

// dial opens a connection to the front end as a caller and writes text to it.
func (f *fixture) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", f.address)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, err = conn.Write([]byte(text))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// rawPost returns the bytes of an authenticated HTTP request.
func rawPost(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer zips\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against a request that keeps running, and a permit that stays held, after
// the caller has disconnected.
func TestCallerGone(t *testing.T) {
	for _, stream := range []bool{false, true} {
		f := newFixture(t, nil)
		f.runners[0].SetFaults(runner.Faults{SlowFactor: 1e6})
		conn := f.dial(rawPost("/v1/completions", completionBody("hem", 5, stream)))
		f.Eventually(func() int { return len(f.runners[0].State().Running) }).Should(gomega.Equal(1))
		f.Expect(conn.Close()).To(gomega.Succeed())
		f.Eventually(f.permits.outcomes, "5s").Should(gomega.Equal([]core.Outcome{core.OutcomeCancelled}))
		f.Expect(f.runners[0].State().Running).To(gomega.BeEmpty())
		f.Eventually(f.server.InFlight).Should(gomega.BeZero())
	}
}

// Guards against an answer that its caller gets only with that to the next request, which the
// caller has sent before.
func TestAnswerDoesNotWaitForTheNextRequest(t *testing.T) {
	f := newFixture(t, func(l *serverLimits) { l.ReadTimeout, l.Deadline = time.Minute, time.Minute })
	next := rawPost("/v1/completions", completionBody("hem", 5, false))
	conn := f.dial("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" + next[:len(next)-1])
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	answers := bufio.NewReader(conn)
	for _, rest := range []string{next[len(next)-1:], ""} {
		resp, err := http.ReadResponse(answers, nil)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		_, err = io.Copy(io.Discard, resp.Body)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(conn, rest)
		f.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// Guards against a caller that occupies a target or memory because it does not read.
// The size limit of the buffer and the write timeout must each suffice alone.
func TestSlowCallerIsBounded(t *testing.T) {
	for name, change := range map[string]func(*serverLimits){
		"bytes": func(l *serverLimits) { l.CallerBufferBytes, l.WriteStallTimeout = 4<<10, time.Hour },
		"time":  func(l *serverLimits) { l.CallerBufferBytes, l.WriteStallTimeout = 60<<20, 300*time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(l *serverLimits) { l.Deadline = time.Minute; change(l) })
			f.dial(rawPost("/v1/completions", completionBody("hem", 16000, true)))
			f.Eventually(f.permits.outcomes, "30s").Should(gomega.Equal([]core.Outcome{core.OutcomeCancelled}))
		})
	}
}

// Guards against an at-most-once call whose outcome is lost when its caller
// disconnects.
func TestOutcomeIsStoredAfterCallerDisconnects(t *testing.T) {
	f := newFixture(t, nil)
	f.Expect(f.service.SetFaults(service.Faults{LateMS: 100})).To(gomega.Succeed())
	request := rawPost("/v1/services/repair", "sew")
	conn := f.dial(request[:len("POST /v1/services/repair HTTP/1.1\r\n")] + "Idempotency-Key: k1\r\n" + request[len("POST /v1/services/repair HTTP/1.1\r\n"):])
	f.Eventually(func() int { return len(f.service.Calls()) }).Should(gomega.Equal(1))
	f.Expect(conn.Close()).To(gomega.Succeed())
	f.Eventually(func() int { return f.callRepair("k1", "sew").status }).Should(gomega.Equal(200))
	f.Expect(f.service.Calls()).To(gomega.HaveLen(1))
}

// Guards against a drain that aborts requests in flight or accepts new ones.
func TestDrain(t *testing.T) {
	f := newFixture(t, nil)
	f.runners[0].SetFaults(runner.Faults{SlowFactor: 20})
	answered := make(chan callerResponse, 2)
	for _, stream := range []bool{false, true} {
		go func() { answered <- f.postCompletion("hem", 15, stream) }()
	}
	f.Eventually(func() int { return len(f.runners[0].State().Running) }).Should(gomega.Equal(2))
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(context.Background()) }()
	f.Eventually(func() int { return f.sendRequest("GET", "/readyz", "").status }).Should(gomega.Equal(503))
	response := f.postCompletion("hem", 1, false)
	f.Expect(response.failure).To(gomega.Equal(errs.Draining), response.raw)
	f.Expect(response.ran).To(gomega.Equal(errs.RanNo))
	for range 2 {
		f.Eventually(answered, "10s").Should(gomega.Receive(&response))
		f.Expect(response.text).To(gomega.Equal(expectedAnswer("hem", 15)), response.raw)
		f.Expect(response.finished).To(gomega.BeTrue())
	}
	f.Eventually(drained, "10s").Should(gomega.Receive(gomega.BeNil()))
}

// Guards against an answer on a connection without a request, which would be taken for the
// answer to the next one.
func TestConnectionWithoutARequestGetsNoAnswer(t *testing.T) {
	f := newFixture(t, func(l *serverLimits) { l.ReadTimeout, l.IdleTimeout = 200*time.Millisecond, 300*time.Millisecond })
	conn := f.dial("")
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer, err := io.ReadAll(conn)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(string(answer)).To(gomega.BeEmpty())
}
