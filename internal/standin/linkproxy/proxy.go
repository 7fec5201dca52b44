// Package linkproxy is a TCP proxy on loopback whose connections can be delayed,
// silenced, cut one way and reset.
package linkproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy passes connections to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	silent bool // bytes are dropped in both directions
	oneWay bool // bytes of answers are dropped
	delay  time.Duration
}

// New returns a proxy to an address.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the ip:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn)
	}
}

func (p *Proxy) join(from net.Conn) {
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = from.Close()
		return
	}
	p.track(from, to)
	go p.pass(to, from, false)
	p.pass(from, to, true)
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

// pass copies bytes until one side ends. What is silenced is dropped for good, as
// by a box in between that has lost track of the connection.
func (p *Proxy) pass(to io.Writer, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		p.mu.Lock()
		lost = lost || p.silent || p.oneWay && answers
		delay := p.delay
		p.mu.Unlock()
		if lost {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if lost {
		return // the other side hears nothing of the end
	}
	for _, c := range []any{to, from} {
		_ = c.(net.Conn).Close()
	}
}

// Set makes the connections misbehave from now on: silent drops what is passed in
// both directions, oneWay the answers.
func (p *Proxy) Set(silent, oneWay bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.oneWay, p.delay = silent, oneWay, delay
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}
