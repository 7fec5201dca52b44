package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/upstream"
)

// Guards against reporting a target that accepts a connection but does not
// respond in time as one that closed the connection.
func TestUnresponsiveTargetFailsWithTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	client := upstream.Client{Dial: (&net.Dialer{}).DialContext}
	_, failure := client.Open(context.Background(), upstream.Request{
		Address: listener.Addr().String(), Method: "GET", URI: "/",
	}, upstream.Timeouts{Connect: time.Second, Deadline: time.Now().Add(50 * time.Millisecond)})
	g.Expect(failure).NotTo(gomega.BeNil())
	g.Expect(failure.Code).To(gomega.Equal(errs.Timeout))
	g.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
}
