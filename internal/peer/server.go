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

// Bounds of a server.
const (
	// MaxConnections is the largest number of authenticated connections. It
	// holds two per VM at the large size (350 VMs) with margin.
	MaxConnections = 1024
	// MaxHandshakes is the largest number of connections that are not yet
	// authenticated.
	MaxHandshakes = 64
	// MaxCallsPerConnection is the largest number of concurrent calls of one
	// connection. Further calls fail with errs.Overloaded and do not run.
	MaxCallsPerConnection = 4096
	handshakeTimeout      = 5 * time.Second
	// serverIdleTimeout closes a connection without messages. It is longer than
	// the clients' idle limit, so that clients close first.
	serverIdleTimeout = 2 * time.Minute
	acceptRetry       = 10 * time.Millisecond
)

// ServerStats count what a server refused since it started.
type ServerStats struct {
	Connections     int64 // open and authenticated
	RefusedLimit    int64 // over MaxConnections or MaxHandshakes
	RefusedIdentity int64 // failed handshakes
}

// Server accepts authenticated connections and serves registered services.
type Server struct {
	rpc        *rpc.Server
	clock      Clock
	tls        *tls.Config
	listener   net.Listener
	handshakes chan struct{}
	mu         sync.Mutex
	open       map[net.Conn]struct{}
	closed     bool
	stats      struct{ open, limit, identity atomic.Int64 }
	running    sync.WaitGroup
}

// Listen starts a server on an "ip:port" address. Port 0 lets the kernel choose.
// Calls that arrive before Serve wait. Without credentials it speaks plain TCP.
func Listen(addr string, credentials *Credentials, clock Clock) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidSettings, "listen for peers on "+addr)
	}
	s := &Server{
		rpc: rpc.NewServer(), clock: clock, listener: listener,
		handshakes: make(chan struct{}, MaxHandshakes), open: map[net.Conn]struct{}{},
	}
	if credentials != nil {
		s.tls = credentials.config()
	}
	if err := s.rpc.RegisterName(probeService, &prober{}); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "register the probe")
	}
	return s, nil
}

// Register adds a net/rpc service under a name. Call it before Serve. Methods
// put failures into a typed field of the reply and return nil.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return errs.Wrap(err, errs.Internal, "register the service "+name)
	}
	return nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections in the background until Close.
func (s *Server) Serve() { s.running.Go(s.accept) }

// Stats returns the counters.
func (s *Server) Stats() ServerStats {
	return ServerStats{
		Connections:  s.stats.open.Load(),
		RefusedLimit: s.stats.limit.Load(), RefusedIdentity: s.stats.identity.Load(),
	}
}

// Close stops the server and closes all connections. Calls that run are not
// awaited, because net/rpc cannot cancel them; their replies are lost.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			// Accept fails for a moment when the process has no free descriptor.
			time.Sleep(acceptRetry)
			continue
		}
		select {
		case s.handshakes <- struct{}{}:
			if !s.track(conn) {
				<-s.handshakes
				continue
			}
			go s.serve(conn)
		default:
			s.stats.limit.Add(1)
			_ = conn.Close()
		}
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track enters a connection into the table, or closes it.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= MaxConnections+MaxHandshakes {
		s.stats.limit.Add(1)
		_ = conn.Close()
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	secured, err := s.secure(conn)
	<-s.handshakes
	if err != nil {
		s.stats.identity.Add(1)
		return
	}
	defer s.stats.open.Add(-1)
	if s.stats.open.Add(1) > MaxConnections {
		s.stats.limit.Add(1)
		return
	}
	s.rpc.ServeCodec(&serverCodec{stream: newStream(secured, s.clock)})
}

// secure authenticates the other end of a connection, if there are credentials.
func (s *Server) secure(conn net.Conn) (net.Conn, error) {
	if s.tls == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, s.tls)
	return secured, secured.HandshakeContext(ctx)
}
