package runner

import (
	"net"
	"sync"
	"sync/atomic"
)

// connSet tracks the open connections of a server so that a fault can make
// them silent: what is written is dropped and what arrives is not read.
type connSet struct {
	net.Listener
	mu    sync.Mutex
	conns map[*faultConn]struct{}
}

func newConnSet(l net.Listener) *connSet {
	return &connSet{Listener: l, conns: map[*faultConn]struct{}{}}
}

// Accept returns the next connection and tracks it.
func (s *connSet) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &faultConn{Conn: c, set: s}
	s.mu.Lock()
	s.conns[fc] = struct{}{}
	s.mu.Unlock()
	return fc, nil
}

func (s *connSet) silenceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Conn.Close()
	}
}

type faultConn struct {
	net.Conn
	set    *connSet
	silent atomic.Bool
}

// Read reads, and drops what arrives on a silent connection.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes, and drops the data on a silent connection.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent one stays open until the process ends
// or the other side closes it, because closing it would end the silence.
func (c *faultConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.conns, c)
	c.set.mu.Unlock()
	if c.silent.Load() {
		go c.closeAfterPeer()
		return nil
	}
	return c.Conn.Close()
}

func (c *faultConn) closeAfterPeer() {
	buf := make([]byte, 1)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}
