// Package callerconn manages the connections of callers. It limits their
// number and the duration of each write, and detects that a caller has
// disconnected while its request is being served.
package callerconn

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/membudget"
)

// sendBufferBytes limits the kernel's send buffer for a caller that does not
// read. Without a limit it grows to several megabytes, which hides a slow
// caller.
const sendBufferBytes = 64 << 10

// receiveBufferBytes limits the kernel's receive buffer for a caller whose input is not read
// because memory is short. Without a limit it grows to several megabytes.
const receiveBufferBytes = 64 << 10

// maxRefusing limits the refused connections that are open. They come on top of Limit.
const maxRefusing = 32

const (
	// minIdle is the time for which a connection must be idle before another one may replace it.
	minIdle = time.Second
	// idleSearchInterval is the least time between two searches for idle connections, because
	// each looks at all connections.
	idleSearchInterval = 5 * time.Millisecond
	// maxReplaceable is how many idle connections a search finds. Callers that lose another VM open
	// hundreds of connections within some milliseconds.
	maxReplaceable = 64
)

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
	// Memory limits what is held for the connections. If it is nil, there is no limit.
	Memory *membudget.Budget
	// ReadBufferBytes is the size of the HTTP server's read buffers. If it is 0, the memory that heads
	// and trailers take is not limited.
	ReadBufferBytes int

	openConns  atomic.Int64
	refused    atomic.Int64
	refusing   atomic.Int64 // refused connections that are open
	soughtIdle time.Time    // when closeLongestIdle searched last, used by Accept only
	replace    []*Conn      // that were found, the longest idle one first, used by Accept only

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
		if l.openConns.Add(1) > l.Limit {
			l.closeLongestIdle()
		}
		conn := &Conn{Conn: c, listener: l}
		if l.openConns.Load() <= l.Limit && l.openAccount(conn) {
			conn.BeginIdle()
			if l.add(conn) {
				return conn, nil
			}
			_ = conn.Close() // nothing has been read from it
			continue
		}
		l.openConns.Add(-1)
		l.refused.Add(1)
		l.refuse(c)
	}
}

// openAccount takes the memory of a connection from the budget. It reports false if there is
// none.
func (l *Listener) openAccount(c *Conn) bool {
	if l.Memory == nil {
		return true
	}
	var address netip.Addr
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferBytes)
		if remote, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
			address = remote.AddrPort().Addr().Unmap()
		}
	}
	if l.Memory.Open(&c.Memory, address, c.cutOff) {
		return true
	}
	l.closeLongestIdle()
	return l.Memory.Open(&c.Memory, address, c.cutOff)
}

// closeLongestIdle closes the connection that has been idle for the longest time, if that is at
// least minIdle, so that callers which keep connections without use do not keep others out.
func (l *Listener) closeLongestIdle() {
	now := time.Now()
	since := now.Add(-minIdle).UnixNano()
	if now.Sub(l.soughtIdle) >= idleSearchInterval {
		l.soughtIdle = now
		l.findIdle(since)
	}
	for len(l.replace) > 0 {
		longest := l.replace[0]
		l.replace = l.replace[1:]
		if longest.unreadSince.Load() < since && longest.closeUnread() {
			return
		}
	}
}

// findIdle sets replace to the connections that have been idle since before a time, in nanoseconds
// of Unix time, at most maxReplaceable of them.
func (l *Listener) findIdle(since int64) {
	type idleConn struct {
		conn  *Conn
		since int64
	}
	var found []idleConn
	l.mu.Lock()
	for c := range l.conns {
		at := c.unreadSince.Load()
		if !c.unread.Load() || at >= since || len(found) == maxReplaceable && at >= found[len(found)-1].since {
			continue
		}
		i, _ := slices.BinarySearchFunc(found, at, func(other idleConn, at int64) int { return cmp.Compare(other.since, at) })
		found = slices.Insert(found[:min(len(found), maxReplaceable-1)], i, idleConn{c, at})
	}
	l.mu.Unlock()
	l.replace = nil
	for _, f := range found {
		l.replace = append(l.replace, f.conn)
	}
}

// refuse sends RefusalResponse and closes the connection. For a few connections at a time it
// discards what the caller has sent before, because unread input would reset the connection and
// the caller could lose the response.
func (l *Listener) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(l.WriteTimeout))
	_, _ = c.Write(l.RefusalResponse)
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		discardInput(c)
	}()
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

// Open returns the number of open connections, with those that are being closed.
func (l *Listener) Open() int64 { return l.openConns.Load() }

// Refused returns the number of connections refused since the start.
func (l *Listener) Refused() int64 { return l.refused.Load() }

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
