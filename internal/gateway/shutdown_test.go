package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// shutdownObservation is how long a shutdown is seen to wait.
const shutdownObservation = 200 * time.Millisecond

// Guards against a shutdown that cuts requests which it does not count: those of connections
// that were just accepted, and those that have not arrived whole.
func TestShutdownWaitsForRequestsThatAreBeingRead(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n\r\n"
	for name, sent := range map[string]int{"no byte yet": 0, "part of the head": 20} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Idempotent, func(c net.Conn) { _, _ = io.WriteString(c, plainAnswer) })
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, request[:sent])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(w.openConnections).Should(gomega.BeEquivalentTo(1))
			ended := make(chan struct{})
			go func() {
				w.shutdown(context.Background())
				close(ended)
			}()
			g.Consistently(ended).WithTimeout(shutdownObservation).ShouldNot(gomega.BeClosed())
			_, err = io.WriteString(conn, request[sent:])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			g.Expect(resp.Body.Close()).To(gomega.Succeed())
			g.Expect(conn.Close()).To(gomega.Succeed())
			g.Eventually(ended).Should(gomega.BeClosed())
		})
	}
}

// Guards against a shutdown that waits for connections that carry no request.
func TestShutdownDoesNotWaitForIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Idempotent, func(c net.Conn) { _, _ = io.WriteString(c, plainAnswer) })
	client := &http.Client{Transport: &http.Transport{}}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Host = "h"
	resp, err := client.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Body.Close()).To(gomega.Succeed())
	g.Expect(w.openConnections()).To(gomega.BeEquivalentTo(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w.shutdown(ctx)
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
}
