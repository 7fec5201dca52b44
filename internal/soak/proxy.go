package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a TCP proxy to one address whose connections can misbehave.
type proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	silent bool // bytes are dropped in both directions
	oneWay bool // bytes of answers are dropped
	delay  time.Duration
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn)
	}
}

func (p *proxy) join(from net.Conn) {
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = from.Close()
		return
	}
	p.track(from, to)
	go p.pass(to, from, false)
	p.pass(from, to, true)
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

// pass copies bytes until one side ends. What is silenced is dropped for good, as
// by a box in between that has lost track of the connection.
func (p *proxy) pass(to io.Writer, from net.Conn, answers bool) {
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

// set makes the connections misbehave from now on.
func (p *proxy) set(silent, oneWay bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.oneWay, p.delay = silent, oneWay, delay
}

// reset resets all open connections.
func (p *proxy) reset() {
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

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
