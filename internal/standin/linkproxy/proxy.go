// Package linkproxy is a TCP proxy on loopback whose connections can be delayed,
// silenced, cut one way, partitioned and reset.
package linkproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
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
	cut    *partition // nil if there is none
}

// partition holds up what some clients send.
type partition struct {
	holds  func(sent []byte) bool
	healed chan struct{} // closed at the end of the partition
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
		delay, cut := p.delay, p.cut
		p.mu.Unlock()
		if lost {
			continue
		}
		if cut != nil && !answers && cut.holds(buffer[:n]) {
			deliverAfter(cut.healed, to, from, slices.Clone(buffer[:n]))
			break
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

// deliverAfter passes bytes, and those that follow them, once a partition has healed. As in the
// buffers of an operating system, they outlast the close of the connection but not its reset.
func deliverAfter(healed <-chan struct{}, to io.Writer, from net.Conn, held []byte) {
	ended := make(chan error, 1)
	go func() {
		more, err := io.ReadAll(from)
		held = append(held, more...)
		ended <- err
	}()
	<-healed
	_ = from.SetReadDeadline(time.Now())
	err := <-ended
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline may have hidden a reset that had arrived before.
		_ = from.SetReadDeadline(time.Now().Add(resetWait))
		var more []byte
		more, err = io.ReadAll(from)
		held = append(held, more...)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		_, _ = to.Write(held)
	}
}

// resetWait is how long after the end of a partition a connection is looked at for a reset.
const resetWait = 10 * time.Millisecond

// Partition begins a partition of the clients whose requests are held, none if holds is nil, and
// ends the one before. What is held, and what follows it on its connection, arrives after the end
// of the partition, unless the client has reset the connection. The connection is closed then.
func (p *Proxy) Partition(holds func(sent []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != nil {
		close(p.cut.healed)
		p.cut = nil
	}
	if holds != nil {
		p.cut = &partition{holds, make(chan struct{})}
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
	p.Partition(nil)
	p.Reset()
}
