// Package callerconn manages the connections of callers. It limits their
// number and the duration of each write, and detects that a caller has
// disconnected while its request is being served.
package callerconn

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"cicadaslip/internal/socketstate"
)

// sendBufferBytes limits the kernel's send buffer for a caller that does not
// read. Without a limit it grows to several megabytes, which hides a slow
// caller.
const sendBufferBytes = 64 << 10

// Limits for reading and discarding input after the last response.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 4 << 20
)

// Listener limits the number of open connections and the duration of each
// write.
type Listener struct {
	net.Listener
	// Limit is the maximum number of open connections.
	Limit int64
	// WriteTimeout limits each write to a connection.
	WriteTimeout time.Duration
	// RefusalResponse is the complete HTTP response sent to connections beyond
	// Limit.
	RefusalResponse []byte

	openConns atomic.Int64
}

// Accept returns the next connection within the limit. A connection beyond it
// is sent RefusalResponse and closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes)
		}
		if l.openConns.Add(1) <= l.Limit {
			return &Conn{Conn: c, listener: l}, nil
		}
		l.openConns.Add(-1)
		l.refuse(c)
	}
}

// refuse sends RefusalResponse and closes the connection.
func (l *Listener) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(l.WriteTimeout))
	_, _ = c.Write(l.RefusalResponse)
	_ = c.Close()
}

// Conn is a caller's connection. Writes fail after the listener's
// WriteTimeout, so that a caller that does not read cannot hold resources for
// long.
type Conn struct {
	net.Conn
	listener *Listener
	closed   atomic.Bool
}

// Write implements net.Conn. It fails if it does not complete within
// WriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.listener.WriteTimeout))
	return c.Conn.Write(p)
}

// Close implements net.Conn. It returns immediately; linger closes the
// connection in the background, and the connection counts towards the
// listener's limit until then.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		go c.linger()
	}
	return nil
}

// linger closes the sending side, discards input for up to lingerTimeout or
// maxLingerBytes, and closes the connection. Closing it with unread input
// would reset it, and a caller that sent too much would lose the error
// response.
func (c *Conn) linger() {
	defer c.listener.openConns.Add(-1)
	defer c.Conn.Close()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, tcp, maxLingerBytes)
}

// Disconnected reports whether the caller has closed its sending side, the
// connection has failed, or Close was called. It peeks at the socket, because
// the HTTP server does not read while a request is in progress.
func (c *Conn) Disconnected() bool {
	if c.closed.Load() {
		return true
	}
	return socketstate.Of(c.Conn) == socketstate.Closed
}
