package frontend

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"cicadaslip/internal/errs"
)

// sendBufferBytes bounds what the kernel keeps for a caller that does not read.
// Left to itself it grows to several megabytes, which hides the slow caller.
const sendBufferBytes = 64 << 10

// Limits of the input that is dropped after the last response.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 << 20
)

// listener bounds the number of connections and the time of each write.
type listener struct {
	net.Listener
	open  atomic.Int64
	limit int64
	stall time.Duration
}

// Accept returns the next connection within the limit. One beyond it gets a
// typed error and is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes)
		}
		if l.open.Add(1) <= l.limit {
			return &callerConn{Conn: c, from: l}, nil
		}
		l.open.Add(-1)
		refuseConn(c, l.stall)
	}
}

func refuseConn(c net.Conn, stall time.Duration) {
	status, _, body := renderError(errs.NotRun(errs.Overloaded, "too many connections").WithRetry(time.Second))
	_ = c.SetWriteDeadline(time.Now().Add(stall))
	_, _ = c.Write(plainResponse(status, body))
	_ = c.Close()
}

// callerConn is a caller's connection. A write without progress fails after a
// time, so that a caller that does not read holds nothing for long.
type callerConn struct {
	net.Conn
	from   *listener
	closed atomic.Bool
}

// Write writes within the stall limit.
func (c *callerConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.from.stall))
	return c.Conn.Write(p)
}

// Close ends the connection. Its place is freed when it is closed completely.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		go c.linger()
	}
	return nil
}

// linger closes the sending side and drops what still arrives for a short
// time. Closing with unread input would reset the connection, and a caller that
// sent too much would lose the error response.
func (c *callerConn) linger() {
	defer c.from.open.Add(-1)
	defer c.Conn.Close()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
}

// gone reports whether the caller has closed its side. It peeks at the socket,
// because the HTTP server does not read while a request is in progress.
func (c *callerConn) gone() bool {
	if c.closed.Load() {
		return true
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			ended = n == 0
		case syscall.EAGAIN, syscall.EINTR:
		default:
			ended = true
		}
	})
	return ended || err != nil
}
