//go:build review

package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// maxLost is the number of requests of one machine that the rule LOST allows to be lost.
const maxLost = 3

// keptConn is a connection of a client that is used again.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	used   int // requests that were answered on it
}

// keptCallers send requests on kept connections.
type keptCallers struct {
	answers tally

	mu     sync.Mutex
	idle   map[*vm][]*keptConn
	closed map[string]*vm // requests on kept connections that were closed without a byte of an answer, by id
}

func newKeptCallers(rec *record) *keptCallers {
	return &keptCallers{answers: tally{record: rec}, idle: map[*vm][]*keptConn{}, closed: map[string]*vm{}}
}

// connect returns an idle connection to a machine, or a new one.
func (k *keptCallers) connect(v *vm) (*keptConn, error) {
	k.mu.Lock()
	if conns := k.idle[v]; len(conns) > 0 {
		c := conns[len(conns)-1]
		k.idle[v] = conns[:len(conns)-1]
		k.mu.Unlock()
		return c, nil
	}
	k.mu.Unlock()
	conn, err := net.DialTimeout("tcp", v.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// ask sends a request to a machine and notes the answer.
func (k *keptCallers) ask(v *vm, q request) {
	began := time.Now()
	c, err := k.connect(v)
	if err != nil {
		k.answers.note(v, q, answer{took: time.Since(began)})
		return
	}
	_ = c.SetDeadline(began.Add(q.deadline))
	_, err = io.WriteString(c, q.head())
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		_ = c.Close()
		k.answers.note(v, q, answer{took: time.Since(began)})
		if c.used > 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.closed[q.id] = v
		}
		return
	}
	a := answer{}
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		a.status, a.whole = resp.StatusCode, err == nil
	}
	a.took = time.Since(began)
	k.answers.note(v, q, a)
	if err != nil || resp.Close {
		_ = c.Close()
		return
	}
	c.used++
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle[v] = append(k.idle[v], c)
}

// lost reports whether a machine closed kept connections without an answer, more often than the rule
// allows, after it had passed their requests on to a runner.
func (k *keptCallers) lost(d *deployment) bool {
	ran := map[string]bool{}
	for _, t := range d.engines {
		for _, r := range t.Runs() {
			ran[r.ID] = true
		}
	}
	counts := map[*vm]int{}
	for id, v := range k.closed {
		if ran[id] {
			counts[v]++
			d.record.printf("  LOST: %s was passed on by %s, whose connection was closed without an answer", id, v.name)
		}
	}
	broken := false
	for _, v := range d.vms {
		d.record.printf("%s has lost %d requests", v.name, counts[v])
		broken = broken || counts[v] > maxLost
	}
	return broken
}
