package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
)

// Limits of a server.
const (
	// MaxConnections is the maximum number of authenticated connections. It leaves
	// a margin over two connections from each VM of a deployment with 350 VMs.
	MaxConnections = 1024
	// MaxHandshakes is the maximum number of connections that are not yet
	// authenticated.
	MaxHandshakes = 64
	// MaxCallsPerConnection is the maximum number of concurrent calls on one
	// connection. Further calls fail with errs.Overloaded and do not run.
	MaxCallsPerConnection = 4096
	// handshakeTimeout limits the TLS handshake of an accepted connection.
	handshakeTimeout = 5 * time.Second
	// serverIdleTimeout is the time without calls or probes after which the server
	// closes a connection. It exceeds the default of ClientSettings.IdleTimeout, so
	// that the client closes an idle connection first.
	serverIdleTimeout = 2 * time.Minute
	// acceptRetryDelay is the pause after a failure to accept a connection.
	acceptRetryDelay = 10 * time.Millisecond
)

// ServerStats contain the number of open connections, and the numbers of refused
// connections since the server started.
type ServerStats struct {
	Connections      int64 // currently open and authenticated
	RefusedOverLimit int64 // refused because MaxConnections or MaxHandshakes was reached
	FailedHandshakes int64 // refused because the TLS handshake failed
}

// Server accepts authenticated connections and serves registered services.
type Server struct {
	rpc            *rpc.Server
	clock          Clock
	tlsConfig      *tls.Config
	listener       net.Listener
	handshakeSlots chan struct{}
	mu             sync.Mutex
	connections    map[net.Conn]struct{}
	closed         bool
	stats          struct{ connections, refusedOverLimit, failedHandshakes atomic.Int64 }
	acceptLoopDone sync.WaitGroup
}

// Listen returns a server that is bound to an "ip:port" address. With port 0 the
// kernel chooses the port. Calls that arrive before Serve is called wait. If
// credentials is nil, the server uses plain TCP.
func Listen(addr string, credentials *Credentials, clock Clock) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidSettings, "listen for peer connections on "+addr)
	}
	s := &Server{
		rpc: rpc.NewServer(), clock: clock, listener: listener,
		handshakeSlots: make(chan struct{}, MaxHandshakes), connections: map[net.Conn]struct{}{},
	}
	if credentials != nil {
		s.tlsConfig = credentials.tlsConfig()
	}
	if err := s.rpc.RegisterName(probeService, &probeResponder{}); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "register the probe service")
	}
	return s, nil
}

// Register adds a net/rpc service under a name. It must be called before Serve.
// Methods of the service report a failure in a typed field of the reply and return
// nil.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return errs.Wrap(err, errs.Internal, "register the service "+name)
	}
	return nil
}

// Addr returns the bound "ip:port" address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve starts to accept connections in the background, until Close is called.
func (s *Server) Serve() { s.acceptLoopDone.Go(s.acceptLoop) }

// Stats returns a copy of the counters.
func (s *Server) Stats() ServerStats {
	return ServerStats{
		Connections:      s.stats.connections.Load(),
		RefusedOverLimit: s.stats.refusedOverLimit.Load(), FailedHandshakes: s.stats.failedHandshakes.Load(),
	}
}

// Close stops the server and closes all connections. It does not wait for running
// calls, because net/rpc cannot cancel them; their replies are lost.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.connections {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.acceptLoopDone.Wait()
}

// acceptLoop accepts connections until the server is closed. It refuses a
// connection while MaxHandshakes handshakes are in progress.
func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			// Accept fails temporarily while the process has no free file
			// descriptor.
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.handshakeSlots <- struct{}{}:
			if !s.track(conn) {
				<-s.handshakeSlots
				continue
			}
			go s.serveConn(conn)
		default:
			s.stats.refusedOverLimit.Add(1)
			_ = conn.Close()
		}
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track adds a connection to the open connections and reports true. If the server
// is closed or the limit is reached, it closes the connection and reports false.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.connections) >= MaxConnections+MaxHandshakes {
		s.stats.refusedOverLimit.Add(1)
		_ = conn.Close()
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

// untrack removes a connection from the open connections and closes it.
func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.connections, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

// serveConn authenticates a connection and serves calls on it until it ends.
func (s *Server) serveConn(conn net.Conn) {
	defer s.untrack(conn)
	authenticated, err := s.authenticate(conn)
	<-s.handshakeSlots
	if err != nil {
		s.stats.failedHandshakes.Add(1)
		return
	}
	defer s.stats.connections.Add(-1)
	if s.stats.connections.Add(1) > MaxConnections {
		s.stats.refusedOverLimit.Add(1)
		return
	}
	s.rpc.ServeCodec(&serverCodec{stream: newStream(authenticated, s.clock)})
}

// authenticate performs the TLS handshake and returns the TLS connection. Without
// credentials it returns conn itself.
func (s *Server) authenticate(conn net.Conn) (net.Conn, error) {
	if s.tlsConfig == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(conn, s.tlsConfig)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}
