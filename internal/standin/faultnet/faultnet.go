package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener tracks the open connections of a server so that a fault can make
// them silent: what is written is dropped and what arrives is not read.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a listener that tracks its connections.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*Conn]struct{}{}}
}

// Accept returns the next connection and tracks it.
func (s *Listener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &Conn{Conn: c, set: s}
	s.mu.Lock()
	s.conns[fc] = struct{}{}
	s.mu.Unlock()
	return fc, nil
}

// SilenceAll makes all open connections silent for ever. New ones work.
func (s *Listener) SilenceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// CloseAll closes all open connections.
func (s *Listener) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Conn.Close()
	}
}

// Conn is a connection that can become silent.
type Conn struct {
	net.Conn
	set    *Listener
	silent atomic.Bool
}

// Read reads, and drops what arrives on a silent connection.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes, and drops the data on a silent connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent one stays open until the process ends
// or the other side closes it, because closing it would end the silence.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	delete(c.set.conns, c)
	c.set.mu.Unlock()
	if c.silent.Load() {
		go c.closeAfterPeer()
		return nil
	}
	return c.Conn.Close()
}

// Silence makes this connection silent for ever.
func (c *Conn) Silence() { c.silent.Store(true) }

func (c *Conn) closeAfterPeer() {
	buf := make([]byte, 1)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}

// Quiet is a logger of an HTTP server that drops everything: the connections
// that faults close are expected.
type Quiet struct{}

// Printf drops a line.
func (Quiet) Printf(string, ...any) {}
