package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// Guards against a request that is refused, or takes from the retry budget, because targets
// were granted of which this VM knows that they leave.
func TestLeavingTargetsAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Streaming, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 8\r\n\r\nid: 1\n\n\n")
	})
	w.leaving = []string{"a", "b", "c", "d", "e", "f"}
	status, _, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(w.placements).To(gomega.Equal(7))
	g.Expect(w.taken()).To(gomega.BeZero())
}
