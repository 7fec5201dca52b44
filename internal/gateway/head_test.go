package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// Guards against an answer to a HEAD request whose body is waited for until the deadline.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.NonIdempotent, fleet.Streaming} {
		g := gomega.NewWithT(t)
		ended := make(chan struct{})
		_, address := newWorld(t, kind, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Kept: 1\r\nContent-Length: 5\r\n\r\n")
			<-ended // the connection is kept
		})
		req, err := http.NewRequest(http.MethodHead, "http://"+address+"/x", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Host = "h"
		req.Header.Set("X-Request-Id", "q1")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		close(ended)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		g.Expect(resp.Header.Get("X-Kept")).To(gomega.Equal("1"))
		_ = resp.Body.Close()
	}
}
