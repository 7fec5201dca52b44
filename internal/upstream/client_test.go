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

// Guards against a silent target that is taken for one that broke off.
func TestATargetThatSaysNothingIsSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	client := upstream.Client{Dial: (&net.Dialer{}).DialContext}
	_, failure := client.Open(context.Background(), upstream.Request{
		Address: listener.Addr().String(), Method: "GET", URI: "/",
	}, upstream.Times{Connect: time.Second, End: time.Now().Add(50 * time.Millisecond)})
	g.Expect(failure).NotTo(gomega.BeNil())
	g.Expect(failure.Code).To(gomega.Equal(errs.Timeout))
	g.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
}
