package gateway_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
)

// Guards against a description of the requests in flight that lacks one, or that does not tell
// whether a target has it.
func TestUnansweredRequestsAreDescribed(t *testing.T) {
	g := gomega.NewWithT(t)
	answer := make(chan struct{})
	w, address := newWorld(t, fleet.NonIdempotent, func(c net.Conn) {
		<-answer
		_, _ = io.WriteString(c, plainAnswer)
	})
	g.Expect(w.unanswered()).To(gomega.BeEmpty())
	sent := func() int {
		for _, s := range w.unanswered() {
			return s.Trace.Sent
		}
		return 0
	}
	conn := connect(t, address, 0, callerRequest+"\r\n")
	g.Eventually(sent).WithTimeout(10 * time.Second).Should(gomega.Equal(1))
	s := w.unanswered()[0]
	g.Expect(s.ID).To(gomega.Equal("q1"))
	g.Expect(s.Kind).To(gomega.Equal(fleet.NonIdempotent))
	g.Expect(s.Trace.Steps).To(gomega.ConsistOf(gomega.HaveField("Name", gateway.StepSent)))
	g.Expect(s.Trace.LastSentTo).NotTo(gomega.BeEmpty())
	g.Expect(s.Trace.FirstSent).To(gomega.BeNumerically("<=", s.Elapsed))
	connect(t, address, 0, callerRequest[:20])
	g.Eventually(w.busy).WithTimeout(10*time.Second).Should(gomega.Equal(2), "a request is being read")
	close(answer)
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(w.unanswered).WithTimeout(10 * time.Second).Should(gomega.BeEmpty())
	g.Expect(s.Trace.Status).To(gomega.BeZero(), "the description has changed")
}
