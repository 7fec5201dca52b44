package httpstore_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections. silence makes the present connections drop
// all further bytes without closing, while new connections work.
type relay struct {
	listener net.Listener
	backend  string
	accepted atomic.Int32

	mu    sync.Mutex
	conns []net.Conn
	mute  []*atomic.Bool
}

func startRelay(t *testing.T, backend string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, backend: backend}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.backend)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.accepted.Add(1)
		mute := new(atomic.Bool)
		r.mu.Lock()
		r.conns = append(r.conns, client, server)
		r.mute = append(r.mute, mute)
		r.mu.Unlock()
		go forward(server, client, mute)
		go forward(client, server, mute)
	}
}

func forward(to io.Writer, from io.Reader, mute *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !mute.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mute := range r.mute {
		mute.Store(true)
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}
