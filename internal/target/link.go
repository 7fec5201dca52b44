package target

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
)

// link is one fresh connection for one exchange. It counts the bytes handed to
// the operating system and can be aborted from another goroutine.
type link struct {
	net.Conn
	reader  *bufio.Reader
	stop    func() bool
	mu      sync.Mutex
	aborted bool
	written bool
}

// open establishes a connection. On an error nothing was sent.
func (c *Client) open(ctx context.Context, address string) (*link, *errs.Error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	conn, err := c.cfg.Dial(dialCtx, networkTCP, address)
	if err != nil {
		return nil, notRun(errs.Wrap(err, errs.TargetUnavailable, "target did not accept a connection"))
	}
	l := &link{Conn: conn}
	l.reader = bufio.NewReaderSize(l, responseHeaderReadBytes)
	l.stop = context.AfterFunc(ctx, l.abort)
	return l, nil
}

// Write writes and notes whether any byte may have left.
func (l *link) Write(p []byte) (int, error) {
	n, err := l.Conn.Write(p)
	l.mu.Lock()
	l.written = l.written || n > 0
	l.mu.Unlock()
	return n, err
}

func (l *link) sent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written
}

// abort ends all reads and writes.
func (l *link) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aborted = true
	_ = l.Conn.SetDeadline(time.Unix(longPast, 0))
}

// allow sets the time until the next read or write fails.
func (l *link) allow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.aborted {
		_ = l.Conn.SetDeadline(time.Now().Add(d))
	}
}

// close resets the connection, so that unsent bytes do not reach the target
// after the exchange was given up.
func (l *link) close() {
	l.stop()
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(lingerNone)
	}
	_ = l.Conn.Close()
}

// send writes a request. The error says whether it may have been sent.
func (c *Client) send(l *link, req *fasthttp.Request) *errs.Error {
	l.allow(c.cfg.WriteTimeout)
	_, err := req.WriteTo(l)
	if l.sent() {
		c.stats.Dispatched.Add(1)
	}
	switch {
	case err == nil:
		return nil
	case l.sent():
		return errs.Wrap(err, errs.TargetUnavailable, "request was not written completely").WithRan(errs.RanUnknown)
	default:
		return notRun(errs.Wrap(err, errs.TargetUnavailable, "request was not written"))
	}
}

// exchange sends a request and reads a whole response within a time limit.
func (c *Client) exchange(ctx context.Context, address string, req *fasthttp.Request, limit time.Duration, maxBody int) (*fasthttp.Response, *errs.Error) {
	l, failure := c.open(ctx, address)
	if failure != nil {
		return nil, failure
	}
	defer l.close()
	if failure := c.send(l, req); failure != nil {
		return nil, failure
	}
	l.allow(limit)
	resp := &fasthttp.Response{}
	if err := resp.ReadLimitBody(l.reader, maxBody); err != nil {
		return nil, errs.Wrap(err, errs.TargetUnavailable, "no complete response").WithRan(errs.RanUnknown)
	}
	return resp, nil
}

func newRequest(method, address, path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.SetUserAgent(userAgent)
	req.SetConnectionClose()
	return req
}

func notRun(e *errs.Error) *errs.Error { return e.WithRan(errs.RanNo) }
