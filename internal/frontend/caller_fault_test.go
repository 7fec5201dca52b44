package frontend_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/standin/service"
)

// dial opens a connection of a caller and writes text.
func (b *bench) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", b.address)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, err = conn.Write([]byte(text))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer zips\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against work that continues, and a permit that stays taken, after the
// caller went away.
func TestCallerGone(t *testing.T) {
	for _, stream := range []bool{false, true} {
		b := newBench(t, nil)
		b.runners[0].SetFaults(runner.Faults{SlowFactor: 1e6})
		conn := b.dial(post("/v1/completions", completion("hem", 5, stream)))
		b.Eventually(func() int { return len(b.runners[0].State().Running) }).Should(gomega.Equal(1))
		b.Expect(conn.Close()).To(gomega.Succeed())
		b.Eventually(b.permits.outcomes, "5s").Should(gomega.Equal([]core.Outcome{core.OutcomeCancelled}))
		b.Expect(b.runners[0].State().Running).To(gomega.BeEmpty())
		b.Eventually(b.front.InFlight).Should(gomega.BeZero())
	}
}

// Guards against a caller that does not read and holds a target or memory. Each
// of the two bounds must suffice without the other.
func TestSlowCallerIsBounded(t *testing.T) {
	for name, change := range map[string]func(*limitsType){
		"bytes": func(l *limitsType) { l.CallerBuffer, l.WriteStall = 4<<10, time.Hour },
		"time":  func(l *limitsType) { l.CallerBuffer, l.WriteStall = 60<<20, 300*time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, func(l *limitsType) { l.Deadline = time.Minute; change(l) })
			b.dial(post("/v1/completions", completion("hem", 16000, true)))
			b.Eventually(b.permits.outcomes, "30s").Should(gomega.Equal([]core.Outcome{core.OutcomeCancelled}))
		})
	}
}

// Guards against an at-most-once call that loses its outcome with its caller.
func TestOutcomeIsKeptWhenTheCallerIsGone(t *testing.T) {
	b := newBench(t, nil)
	b.Expect(b.service.SetFaults(service.Faults{LateMS: 100})).To(gomega.Succeed())
	request := post("/v1/services/repair", "sew")
	conn := b.dial(request[:len("POST /v1/services/repair HTTP/1.1\r\n")] + "Idempotency-Key: k1\r\n" + request[len("POST /v1/services/repair HTTP/1.1\r\n"):])
	b.Eventually(func() int { return len(b.service.Calls()) }).Should(gomega.Equal(1))
	b.Expect(conn.Close()).To(gomega.Succeed())
	b.Eventually(func() int { return b.repair("k1", "sew").status }).Should(gomega.Equal(200))
	b.Expect(b.service.Calls()).To(gomega.HaveLen(1))
}

// Guards against a shutdown that cuts requests in flight, and against new work
// during it.
func TestDrain(t *testing.T) {
	b := newBench(t, nil)
	b.runners[0].SetFaults(runner.Faults{SlowFactor: 20})
	answered := make(chan seen, 2)
	for _, stream := range []bool{false, true} {
		go func() { answered <- b.complete("hem", 15, stream) }()
	}
	b.Eventually(func() int { return len(b.runners[0].State().Running) }).Should(gomega.Equal(2))
	drained := make(chan error, 1)
	go func() { drained <- b.front.Drain(context.Background()) }()
	b.Eventually(func() int { return b.call("GET", "/readyz", "").status }).Should(gomega.Equal(503))
	s := b.complete("hem", 1, false)
	b.Expect(s.failure).To(gomega.Equal(errs.Draining), s.raw)
	b.Expect(s.ran).To(gomega.Equal(errs.RanNo))
	for range 2 {
		b.Eventually(answered, "10s").Should(gomega.Receive(&s))
		b.Expect(s.text).To(gomega.Equal(right("hem", 15)), s.raw)
		b.Expect(s.finished).To(gomega.BeTrue())
	}
	b.Eventually(drained, "10s").Should(gomega.Receive(gomega.BeNil()))
}
