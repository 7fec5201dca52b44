package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
)

// Guards against a stream that ends without its end and without a reason in the log.
func TestEveryCutStreamHasAReason(t *testing.T) {
	for name, c := range map[string]struct {
		target func(net.Conn)
		leaves bool
		reason errs.Code
	}{
		"the target breaks it off": {func(c net.Conn) { _, _ = io.WriteString(c, streamHead+"7\r\nid: 1\n\n\r\n") }, false, errs.TruncatedAnswer},
		"the caller leaves": {func(c net.Conn) {
			_, _ = io.WriteString(c, streamHead)
			for {
				if _, err := io.WriteString(c, "9\r\ndata: a\n\n\r\n"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}, true, errs.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, c.target)
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if c.leaves {
				_, err = io.ReadAtLeast(conn, make([]byte, 1024), len("HTTP/1.1 200 OK"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				reset(conn)
				g.Expect(conn.Close()).To(gomega.Succeed())
			} else {
				text, _ := io.ReadAll(conn)
				g.Expect(strings.HasSuffix(string(text), "0\r\n\r\n")).To(gomega.BeFalse())
			}
			summary := <-w.summaries
			g.Expect(summary.Trace.Cut).To(gomega.BeTrue())
			g.Expect(summary.Trace.Failure).NotTo(gomega.BeNil())
			g.Expect(summary.Trace.Failure.Code).To(gomega.Equal(c.reason))
			g.Expect(summary.CallerLeft).To(gomega.Equal(c.leaves))
		})
	}
}
