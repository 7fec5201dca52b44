package upstream_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/socketstate"
	"cicadaslip/internal/upstream"
)

// Guards against reporting a target that accepts a connection but does not
// respond in time as one that closed the connection.
func TestUnresponsiveTargetFailsWithTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	client := upstream.Client{Dial: (&net.Dialer{}).DialContext}
	_, failure := client.Open(context.Background(), upstream.Request{
		Address: listener.Addr().String(), Method: "GET", URI: "/",
	}, upstream.Timeouts{Connect: time.Second, Deadline: time.Now().Add(50 * time.Millisecond)})
	g.Expect(failure).NotTo(gomega.BeNil())
	g.Expect(failure.Code).To(gomega.Equal(errs.Timeout))
	g.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
}

// endless writes text again and again until the connection fails.
func endless(conn net.Conn, text string) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// A target in trouble sends bytes that are no answer without end, in the head or in the
// body. The exchange must fail within its deadline, and with bounded memory.
func TestEndlessAnswersFail(t *testing.T) {
	const limit = 1 << 20
	for name, c := range map[string]struct{ head, rest string }{
		"one line of the head":  {"HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"},
		"fields of the head":    {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no HTTP":               {"", "\x00\x01\x02\x03"},
		"lines without a space": {"", strings.Repeat("\x01", 1000) + "\n"},
		"blank lines":           {"", "\r\n"},
		"body without a length": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "xxxxxxxxxxxxxxxx"},
		"chunks":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"length of a chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000000000"},
		"trailer":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1024)) // the request
				_, _ = io.WriteString(conn, c.head)
				endless(conn, strings.Repeat(c.rest, 256))
			}()
			before := heapBytes()
			client := upstream.Client{Dial: (&net.Dialer{}).DialContext}
			const deadline, patience = time.Second, 10 * time.Second
			ended := make(chan *errs.Error, 1)
			go func() {
				exchange, failure := client.Open(context.Background(), upstream.Request{
					Address: listener.Addr().String(), Method: "GET", URI: "/",
				}, upstream.Timeouts{Connect: time.Second, Deadline: time.Now().Add(deadline)})
				if failure == nil {
					_, failure = exchange.ReadAll(limit, nil)
					exchange.Close()
				}
				ended <- failure
			}()
			var failure *errs.Error
			g.Eventually(ended).WithTimeout(patience).Should(gomega.Receive(&failure))
			g.Expect(failure).NotTo(gomega.BeNil())
			g.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
			g.Expect(len(failure.Error())).To(gomega.BeNumerically("<", 1000), "the error quotes the answer")
			g.Expect(heapBytes()).To(gomega.BeNumerically("<", before+16*limit))
		})
	}
}

// heapBytes returns the size of the heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against an answer that a target wrote before the request, which is taken for the
// answer to it, and against a request that runs beside such an answer.
func TestAnswerBeforeTheRequestKeepsItFromBeingSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	received := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		n, _ := io.Copy(io.Discard, conn) // ends with the connection
		received <- n
	}()
	client := upstream.Client{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		for err == nil && socketstate.Of(conn) == socketstate.Idle {
			time.Sleep(time.Millisecond)
		}
		return conn, err
	}}
	exchange, failure := client.Open(context.Background(), upstream.Request{
		Address: listener.Addr().String(), Method: "POST", URI: "/", Body: []byte("zip"),
	}, upstream.Timeouts{Connect: time.Second, Deadline: time.Now().Add(time.Second)})
	if failure == nil {
		exchange.Close()
	}
	g.Expect(<-received).To(gomega.BeZero(), "bytes of the request")
	g.Expect(failure).NotTo(gomega.BeNil())
	g.Expect(failure.Code).To(gomega.Equal(errs.TargetUnavailable))
	g.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a connection that is used for a second request, whose answer could be a
// second copy of the first one.
func TestExchangesHaveConnectionsOfTheirOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	const exchanges = 3
	closed := make(chan struct{}, exchanges)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 1024)
				_, _ = conn.Read(buf)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok")
				if _, err := conn.Read(buf); err != nil {
					closed <- struct{}{}
				}
			}()
		}
	}()
	client := upstream.Client{Dial: (&net.Dialer{}).DialContext}
	for range exchanges {
		exchange, failure := client.Open(context.Background(), upstream.Request{
			Address: listener.Addr().String(), Method: "GET", URI: "/",
		}, upstream.Timeouts{Connect: time.Second, Deadline: time.Now().Add(time.Second)})
		g.Expect(failure).To(gomega.BeNil())
		_, failure = exchange.ReadAll(1<<10, nil)
		g.Expect(failure).To(gomega.BeNil())
		exchange.Close()
		g.Eventually(closed).Should(gomega.Receive())
	}
	g.Expect(client.OpenedConnections()).To(gomega.Equal(int64(exchanges)))
}

// serveAnswers accepts connections and sends a text on each after its request.
func serveAnswers(t *testing.T, text string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1024))
				_, _ = io.WriteString(conn, text)
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against more connections to targets than there are descriptors, and against connections
// that count for ever.
func TestConnectionsToTargetsAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	address := serveAnswers(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	client := upstream.Client{Dial: (&net.Dialer{}).DialContext, MaxOpen: 2}
	open := func(address string) (*upstream.Exchange, *errs.Error) {
		return client.Open(context.Background(), upstream.Request{Address: address, Method: "GET", URI: "/"},
			upstream.Timeouts{Connect: time.Second, Deadline: time.Now().Add(10 * time.Second)})
	}
	for range 3 {
		first, failure := open(address)
		g.Expect(failure).To(gomega.BeNil())
		second, failure := open(address)
		g.Expect(failure).To(gomega.BeNil())
		_, failure = open(address)
		g.Expect(failure).NotTo(gomega.BeNil())
		g.Expect(failure.Code).To(gomega.Equal(errs.Overloaded))
		g.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
		first.Close()
		first.Close()
		_, failure = open("127.0.0.1:1")
		g.Expect(failure.Code).To(gomega.Equal(errs.TargetUnavailable))
		second.Close()
		g.Expect(client.OpenNow()).To(gomega.BeZero())
	}
}

// Guards against an answer whose memory is taken without being reserved, and against one that is
// reserved before it comes.
func TestMemoryForLargeAnswersIsReserved(t *testing.T) {
	const size, limit = 1 << 20, 8 << 20
	body := strings.Repeat("x", size)
	for name, c := range map[string]struct {
		text    string
		allowed int // bytes that may be reserved
		code    errs.Code
		least   int // bytes that must be reserved
		most    int
	}{
		"small":                     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0, "", 0, 0},
		"length":                    {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + body, limit, "", size - 4<<10, size + 1},
		"chunks":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + body + "\r\n0\r\n\r\n", limit, "", size - 4<<10, 2 * size},
		"no memory":                 {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + body, 100_000, errs.Overloaded, 0, 100_000},
		"announced, does not come":  {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\nx", limit, errs.Timeout, 0, 0},
		"announced, over the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\nx", limit, errs.TooLarge, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client := upstream.Client{Dial: (&net.Dialer{}).DialContext}
			e, failure := client.Open(context.Background(), upstream.Request{Address: serveAnswers(t, c.text), Method: "GET", URI: "/"},
				upstream.Timeouts{Connect: time.Second, Deadline: time.Now().Add(time.Second)})
			g.Expect(failure).To(gomega.BeNil())
			defer e.Close()
			reserved := 0
			answer, failure := e.ReadAll(limit, func(bytes int) *errs.Error {
				if reserved+bytes > c.allowed {
					return errs.New(errs.Overloaded, "no memory").WithRan(errs.RanUnknown)
				}
				reserved += bytes
				return nil
			})
			if c.code == "" {
				g.Expect(failure).To(gomega.BeNil())
				g.Expect(cap(answer)).To(gomega.BeNumerically("<=", reserved+4<<10))
			} else {
				g.Expect(failure).NotTo(gomega.BeNil())
				g.Expect(failure.Code).To(gomega.Equal(c.code))
			}
			g.Expect(reserved).To(gomega.And(gomega.BeNumerically(">=", c.least), gomega.BeNumerically("<=", c.most)))
		})
	}
}
