package httpstore_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections to a backend and can make them stop responding.
type relay struct {
	listener net.Listener
	backend  string
	accepted atomic.Int32 // number of connections that were forwarded

	mu    sync.Mutex
	conns []net.Conn
	muted []*atomic.Bool // one for each forwarded client connection
}

// startRelay starts a relay to the backend address and closes it when the test ends.
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
		muted := new(atomic.Bool)
		r.mu.Lock()
		r.conns = append(r.conns, client, server)
		r.muted = append(r.muted, muted)
		r.mu.Unlock()
		go forward(server, client, muted)
		go forward(client, server, muted)
	}
}

// forward copies bytes until a read fails and discards them while muted is set.
func forward(to io.Writer, from io.Reader, muted *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !muted.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// muteConnections makes the open connections discard all further bytes without
// closing them. Later connections work.
func (r *relay) muteConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, muted := range r.muted {
		muted.Store(true)
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
