package acceptretry_test

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/acceptretry"
)

// exhausted fails as if its process had no file descriptors left at first.
type exhausted struct {
	net.Listener
	failures int
}

func (e *exhausted) Accept() (net.Conn, error) {
	if e.failures--; e.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return e.Listener.Accept()
}

// Guards against a server that ends, which cuts the requests of its process, because for a
// moment there is no file descriptor for one more connection.
func TestServerGoesOnAfterALackOfFileDescriptors(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	failures, served := make(chan error, 8), make(chan error, 1)
	listener := acceptretry.New(&exhausted{Listener: l, failures: 2}, func(err error) { failures <- err })
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(http.StatusNoContent) }}
	go func() { served <- server.Serve(listener) }()
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Get("http://" + l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusNoContent))
	g.Expect(failures).To(gomega.HaveLen(2))
	g.Expect(listener.Close()).To(gomega.Succeed())
	g.Eventually(served).WithTimeout(10*time.Second).Should(gomega.Receive(gomega.BeNil()), "a closed listener ends the server")
}
