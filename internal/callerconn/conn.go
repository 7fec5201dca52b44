package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/membudget"
	"cicadaslip/internal/socketstate"
)

// lateInputTime is the time to read input that was there when its time limit ended, as
// after a pause of the process.
const lateInputTime = 100 * time.Millisecond

// maxWriteBytes is the size of the parts in which an answer is written, so that a caller that reads it
// steadily does not count as slow. It is that of the send buffer.
const maxWriteBytes = sendBufferBytes

// Conn is a caller's connection. Writes fail after the listener's
// WriteTimeout, so that a caller that does not read cannot hold resources for
// long.
type Conn struct {
	net.Conn
	// Memory accounts for what is held for the connection besides its buffers. It is released
	// at the end of each request.
	Memory membudget.Account

	listener  *Listener
	cut       atomic.Bool // cutOff was called for a caller
	targetCut atomic.Pointer[func()]
	closed    atomic.Bool
	idle      atomic.Bool // no byte of the next request has been read
	unread    atomic.Bool // a Read waits for the next request, of which nothing has arrived
	idleSince time.Time   // when the wait for it began
	// unreadSince is when the wait for the next request began, in nanoseconds of Unix time.
	unreadSince atomic.Int64
	requests    int   // that have begun
	received    int64 // bytes read since the last answer
	lateInput   bool  // the current time limit has ended while input was there

	unparsed   headSize // of the input that the HTTP server had buffered after the last read
	headMemory int64    // reserved for the head of the current request
	inBody     bool     // the body of the current request is being read
}

// TrackState tells a connection of a Listener when a request begins and ends. It is the
// ConnState function of the HTTP server.
func TrackState(c net.Conn, state fasthttp.ConnState) {
	conn, ok := c.(*Conn)
	switch {
	case !ok:
	case state == fasthttp.StateActive:
		conn.BeginRequest()
	case state == fasthttp.StateIdle:
		conn.BeginIdle()
	}
}

// SendAtOnce makes the HTTP server send the response to a request as soon as it is there. The
// server would hold it back while a further request waits on the connection, unless the handler
// has set the write deadline, whatever that is.
func SendAtOnce(ctx *fasthttp.RequestCtx) { _ = ctx.SetWriteDeadline(time.Time{}) }

// BeginIdle starts the wait for the next request. It is limited by the listener's Limits.
func (c *Conn) BeginIdle() {
	c.Memory.Release()
	c.headMemory = 0
	if c.targetCut.Load() != nil {
		c.targetCut.Store(nil)
	}
	if c.listener.Limits == nil {
		return
	}
	c.idle.Store(true)
	c.lateInput = false
	c.received = 0
	c.idleSince = time.Now()
	c.unreadSince.Store(c.idleSince.UnixNano())
	_ = c.Conn.SetReadDeadline(c.idleEnd())
}

// idleEnd returns the end of the current wait under the current limits.
func (c *Conn) idleEnd() time.Time {
	limits := c.listener.Limits()
	if c.requests > 0 {
		return c.idleSince.Add(limits.Idle)
	}
	return c.idleSince.Add(limits.First)
}

// BeginRequest starts the time limit for the header of a request, whose first byte has
// arrived.
func (c *Conn) BeginRequest() {
	if c.listener.Limits == nil {
		return
	}
	c.idle.Store(false)
	c.requests++
	c.lateInput = false
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.Limits().Header))
}

// Read implements net.Conn. While no request has begun, any failure is io.EOF, so that the
// HTTP server closes the connection without a response.
func (c *Conn) Read(p []byte) (int, error) {
	p, buffered := c.limitRead(p)
	if err := c.checkTrailer(buffered); err != nil {
		return 0, err
	}
	for {
		n, err := 0, error(nil)
		if c.idle.Load() {
			err = c.awaitInput()
		}
		if err == nil {
			began := time.Now()
			c.Memory.AwaitsCaller(began)
			n, err = c.Conn.Read(p)
			c.Memory.HasInput(began, time.Now(), n)
		}
		switch {
		case c.cut.Load() && !c.idle.Load():
			return 0, ErrCutOff
		case n > 0:
			c.idle.Store(false)
			c.received += int64(n)
			if err := c.reserveInput(p[:n], buffered); err != nil {
				return 0, err
			}
			return n, err
		case err == nil:
			return n, err
		case errors.Is(err, os.ErrDeadlineExceeded) && c.extendWait():
			continue
		case c.idle.Load():
			return 0, io.EOF
		}
		return n, err
	}
}

// awaitInput waits until there is input, without reading it. Meanwhile the connection may be
// closed by closeUnread.
func (c *Conn) awaitInput() error {
	c.unread.Store(true)
	err := socketstate.Await(c.Conn)
	if !c.unread.Swap(false) {
		return net.ErrClosed
	}
	return err
}

// closeUnread closes the connection if nothing of its next request has been read, and
// reports whether it has done so. A request that crosses this stays unread.
func (c *Conn) closeUnread() bool {
	if !c.unread.Swap(false) {
		return false
	}
	_ = c.Close()
	return true
}

// extendWait moves the read deadline if the time limit has become longer since the
// connection is idle, or if input is there that was not read in time. It reports whether it
// has done so.
func (c *Conn) extendWait() bool {
	if !c.lateInput && socketstate.Of(c.Conn) == socketstate.Readable {
		c.lateInput = true
		return c.Conn.SetReadDeadline(time.Now().Add(lateInputTime)) == nil
	}
	if !c.idle.Load() {
		return false
	}
	end := c.idleEnd()
	return time.Until(end) > 0 && c.Conn.SetReadDeadline(end) == nil
}

// Write implements net.Conn. It fails if it does not complete within
// WriteTimeout.
func (c *Conn) Write(p []byte) (written int, err error) {
	since := time.Now()
	_ = c.SetWriteDeadline(since.Add(c.listener.WriteTimeout))
	c.Memory.ReadsSlowly(since)
	defer c.Memory.ReadsSlowly(time.Time{})
	for {
		n, err := c.Conn.Write(p[:min(len(p), maxWriteBytes)])
		if written += n; err != nil || n == len(p) {
			return written, err
		}
		p = p[n:]
		since = c.Memory.HasRead(since, time.Now(), n)
	}
}

// ErrCutOff is the error of a read after the connection was cut off because memory or connections are
// short.
var ErrCutOff = errs.NotRun(errs.Overloaded, "the caller was slow, and memory or connections are short")

// CutOff reports whether the connection was cut off because memory or connections are short.
func (c *Conn) CutOff() bool { return c.cut.Load() }

// OnTargetCut sets what ends the current request if memory is short and its target does not read
// it. It holds until the end of the request.
func (c *Conn) OnTargetCut(f func()) { c.targetCut.Store(&f) }

// cutOff ends the connection, or its request, because memory or connections are short. A caller that sends can still be answered.
// The connection of one that reads is reset, so that its answer does not look complete.
func (c *Conn) cutOff(peer membudget.Peer) {
	if peer == membudget.Target {
		if f := c.targetCut.Load(); f != nil {
			(*f)()
		}
		return
	}
	c.cut.Store(true)
	if peer == membudget.Sender {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn. It returns immediately; linger closes the
// connection in the background, and the connection counts towards the
// listener's limit until then. An idle connection is closed at once: a request that crosses
// the close stays unread, which its caller can tell from the reset.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.Memory.Close()
	c.listener.remove(c)
	if c.idle.Load() {
		defer c.listener.openConns.Add(-1)
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger closes the connection once its caller has had time to read the response.
func (c *Conn) linger() {
	defer c.listener.openConns.Add(-1)
	discardInput(c.Conn)
}

// discardInput closes the sending side, discards input for up to lingerTimeout or
// maxLingerBytes, and closes the connection. Closing it with unread input
// would reset it, and a caller that sent too much would lose the error
// response.
func discardInput(c net.Conn) {
	defer func() { _ = c.Close() }()
	tcp, ok := c.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, tcp, maxLingerBytes)
}

// Received returns how many requests have begun on the connection, and the number of bytes that
// were read since the last answer. Only the goroutine that reads may call it.
func (c *Conn) Received() (requests int, bytes int64) { return c.requests, c.received }

// Disconnected reports whether the caller has closed its sending side, the
// connection has failed, or Close was called. It peeks at the socket, because
// the HTTP server does not read while a request is in progress.
func (c *Conn) Disconnected() bool {
	if c.closed.Load() {
		return true
	}
	return socketstate.Of(c.Conn) == socketstate.Closed
}
