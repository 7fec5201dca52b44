//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// firstRetransmission is the time after which a kernel sends unacknowledged bytes of an
// established connection again. It doubles with each attempt.
const firstRetransmission = 200 * time.Millisecond

// link is a TCP proxy in front of a runner. While a machine is cut off from it, nothing passes on
// connections of the machine's process. As on a network, bytes that its kernel has accepted stay
// there, also after the process has closed the connection, and are sent again at growing
// intervals, so that they arrive some time after the end of the cut. A reset drops them. A
// connection that is opened during the cut never comes about: nothing that is written to it passes.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[*linkedConn]struct{}
	cut   *cut // nil while there is no cut
}

// cut is the time in which a machine is cut off.
type cut struct {
	sockets *sockets // of the machine's process
	healed  chan struct{}
}

// linkedConn is a connection through a link.
type linkedConn struct {
	from, to net.Conn

	mu  sync.Mutex
	cut *cut // of the machine that has opened it, nil if there was none so far
}

// cutNow returns the cut that the connection is under, nil if there is none.
func (c *linkedConn) cutNow() *cut {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut != nil {
		select {
		case <-c.cut.healed:
			return nil
		default:
		}
	}
	return c.cut
}

func (c *linkedConn) setCut(by *cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = by
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{listener: l, to: to, conns: map[*linkedConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *link) address() string { return p.listener.Addr().String() }

// cutOff begins a cut.
func (p *link) cutOff(by *cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = by
	for c := range p.conns {
		if by.sockets.has(c.from.RemoteAddr()) {
			c.setCut(by)
		}
	}
}

// heal ends the cut for new connections. Those that were cut go on once healed is closed.
func (p *link) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = nil
}

func (p *link) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn)
	}
}

func (p *link) join(from net.Conn) {
	p.mu.Lock()
	current := p.cut
	p.mu.Unlock()
	if current != nil && current.sockets.hasNew(from.RemoteAddr()) {
		<-current.healed
		_ = from.Close()
		return
	}
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &linkedConn{from: from, to: to}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	go c.passAnswers()
	c.passRequests()
}

// passRequests passes what the machine sends. What it sends during a cut arrives some time after
// it, also if the connection is closed meanwhile, unless it is reset.
func (c *linkedConn) passRequests() {
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.from.Read(buffer)
		by := c.cutNow()
		if by != nil {
			c.deliverLate(append([]byte(nil), buffer[:n]...), err, by)
			return
		}
		if n > 0 {
			if _, err := c.to.Write(buffer[:n]); err != nil {
				_ = c.from.Close()
			}
		}
		if err != nil {
			_ = c.to.Close()
			return
		}
	}
}

// deliverLate collects what is sent from the first bytes that are held up, and delivers it.
func (c *linkedConn) deliverLate(held []byte, ended error, by *cut) {
	first := time.Now()
	var mu sync.Mutex
	reset := errors.Is(ended, syscall.ECONNRESET)
	if ended == nil {
		go func() {
			buffer := make([]byte, 16<<10)
			for {
				n, err := c.from.Read(buffer)
				mu.Lock()
				held = append(held, buffer[:n]...)
				reset = reset || errors.Is(err, syscall.ECONNRESET)
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
	}
	<-by.healed
	time.Sleep(time.Until(retransmission(first, time.Now())))
	mu.Lock()
	defer mu.Unlock()
	if !reset {
		_, _ = c.to.Write(held)
		time.Sleep(answerTime)
	}
	_ = c.to.Close()
	_ = c.from.Close()
}

// answerTime is how long a runner has to answer what has arrived late. The connection is of no
// use to the machine then.
const answerTime = 100 * time.Millisecond

// passAnswers passes what the runner sends. During a cut it is lost.
func (c *linkedConn) passAnswers() {
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.to.Read(buffer)
		if c.cutNow() == nil && n > 0 {
			_, _ = c.from.Write(buffer[:n])
		}
		if err != nil {
			if by := c.cutNow(); by != nil {
				<-by.healed
			}
			_ = c.from.Close()
			return
		}
	}
}

// retransmission returns when bytes arrive that were first sent at a time: at the first
// retransmission after a time.
func retransmission(first, after time.Time) time.Time {
	at, interval := first, firstRetransmission
	for !at.After(after) {
		at, interval = at.Add(interval), 2*interval
	}
	return at
}

func (p *link) close() { _ = p.listener.Close() }

// sockets are the connections that a process has opened, by the system's list of connections and
// the files of the process, which the case has started.
type sockets struct {
	pid int

	mu      sync.Mutex
	takenAt time.Time
	locals  map[string]bool // local addresses
}

// has reports whether the process has opened a connection from an address.
func (s *sockets) has(address net.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locals == nil {
		s.refresh()
	}
	return s.locals[address.String()]
}

// hasNew is like has for a connection that was opened just now.
func (s *sockets) hasNew(address net.Addr) bool {
	asked := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takenAt.Before(asked) {
		s.refresh()
	}
	return s.locals[address.String()]
}

// refresh reads the connections of the process. The caller holds the lock.
func (s *sockets) refresh() {
	s.takenAt, s.locals = time.Now(), map[string]bool{}
	inodes := map[string]bool{}
	dir := filepath.Join("/proc", strconv.Itoa(s.pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); err == nil && found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 9 && inodes[fields[9]] {
			var ip [4]byte
			var port int
			if _, err := fmt.Sscanf(fields[1], "%02X%02X%02X%02X:%04X", &ip[3], &ip[2], &ip[1], &ip[0], &port); err == nil {
				s.locals[net.JoinHostPort(net.IP(ip[:]).String(), strconv.Itoa(port))] = true
			}
		}
	}
}
