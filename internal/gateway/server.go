package gateway

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/upstream"
)

const (
	// gonePeriod is the time between looks whether callers have left. Work for a
	// caller that left must end within half a second.
	gonePeriod = 150 * time.Millisecond
	// writeStall is the time after which a caller that does not read is dropped.
	writeStall = 20 * time.Second
	// maxConnections bounds the callers' connections below the descriptors that a
	// VM has, with as many for targets.
	maxConnections = 1800
	// Limits before a configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// concurrencySpare lets the listener refuse beyond its own limit.
	concurrencySpare = 64
	// drainPoll is the time between looks whether requests are in flight.
	drainPoll = 20 * time.Millisecond
)

// Options of a Server. All but Observer are required.
type Options struct {
	Fleet     Fleet
	Placement Placement
	Dialect   Dialect
	Upstream  *upstream.Client
	Observer  Observer
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opt      Options
	http     *fasthttp.Server
	draining atomic.Bool
	drainAt  atomic.Int64 // Unix nanoseconds from which no streams are begun
	inFlight atomic.Int64
	number   atomic.Uint64 // of questions for a target

	mu    sync.Mutex
	calls map[*call]struct{}
	watch bool // the loop that looks for callers that left runs
}

// New returns a server.
func New(opt Options) *Server {
	if opt.Observer == nil {
		opt.Observer = discard{}
	}
	s := &Server{opt: opt, calls: map[*call]struct{}{}}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.malformed, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, Concurrency: maxConnections + concurrencySpare,
		ReadBufferSize: defaultHeaderBytes, ReadTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxRequestBodySize: defaultBodyBytes, DisablePreParseMultipartForm: true, DisableHeaderNamesNormalizing: true,
		HeaderReceived: s.requestLimits, CloseOnShutdown: true, Logger: quiet{},
	}
	return s
}

// quiet drops the HTTP library's log: malformed input must not fill the log.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// requestLimits applies the limits of the configuration in force to a request.
func (s *Server) requestLimits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	routes := s.opt.Fleet.Routes()
	if routes == nil {
		return fasthttp.RequestConfig{}
	}
	limits := routes.Config.Limits
	return fasthttp.RequestConfig{MaxRequestBodySize: limits.BodyBytes}
}

// Serve serves callers on a listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(&callerconn.Listener{
		Listener: l, Limit: maxConnections, Stall: writeStall,
		Refusal: []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
	})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "caller listener failed")
	}
	return nil
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain makes each answer the last one of its connection. Streams that would
// begin after a time are refused, because they could be cut by the end of the
// process.
func (s *Server) Drain(streams time.Duration) {
	s.drainAt.Store(time.Now().Add(streams).UnixNano())
	s.draining.Store(true)
}

// closing reports whether no more streams are begun.
func (s *Server) closing() bool {
	return s.draining.Load() && time.Now().UnixNano() > s.drainAt.Load()
}

// Shutdown closes the listener and the idle connections, and waits until no
// request is in flight or ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	go func() { _ = s.http.ShutdownWithContext(ctx) }() // what is open at the end is cut with the process
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// malformed answers input that is no request.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	switch {
	case strings.Contains(err.Error(), "body size exceeds"):
		status = fasthttp.StatusRequestEntityTooLarge
	case strings.Contains(err.Error(), "too big request header"), strings.Contains(err.Error(), "small read buffer"):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
	s.opt.Observer.Malformed(status, err)
}

// enter makes a call visible to the loop that looks for callers that left.
func (s *Server) enter(c *call) {
	s.inFlight.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c] = struct{}{}
	if !s.watch {
		s.watch = true
		go s.watchCallers()
	}
}

func (s *Server) leave(c *call) {
	s.inFlight.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// watchCallers cancels the calls whose callers have left, while there are calls.
func (s *Server) watchCallers() {
	ticker := time.NewTicker(gonePeriod)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		if len(s.calls) == 0 {
			s.watch = false
			s.mu.Unlock()
			return
		}
		for c := range s.calls {
			if c.caller != nil && c.caller.Gone() {
				c.left.Store(true)
				c.cancel()
			}
		}
		s.mu.Unlock()
	}
}
