package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
)

// pausedListener accepts connections that stop behind a read: after they have read the given
// request of a connection, they wait until resume is closed.
type pausedListener struct {
	net.Listener
	request int64
	read    chan struct{}
	resume  chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

type pausedConn struct {
	*net.TCPConn
	listener *pausedListener
	reads    atomic.Int64
}

func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.reads.Add(1) == c.listener.request {
		close(c.listener.read)
		<-c.listener.resume
	}
	return n, err
}

// Guards against a request that is read when the shutdown closes the idle connections, and
// that gets no answer: its caller cannot send it again.
func TestRequestThatIsReadDuringAShutdownIsAnswered(t *testing.T) {
	for name, requests := range map[string]int{"first of its connection": 1, "on a kept connection": 2} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			paused := &pausedListener{request: int64(requests), read: make(chan struct{}), resume: make(chan struct{})}
			w, address := newWorldBehind(t, fleet.NonIdempotent, func(c net.Conn) { _, _ = io.WriteString(c, ownPlainAnswer) },
				func(l net.Listener) net.Listener { paused.Listener = l; return paused })
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = conn.Close() }()
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			input := bufio.NewReader(conn)
			stopped := make(chan struct{})
			for i := range requests {
				_, err := io.WriteString(conn, callerRequest+"\r\n")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if i == requests-1 {
					<-paused.read
					go func() {
						defer close(stopped)
						w.shutdown(context.Background())
					}()
					g.Eventually(func() error {
						c, err := net.Dial("tcp", address)
						if err == nil {
							_ = c.Close()
						}
						return err
					}).Should(gomega.HaveOccurred(), "the listener is open")
					g.Consistently(stopped).WithTimeout(time.Second).ShouldNot(gomega.BeClosed(), "the shutdown does not wait for the request")
					close(paused.resume)
				}
				resp, err := http.ReadResponse(input, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = io.Copy(io.Discard, resp.Body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			}
			g.Eventually(stopped).WithTimeout(20 * time.Second).Should(gomega.BeClosed())
		})
	}
}

// Guards against a shutdown that cuts a request whose header has arrived in part.
func TestShutdownWaitsForARequestThatArrivesInParts(t *testing.T) {
	g := gomega.NewWithT(t)
	paused := &pausedListener{request: 1, read: make(chan struct{}), resume: make(chan struct{})}
	w, address := newWorldBehind(t, fleet.Idempotent, func(c net.Conn) { _, _ = io.WriteString(c, ownPlainAnswer) },
		func(l net.Listener) net.Listener { paused.Listener = l; return paused })
	const sent = 20
	conn := connect(t, address, 0, callerRequest[:sent])
	<-paused.read
	close(paused.resume)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.shutdown(context.Background())
	}()
	g.Consistently(ended).WithTimeout(time.Second).ShouldNot(gomega.BeClosed())
	_, err := io.WriteString(conn, callerRequest[sent:]+"Connection: close\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(readToEnd(g, conn)).To(gomega.HavePrefix("HTTP/1.1 200 "))
	g.Eventually(ended).WithTimeout(20 * time.Second).Should(gomega.BeClosed())
}

// Guards against a shutdown that waits for connections that carry no request.
func TestShutdownDoesNotWaitForIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Idempotent, func(c net.Conn) { _, _ = io.WriteString(c, ownPlainAnswer) })
	connect(t, address, 0)
	used := connect(t, address, 0, callerRequest+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(used), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w.shutdown(ctx)
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
}

// Guards against a stream that waits for a target until the process ends, and that gets no
// answer: its caller cannot tell that it has not run.
func TestWaitingStreamIsRefusedDuringAShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		before  bool // the shutdown refuses waiting requests before this one waits
		waitsAt int  // placement
		status  int
	}{
		"waits":               {waitsAt: 1, status: http.StatusServiceUnavailable},
		"comes later":         {before: true, waitsAt: 1, status: http.StatusServiceUnavailable},
		"a target has failed": {waitsAt: 2, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Streaming, func(net.Conn) {})
			w.route.Resumable, w.route.MaxAttempts = true, 2
			w.drain(time.Minute)
			if c.before {
				w.refuse()
			}
			w.await = func(ctx context.Context, placement int) {
				if placement == c.waitsAt {
					w.refuse()
					<-ctx.Done()
				}
			}
			status, _, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(c.status))
			g.Expect((<-w.summaries).Trace.Failure.Code).To(gomega.Equal(errs.Draining))
		})
	}
}

// Guards against a shutdown that cuts a stream which its target broke off, although another
// target continues it.
func TestBegunStreamIsResumedDuringAShutdown(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Streaming, inTurn(writes(streamHead+chunk("id: 1\n\n")), writes(streamHead+chunk("id: 2\n\n")+lastChunk)))
	w.route.Resumable, w.route.MaxAttempts = true, 2
	w.await = func(_ context.Context, placement int) {
		if placement == 2 {
			w.refuse()
		}
	}
	status, body, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("id: 1\n\nid: 2\n\n"))
}

// Guards against a stream that waits for a second target until the process ends after its
// first one was late, whether that one fails or delivers in the end.
func TestLateStreamIsAnsweredDuringAShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"the late target fails":    {"", http.StatusBadGateway},
		"the late target delivers": {streamHead + chunk("id: 1\n\n") + lastChunk, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			refused := make(chan struct{})
			w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
				<-refused
				_, _ = io.WriteString(conn, c.answer)
			})
			w.route.Resumable, w.route.MaxAttempts, w.estimate = true, 2, time.Millisecond
			w.await = func(ctx context.Context, placement int) {
				if placement == 2 {
					w.refuse()
					<-ctx.Done()
					close(refused)
				}
			}
			status, _, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(c.status))
		})
	}
}
