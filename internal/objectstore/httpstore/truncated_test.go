package httpstore_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore/httpstore"
)

// Guards against an answer of the platform that breaks off at any byte and is taken for a
// whole one, and against a write with such an answer that counts as one without effect.
func TestAnswersThatBreakOffAreNotWhole(t *testing.T) {
	ctx := context.Background()
	const body = `{"key":"k","version":7,"revision":7,"value":"e30="}`
	for name, text := range map[string]string{
		"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked":       fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"unframed":      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"after interim": fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Value
			var reset atomic.Bool
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						if n, _ := conn.Read(make([]byte, 4096)); n > 0 {
							_, _ = io.WriteString(conn, sent.Load().(string))
						}
						if reset.Load() {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					}()
				}
			}()
			for n := range len(text) + 1 {
				for _, byReset := range []bool{false, true} {
					if byReset && n == len(text) {
						continue // the reset may overtake the answer
					}
					g := gomega.NewWithT(t)
					sent.Store(text[:n])
					reset.Store(byReset)
					_, err := httpstore.New(httpstore.Options{Address: l.Addr().String()}).Get(ctx, "k", 0)
					g.Expect(err == nil).To(gomega.Equal(n == len(text)), "get, %d of %d bytes, reset %v: %v", n, len(text), byReset, err)
					_, err = httpstore.New(httpstore.Options{Address: l.Addr().String()}).Update(ctx, "k", []byte("{}"), 6)
					g.Expect(err == nil).To(gomega.Equal(n == len(text)), "update, %d of %d bytes, reset %v: %v", n, len(text), byReset, err)
					if err != nil {
						g.Expect(errs.Is(err, errs.StoreAmbiguous)).To(gomega.BeTrue(), "%v", err)
					}
				}
			}
		})
	}
}
