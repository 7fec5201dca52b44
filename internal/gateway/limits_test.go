package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

const callerRequest = "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n"

// newLimitedWorld starts a server with the limits of a configuration.
func newLimitedWorld(t *testing.T, limits fleet.Limits) (w *world, address string) {
	w, address = newWorld(t, fleet.NonIdempotent, func(c net.Conn) { _, _ = io.WriteString(c, ownPlainAnswer) })
	w.limits.Store(&limits)
	return w, address
}

// connect opens a connection and sends the texts, with a pause after each but the last one.
func connect(t *testing.T, address string, pause time.Duration, texts ...string) net.Conn {
	g := gomega.NewWithT(t)
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	for i, text := range texts {
		if i > 0 {
			time.Sleep(pause)
		}
		_, err = io.WriteString(c, text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	return c
}

// readToEnd reads the rest of a connection until it ends.
func readToEnd(g *gomega.WithT, c net.Conn) string {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, err := io.ReadAll(c)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(text)
}

// Guards against an idle limit of the configuration that does not apply: callers reuse a
// connection shortly before its end and lose a request that crosses an earlier close.
func TestIdleLimitOfTheConfigurationApplies(t *testing.T) {
	const idle = 400 * time.Millisecond
	for name, texts := range map[string][]string{"after a request": {callerRequest + "\r\n"}, "new connection": {""}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, address := newLimitedWorld(t, fleet.Limits{IdleTimeout: idle, HeaderTimeout: 50 * time.Millisecond})
			began := time.Now()
			readToEnd(g, connect(t, address, 0, texts...))
			took := time.Since(began)
			g.Expect(took).To(gomega.BeNumerically(">=", idle))
			g.Expect(took).To(gomega.BeNumerically("<", 5*idle))
		})
	}
}

// Guards against a longer idle limit that does not apply to the connections that are open
// when it comes into force.
func TestLongerIdleLimitAppliesToOpenConnections(t *testing.T) {
	for name, before := range map[string]int{"after a request": 1, "new connection": 0} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, address := newLimitedWorld(t, fleet.Limits{IdleTimeout: 300 * time.Millisecond})
			c := connect(t, address, 0, strings.Repeat(callerRequest+"\r\n", before))
			input := bufio.NewReader(c)
			for range before {
				resp, err := http.ReadResponse(input, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			w.limits.Store(&fleet.Limits{IdleTimeout: 5 * time.Second})
			time.Sleep(time.Second)
			_, err := io.WriteString(c, callerRequest+"\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp, err := http.ReadResponse(input, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		})
	}
}

// Guards against an answer on a connection without a request, which would be taken for the
// answer to the next one.
func TestConnectionWithoutARequestGetsNoAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newLimitedWorld(t, fleet.Limits{IdleTimeout: 200 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond})
	text := readToEnd(g, connect(t, address, 0))
	g.Expect(text).To(gomega.BeEmpty())
	g.Expect(w.malformed).To(gomega.BeEmpty())
}

// Guards against a caller whose request arrives too slowly and that is told by a 400 not to
// send it again.
func TestRequestThatArrivesTooSlowlyGets408(t *testing.T) {
	limits := fleet.Limits{IdleTimeout: 300 * time.Millisecond, HeaderTimeout: 200 * time.Millisecond}
	for name, text := range map[string]string{
		"half a line":   "GET /",
		"half a header": callerRequest,
		"half a body":   callerRequest + "Content-Length: 10\r\n\r\nbody",
		"half a chunk":  callerRequest + "Transfer-Encoding: chunked\r\n\r\n5\r\nbo",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, address := newLimitedWorld(t, limits)
			began := time.Now()
			answer := readToEnd(g, connect(t, address, 0, strings.Replace(text, "GET /x", "POST /x", 1)))
			took := time.Since(began)
			g.Expect(answer).To(gomega.HavePrefix("HTTP/1.1 408 "))
			g.Expect(answer).To(gomega.ContainSubstring("Connection: close"))
			g.Expect(took).To(gomega.BeNumerically(">=", limits.HeaderTimeout))
			g.Expect(took).To(gomega.BeNumerically("<", 5*limits.IdleTimeout))
		})
	}
}

// Guards against a report of malformed input that does not tell whether anything of a request had
// been read.
func TestMalformedInputNamesTheBytesRead(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newLimitedWorld(t, fleet.Limits{IdleTimeout: 300 * time.Millisecond, HeaderTimeout: 200 * time.Millisecond})
	conn := connect(t, address, 0, callerRequest+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(conn, callerRequest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	readToEnd(g, conn)
	input := <-w.malformed
	g.Expect(input.Status).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(input.Request).To(gomega.Equal(2))
	g.Expect(input.BytesRead).To(gomega.Equal(int64(len(callerRequest))))
}

// Guards against a header that the configuration allows and that is cut off or refused.
func TestHeaderLimitsOfTheConfigurationApply(t *testing.T) {
	const long = 3500 * time.Millisecond // longer than the limit without a configuration
	for name, c := range map[string]struct {
		limits fleet.Limits
		pause  time.Duration
		size   int
		status int
	}{
		"slow, allowed":    {fleet.Limits{HeaderTimeout: 2 * long}, long, 10, http.StatusOK},
		"slow, too slow":   {fleet.Limits{HeaderTimeout: 200 * time.Millisecond}, time.Second, 10, http.StatusRequestTimeout},
		"large, allowed":   {fleet.Limits{HeaderBytes: 32 << 10}, 0, 20 << 10, http.StatusOK},
		"large, too large": {fleet.Limits{HeaderBytes: 4 << 10}, 0, 5 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			_, address := newLimitedWorld(t, c.limits)
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, callerRequest)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(c.pause)
			_, _ = fmt.Fprintf(conn, "X-Long: %s\r\n\r\n", strings.Repeat("x", c.size)) // fails if the answer has come
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
		})
	}
}
