package upstream_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/upstream"
)

// Guards against a response that nobody reads because the exchange was given up just before it
// arrived, against a wait for it that holds the caller up, and against a target that works on
// because its connection stays open.
func TestLateHeadsAreRead(t *testing.T) {
	const limit = 30 * time.Second // ends a test that hangs
	const head = "HTTP/1.1 503 Full\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		before, after string
		found         bool
		wait          time.Duration
	}{
		"whole":        {"", head, true, limit},
		"in two parts": {head[:20], head[20:], true, limit},
		"broken":       {"HTTP/1.1 5", "", false, 0},
		"no response":  {"", "", false, 0},
		"no HTTP":      {"", "nothing\r\n\r\n", false, 0},
	} {
		for _, ends := range []string{"context", "deadline"} {
			t.Run(name+", "+ends, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer func() { _ = l.Close() }()
				received, reset := make(chan struct{}), make(chan struct{})
				go func() {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = conn.Read(make([]byte, 4096))
					_, _ = io.WriteString(conn, c.before)
					close(received)
					_, _ = conn.Read(make([]byte, 1)) // until the other side has sent all
					_, _ = io.WriteString(conn, c.after)
					for {
						if _, err := io.WriteString(conn, " "); err != nil {
							close(reset)
							return
						}
						time.Sleep(10 * time.Millisecond)
					}
				}()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				deadline := time.Now().Add(300 * time.Millisecond)
				if ends == "context" {
					deadline = time.Now().Add(time.Minute)
					go func() {
						<-received
						cancel()
					}()
				}
				type result struct {
					status int
					fields httpfields.List
					found  bool
				}
				begin, late := make(chan struct{}), make(chan result, 1)
				client := &upstream.Client{Dial: (&net.Dialer{}).DialContext, LateHeadWait: c.wait}
				_, failure := client.Open(ctx, upstream.Request{
					Address: l.Addr().String(), Method: "GET", URI: "/x",
					Late: func(read upstream.LateHead) {
						<-begin // Open does not wait
						status, fields, found := read()
						late <- result{status, fields, found}
					},
				}, upstream.Timeouts{Connect: time.Second, Deadline: deadline})
				g.Expect(failure).NotTo(gomega.BeNil())
				close(begin)
				r := <-late
				g.Expect(r.found).To(gomega.Equal(c.found))
				if c.found {
					g.Expect(r.status).To(gomega.Equal(503))
					g.Expect(r.fields.Get("Retry-After")).To(gomega.Equal("3"))
				}
				g.Eventually(reset).WithTimeout(limit).Should(gomega.BeClosed())
			})
		}
	}
}
