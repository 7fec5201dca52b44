// Package callerconn manages the connections of callers. It limits their
// number and the duration of each write, and detects that a caller has
// disconnected while its request is being served.
package callerconn

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
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

// Limits bounds how long a caller may take.
type Limits struct {
	First  time.Duration // from the opening of a connection to the first byte of a request
	Idle   time.Duration // from the end of a response to the first byte of the next request
	Header time.Duration // from the first byte of a request to the end of its header
}

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
	// Limits returns the current time limits of callers. They hold if the HTTP server calls
	// TrackState and sets no timeouts of its own. If it is nil, there are none.
	Limits func() Limits

	openConns atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{} // not closed yet
	ended bool               // Shutdown was called
}

// closePollInterval is the time between two looks of Shutdown for idle connections.
const closePollInterval = 10 * time.Millisecond

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
			conn := &Conn{Conn: c, listener: l}
			conn.BeginIdle()
			if l.add(conn) {
				return conn, nil
			}
			_ = conn.Close() // nothing has been read from it
			continue
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

// add records an accepted connection. It returns false if Shutdown was called, which may miss it.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Shutdown closes the listener, and each connection once nothing of a request has been read
// from it that is not answered. It returns the error of ctx if that ends first.
//
// The HTTP library's own shutdown drops a request that it has read but not begun to handle.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	_ = l.Close() // it may be closed already
	for l.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(closePollInterval):
		}
	}
	return nil
}

// Busy returns the number of open connections of which no Read waits for the next request.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := 0
	for c := range l.conns {
		if !c.unread.Load() {
			busy++
		}
	}
	return busy
}

// closeIdle closes the idle connections and returns the number of the others.
func (l *Listener) closeIdle() int {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	left := 0
	for _, c := range conns {
		if !c.closeUnread() {
			left++
		}
	}
	return left
}
