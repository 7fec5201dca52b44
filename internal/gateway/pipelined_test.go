package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// Guards against an answer that its caller gets only with that to the next request, which the
// caller has sent before: it would be lost if the process ended between the two.
func TestAnswerDoesNotWaitForTheNextRequest(t *testing.T) {
	for name, c := range map[string]struct {
		kind  fleet.Kind
		whole string
	}{
		"plain":  {fleet.NonIdempotent, plainAnswer},
		"stream": {fleet.Streaming, streamHead + chunk1 + lastChunk},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			received := make(chan struct{})
			_, address := newWorld(t, c.kind, inTurn(writes(c.whole), func(conn net.Conn) {
				<-received
				writes(c.whole)(conn)
			}))
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = conn.Close() }()
			_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
			_, err = io.WriteString(conn, callerRequest+"\r\n"+callerRequest+"\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			answers := bufio.NewReader(conn)
			for i := range 2 {
				resp, err := http.ReadResponse(answers, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), "answer %d", i+1)
				_, err = io.Copy(io.Discard, resp.Body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if i == 0 {
					close(received)
				}
			}
		})
	}
}
