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
	"cicadaslip/internal/gateway"
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

// Guards against a request that is passed on late in a shutdown and cut by the end of the
// process, and against one that is refused although it ends in time.
func TestLateRequestsAreRefusedDuringAShutdown(t *testing.T) {
	const long, past = time.Minute, -time.Second
	for name, c := range map[string]struct {
		kind                                 fleet.Kind
		refuseStreams, refuseLong, answerAll time.Duration // from now
		status                               int
	}{
		"non-idempotent, early":             {fleet.NonIdempotent, long, long, callerDeadline / 2, http.StatusOK},
		"non-idempotent, late":              {fleet.NonIdempotent, long, past, callerDeadline / 2, http.StatusServiceUnavailable},
		"non-idempotent, late, in time":     {fleet.NonIdempotent, past, past, 2 * callerDeadline, http.StatusOK},
		"idempotent, late":                  {fleet.Idempotent, long, past, callerDeadline / 2, http.StatusServiceUnavailable},
		"idempotent, late, in time":         {fleet.Idempotent, past, past, 2 * callerDeadline, http.StatusOK},
		"stream, early":                     {fleet.Streaming, long, past, callerDeadline / 2, http.StatusOK},
		"stream, late":                      {fleet.Streaming, past, long, 2 * callerDeadline, http.StatusServiceUnavailable},
		"non-idempotent, after all answers": {fleet.NonIdempotent, past, past, past / 2, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var arrived atomic.Int64
			w, address := newWorld(t, c.kind, func(conn net.Conn) {
				arrived.Add(1)
				answer := ownPlainAnswer
				if c.kind == fleet.Streaming {
					answer = streamHead + chunk("id: 1\n\n") + lastChunk
				}
				_, _ = io.WriteString(conn, answer)
			})
			now := time.Now()
			w.server.Drain(gateway.DrainSchedule{RefuseStreams: now.Add(c.refuseStreams), RefuseLong: now.Add(c.refuseLong), AnswerAll: now.Add(c.answerAll)})
			conn := connect(t, address, 0, callerRequest+"\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
			g.Expect(resp.Close).To(gomega.BeTrue())
			_, err = io.Copy(io.Discard, resp.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if c.status != http.StatusOK {
				g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
				g.Expect(arrived.Load()).To(gomega.BeZero())
			}
		})
	}
}

// Guards against a request that its target still works on when the process ends, and whose
// caller gets no answer.
func TestRequestsAtWorkAreAnsweredBeforeTheProcessEnds(t *testing.T) {
	for name, c := range map[string]struct {
		kind     fleet.Kind
		attempts int
		late     bool // the request moves to a second target
	}{
		"non-idempotent":           {fleet.NonIdempotent, 1, false},
		"idempotent":               {fleet.Idempotent, 2, false},
		"idempotent, hedged":       {fleet.Idempotent, 2, true},
		"stream":                   {fleet.Streaming, 1, false},
		"stream, at a late target": {fleet.Streaming, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			atWork, ended := make(chan struct{}, 2), make(chan struct{}, 2)
			w, address := newWorld(t, c.kind, func(conn net.Conn) {
				atWork <- struct{}{}
				_, _ = io.Copy(io.Discard, conn)
				ended <- struct{}{}
			})
			w.route.MaxAttempts, w.route.Resumable = c.attempts, c.attempts > 1
			targets := 1
			if c.late {
				targets, w.latency, w.estimate = 2, time.Millisecond, time.Millisecond
			}
			w.drain(time.Minute)
			conn := connect(t, address, 0, callerRequest+"\r\n")
			for range targets {
				g.Eventually(atWork).WithTimeout(testLimit).Should(gomega.Receive())
			}
			w.server.AnswerAll()
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			w.shutdown(ctx)
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
			g.Expect(w.inFlight()).To(gomega.BeZero())
			g.Expect(readToEnd(g, conn)).To(gomega.And(gomega.HavePrefix("HTTP/1.1 502 "), gomega.ContainSubstring("Connection: close")))
			g.Expect((<-w.summaries).Trace.Failure.Code).To(gomega.Equal(errs.Draining))
			for range targets {
				g.Eventually(ended).WithTimeout(testLimit).Should(gomega.Receive(), "the target still works on the request")
			}
		})
	}
}

// Guards against a stream that waits for a target when the process ends, and whose caller
// cannot tell that it has not run.
func TestStreamWithoutATargetIsRefusedBeforeTheProcessEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Streaming, func(net.Conn) {})
	w.drain(time.Minute)
	w.await = func(ctx context.Context, _ int) {
		w.server.AnswerAll()
		<-ctx.Done()
	}
	status, _, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
}

// Guards against a request that is accepted just before all others are answered, and that is
// not among them.
func TestRequestThatBeginsWhileOthersAreAnsweredIsAnswered(t *testing.T) {
	for name, kind := range map[string]fleet.Kind{"plain": fleet.NonIdempotent, "stream": fleet.Streaming} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, address := newWorld(t, kind, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
			w.server.AnswerAll()
			status, _, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable))
			g.Expect((<-w.summaries).Trace.Failure.Code).To(gomega.Equal(errs.Draining))
		})
	}
}

// Guards against a shutdown that cuts begun streams together with the requests of which the
// callers have got nothing.
func TestBegunStreamGoesOnWhileOthersAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	answered := make(chan struct{})
	w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
		_, _ = io.WriteString(conn, streamHead+chunk("id: 1\n\n"))
		<-answered
		_, _ = io.WriteString(conn, chunk("id: 2\n\n")+lastChunk)
	})
	w.drain(time.Minute)
	conn := connect(t, address, 0, callerRequest+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w.server.AnswerAll()
	close(answered)
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("id: 1\n\nid: 2\n\n"))
}

// Guards against a stream that begins after the work on it was ended, and is cut.
func TestStreamThatBeginsWhileOthersAreAnsweredIsNotCut(t *testing.T) {
	g := gomega.NewWithT(t)
	w, address := newWorld(t, fleet.Streaming, func(conn net.Conn) {
		_, _ = io.WriteString(conn, streamHead+chunk("id: 1\n\n"))
		_, _ = io.Copy(io.Discard, conn)
	})
	w.started = func() { w.server.AnswerAll() }
	status, _, err := get(g, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
}

// Guards against a request that is answered twice, or not at all, where the answer of its
// target and the end of the process meet.
func TestAnswerThatMeetsTheEndOfTheProcessIsWhole(t *testing.T) {
	for name, kind := range map[string]fleet.Kind{"plain": fleet.NonIdempotent, "stream": fleet.Streaming} {
		t.Run(name, func(t *testing.T) {
			for i := range 100 {
				g := gomega.NewWithT(t)
				var w *world
				w, address := newWorld(t, kind, func(conn net.Conn) {
					go func() {
						time.Sleep(time.Duration(i) * 5 * time.Microsecond)
						w.server.AnswerAll()
					}()
					if kind == fleet.Streaming {
						_, _ = io.WriteString(conn, streamHead+chunk("id: 1\n\n")+lastChunk)
						return
					}
					_, _ = io.WriteString(conn, ownPlainAnswer)
				})
				status, body, err := get(g, address)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				switch status {
				case http.StatusOK:
					g.Expect(body).To(gomega.BeElementOf("ok", "id: 1\n\n"))
				default:
					g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
				}
				g.Eventually(w.inFlight).Should(gomega.BeZero())
				g.Expect(w.summaries).To(gomega.HaveLen(1))
			}
		})
	}
}
