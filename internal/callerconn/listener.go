// Package callerconn holds the connections of callers: it bounds their number and
// the time of each write, and tells when a caller has left while its request is
// being served.
package callerconn

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// sendBufferBytes bounds what the kernel keeps for a caller that does not read.
// Left to itself it grows to several megabytes, which hides the slow caller.
const sendBufferBytes = 64 << 10

// Limits of the input that is dropped after the last response.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 << 20
)

// Listener bounds the number of connections and the time of each write.
type Listener struct {
	net.Listener
	// Limit is the largest number of open connections.
	Limit int64
	// Stall is the time after which a write without progress fails.
	Stall time.Duration
	// Refusal is the whole response to a connection beyond the limit.
	Refusal []byte

	open atomic.Int64
}

// Accept returns the next connection within the limit. One beyond it gets a
// typed error and is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes)
		}
		if l.open.Add(1) <= l.Limit {
			return &Conn{Conn: c, from: l}, nil
		}
		l.open.Add(-1)
		l.refuse(c)
	}
}

func (l *Listener) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(l.Stall))
	_, _ = c.Write(l.Refusal)
	_ = c.Close()
}

// Conn is a caller's connection. A write without progress fails after a
// time, so that a caller that does not read holds nothing for long.
type Conn struct {
	net.Conn
	from   *Listener
	closed atomic.Bool
}

// Write writes within the stall limit.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.from.Stall))
	return c.Conn.Write(p)
}

// Close ends the connection. Its place is freed when it is closed completely.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		go c.linger()
	}
	return nil
}

// linger closes the sending side and drops what still arrives for a short
// time. Closing with unread input would reset the connection, and a caller that
// sent too much would lose the error response.
func (c *Conn) linger() {
	defer c.from.open.Add(-1)
	defer c.Conn.Close()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
}

// Gone reports whether the caller has closed its side. It peeks at the socket,
// because the HTTP server does not read while a request is in progress.
func (c *Conn) Gone() bool {
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
