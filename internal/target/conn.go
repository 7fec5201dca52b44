package target

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/delivery"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/socketstate"
)

// trackedConn is a connection that serves a single request. It records whether
// any byte was handed to the operating system and can be aborted from another
// goroutine.
type trackedConn struct {
	net.Conn
	reader            *bufio.Reader
	stopAbortOnCancel func() bool // detaches the connection from the context that aborts it
	mu                sync.Mutex
	aborted           bool
	anyWritten        bool // at least one byte was handed to the operating system
}

// dial establishes a connection that is aborted when ctx ends. If it returns an
// error, no byte was sent.
func (c *Client) dial(ctx context.Context, address string) (*trackedConn, *errs.Error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	netConn, err := c.cfg.Dial(dialCtx, networkTCP, address)
	if err != nil {
		return nil, asNotRun(errs.Wrap(err, errs.TargetUnavailable, "connection to target could not be established"))
	}
	if socketstate.Of(netConn) != socketstate.Idle {
		_ = netConn.Close()
		return nil, asNotRun(errs.New(errs.TargetUnavailable, "target answered before the request, or closed the connection"))
	}
	if tcp, ok := netConn.(*net.TCPConn); ok {
		// Neither requests nor orders arrive once they were given up.
		if err := delivery.Bound(tcp, c.cfg.WriteTimeout); err != nil {
			_ = netConn.Close()
			return nil, asNotRun(errs.Wrap(err, errs.TargetUnavailable, "the arrival of a request can't be bounded"))
		}
	}
	conn := &trackedConn{Conn: netConn}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	conn.stopAbortOnCancel = context.AfterFunc(ctx, conn.abort)
	return conn, nil
}

// Write writes p and records whether any byte of it may have been sent.
func (conn *trackedConn) Write(p []byte) (int, error) {
	n, err := conn.Conn.Write(p)
	conn.mu.Lock()
	conn.anyWritten = conn.anyWritten || n > 0
	conn.mu.Unlock()
	return n, err
}

// sent reports whether any byte was handed to the operating system.
func (conn *trackedConn) sent() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.anyWritten
}

// abort makes all pending and later reads and writes fail.
func (conn *trackedConn) abort() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.aborted = true
	_ = conn.Conn.SetDeadline(time.Unix(expiredDeadlineUnixSeconds, 0))
}

// setTimeout makes reads and writes fail from d after now on. It has no effect
// on an aborted connection.
func (conn *trackedConn) setTimeout(d time.Duration) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.aborted {
		_ = conn.Conn.SetDeadline(time.Now().Add(d))
	}
}

// close resets the connection, so that bytes not yet sent do not reach the
// target after the request was given up.
func (conn *trackedConn) close() {
	conn.stopAbortOnCancel()
	_ = conn.Conn.Close()
}

// send writes a request. The Ran field of the error says whether any part of the
// request may have been sent.
func (c *Client) send(conn *trackedConn, req *fasthttp.Request) *errs.Error {
	conn.setTimeout(c.cfg.WriteTimeout)
	_, err := req.WriteTo(conn)
	if conn.sent() {
		c.stats.Dispatched.Add(1)
	}
	switch {
	case err == nil:
		return nil
	case conn.sent():
		return errs.Wrap(err, errs.TargetUnavailable, "request was written only in part").WithRan(errs.RanUnknown)
	default:
		return asNotRun(errs.Wrap(err, errs.TargetUnavailable, "request was not written"))
	}
}

// roundTrip sends a request on a new connection and reads the whole response.
// responseTimeout limits the time from the end of the request to the end of the
// response.
func (c *Client) roundTrip(ctx context.Context, address string, req *fasthttp.Request, responseTimeout time.Duration, maxBodyBytes int) (*fasthttp.Response, *errs.Error) {
	conn, failure := c.dial(ctx, address)
	if failure != nil {
		return nil, failure
	}
	defer conn.close()
	if failure := c.send(conn, req); failure != nil {
		return nil, failure
	}
	conn.setTimeout(responseTimeout)
	resp := &fasthttp.Response{}
	if err := resp.ReadLimitBody(conn.reader, maxBodyBytes); err != nil {
		return nil, errs.Wrap(err, errs.TargetUnavailable, "target sent no complete response").WithRan(errs.RanUnknown)
	}
	if !httpfields.FinalStatus(resp.StatusCode()) {
		return nil, errs.New(errs.WrongAnswer, "target sent status "+strconv.Itoa(resp.StatusCode())+", which is no final answer").WithRan(errs.RanUnknown)
	}
	return resp, nil
}

// newRequest returns a request that asks the target to close the connection
// after its response.
func newRequest(method, address, path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.SetUserAgent(userAgent)
	req.SetConnectionClose()
	return req
}

// asNotRun returns a copy of e for a request that certainly did not run.
func asNotRun(e *errs.Error) *errs.Error { return e.WithRan(errs.RanNo) }
