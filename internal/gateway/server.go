package gateway

import (
	"cmp"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/membudget"
	"cicadaslip/internal/upstream"
)

const (
	// callerCheckInterval is the time between checks whether callers have
	// disconnected. Work for a disconnected caller must end within 500 ms.
	callerCheckInterval = 150 * time.Millisecond
	// callerWriteTimeout is the time after which the connection of a caller that
	// does not read is closed.
	callerWriteTimeout = 20 * time.Second
	// defaultConnections is the default of Options.MaxConnections.
	defaultConnections = 1800
	// Limits until a configuration is loaded.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// headBufferBytes is the size of a connection's buffer for a head. It is larger than
	// fleet.MaxHeaderBytes, so that a head of that size fits with its line ends.
	headBufferBytes = 40 << 10
	// concurrencyMargin is added to MaxConnections for the HTTP server's own limit, so that
	// connections beyond MaxConnections are refused by the listener.
	concurrencyMargin = 64
)

// Options configures a Server. All fields but Observer, Quarantine and Hedging are required.
type Options struct {
	Fleet     Fleet
	Placement Placement
	Dialect   Dialect
	Upstream  *upstream.Client
	Observer  Observer
	// Quarantine decides which requests are kept from targets, none if it is nil.
	Quarantine Quarantine
	// MaxConnections limits the connections of callers, a default if it is 0.
	MaxConnections int
	// Memory limits what is held for callers and targets, nothing if it is nil.
	Memory *membudget.Budget
	// Hedging decides on second attempts. If it is nil, a plain request is hedged after a
	// multiple of its target's usual latency, and a stream only moves from a late target.
	Hedging Hedging
	// Quota counts the requests of organisations, none if it is nil.
	Quota Quota
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	opt      Options
	http     *fasthttp.Server
	callers  atomic.Pointer[callerconn.Listener]
	draining atomic.Bool
	schedule atomic.Pointer[DrainSchedule] // nil until the server drains
	// waits ends when a shutdown refuses the streams that wait for a target.
	waits         context.Context
	refuseWaiting context.CancelFunc
	inFlight      atomic.Int64
	acquireCount  atomic.Uint64 // makes the IDs of placement requests unique

	mu       sync.Mutex
	calls    map[*call]struct{}
	watching bool // cancelAbandonedCalls is running
	ending   bool // AnswerAll was called
}

// New returns a server.
func New(opt Options) *Server {
	if opt.Observer == nil {
		opt.Observer = noopObserver{}
	}
	if opt.Quarantine == nil {
		opt.Quarantine = noQuarantine{}
	}
	if opt.Quota == nil {
		opt.Quota = noQuota{}
	}
	opt.MaxConnections = cmp.Or(opt.MaxConnections, defaultConnections)
	s := &Server{opt: opt, calls: map[*call]struct{}{}}
	s.waits, s.refuseWaiting = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleMalformed, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, Concurrency: opt.MaxConnections + concurrencyMargin,
		StreamRequestBody: true, // the handler reads bodies
		ReadBufferSize:    headBufferBytes, MaxRequestBodySize: defaultBodyBytes, DisablePreParseMultipartForm: true, DisableHeaderNamesNormalizing: true,
		HeaderReceived: s.requestConfig, ConnState: callerconn.TrackState, Logger: discardLogger{},
	}
	return s
}

// discardLogger discards the log of the HTTP library, so that malformed input
// cannot fill the log.
type discardLogger struct{}

// Printf discards a log line.
func (discardLogger) Printf(string, ...any) {}

// limits returns the limits of the current configuration, and defaults for those that it
// does not set.
func (s *Server) limits() fleet.Limits {
	limits := s.opt.Fleet.Limits()
	return fleet.Limits{
		HeaderBytes: cmp.Or(min(limits.HeaderBytes, fleet.MaxHeaderBytes), defaultHeaderBytes), BodyBytes: cmp.Or(limits.BodyBytes, defaultBodyBytes),
		HeaderTimeout: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout), IdleTimeout: cmp.Or(limits.IdleTimeout, defaultIdleTimeout),
	}
}

// requestConfig returns the limits for the body of a request. A body that is announced over the
// limit is not read: the HTTP server would wait for a part of it before it calls the handler, so
// the length is set to 0. announcesTooMuch tells that from the header as it was sent.
func (s *Server) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limits := s.limits()
	if h.ContentLength() > limits.BodyBytes {
		h.SetContentLength(0)
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: limits.BodyBytes, ReadTimeout: max(limits.HeaderTimeout, limits.IdleTimeout)}
}

// callerLimits returns the time limits for the connections of callers.
func (s *Server) callerLimits() callerconn.Limits {
	limits := s.limits()
	return callerconn.Limits{First: limits.IdleTimeout, Idle: limits.IdleTimeout, Header: limits.HeaderTimeout}
}

// Serve accepts connections from a listener and handles their requests until
// the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	callers := &callerconn.Listener{
		Listener: l, Limit: int64(s.opt.MaxConnections), WriteTimeout: callerWriteTimeout, Limits: s.callerLimits, Memory: s.opt.Memory,
		ReadBufferBytes: headBufferBytes,
		RefusalResponse: []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
	}
	s.callers.Store(callers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go callers.Relieve(ctx)
	if err := s.http.Serve(callers); err != nil {
		return errs.Wrap(err, errs.Internal, "serving callers on the listener failed")
	}
	return nil
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// DrainSchedule says which requests a draining server accepts, so that the end of the process
// cuts none of them.
type DrainSchedule struct {
	// RefuseStreams is the time from which new streams are refused.
	RefuseStreams time.Time
	// RefuseLong is the time from which other new requests are refused if their time limit
	// ends after AnswerAll. Until then they are expected to end much earlier.
	RefuseLong time.Time
	// AnswerAll is the time at which the method AnswerAll is called.
	AnswerAll time.Time
}

// Drain makes the server close each connection after its next response, and refuse requests
// by a schedule.
func (s *Server) Drain(schedule DrainSchedule) {
	s.schedule.Store(&schedule)
	s.draining.Store(true)
}

// RefuseWaiting ends the waits for a target, now and later, of streams of which their callers
// have got nothing: a stream that begins later might not end before the process does, and its
// caller would get no answer. A target that is at work on one of them goes on.
func (s *Server) RefuseWaiting() { s.refuseWaiting() }

// AnswerAll ends the work on all requests of which the callers have got nothing, and answers
// them: a target that is at work would otherwise keep its caller waiting until the process
// ends, without an answer. Streams that have begun go on.
func (s *Server) AnswerAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	for c := range s.calls {
		c.endForShutdown()
	}
}

// refusesNew reports whether a new request is refused because it might not end before the
// process does.
func (s *Server) refusesNew(c *call) bool {
	d := s.schedule.Load()
	switch {
	case d == nil:
		return false
	case c.route.Kind == fleet.Streaming:
		return c.arrived.After(d.RefuseStreams)
	}
	return c.arrived.After(d.RefuseLong) && c.deadline.After(d.AnswerAll)
}

// Shutdown closes the listener and the idle connections, and waits until all requests that
// were read, in part or whole, are answered, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	if callers := s.callers.Load(); callers != nil {
		_ = callers.Shutdown(ctx) // connections still open when ctx ends are cut when the process exits
	}
}

// handleMalformed responds to input that is not a valid HTTP request, or not a whole one
// within the time limits.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var retry time.Duration
	var typed *errs.Error
	switch {
	case errors.As(err, &typed) && typed.Ran == errs.RanNo:
		status, retry = fasthttp.StatusServiceUnavailable, cmp.Or(typed.Retry, memoryRetryAfter)
	case errors.Is(err, callerconn.ErrTrailerTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case upstream.IsTimeout(err):
		status = fasthttp.StatusRequestTimeout
	case strings.Contains(err.Error(), "body size exceeds"):
		status = fasthttp.StatusRequestEntityTooLarge
	case strings.Contains(err.Error(), "too big request header"), strings.Contains(err.Error(), "small read buffer"):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
	if retry > 0 {
		f := s.opt.Dialect.RetryAfterField(retry)
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	input := MalformedInput{Status: status, Err: err}
	if conn, ok := ctx.Conn().(*callerconn.Conn); ok {
		input.Request, input.BytesRead = conn.Received()
		if conn.HasLargeHead() {
			dropHead(&ctx.Request)
		}
	}
	s.opt.Observer.Malformed(input)
}

// dropHead drops the memory that the HTTP server keeps of a request's head for the next request, possibly one
// on another connection. Only whether the connection is to be closed stays known.
func dropHead(r *fasthttp.Request) {
	closing := r.Header.ConnectionClose()
	r.Header = fasthttp.RequestHeader{}
	*r.URI() = fasthttp.URI{}
	if closing {
		r.Header.SetConnectionClose()
	}
}

// register adds a call to those that cancelAbandonedCalls checks.
func (s *Server) register(c *call) {
	s.inFlight.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c] = struct{}{}
	if s.ending {
		c.endForShutdown()
	}
	if !s.watching {
		s.watching = true
		go s.cancelAbandonedCalls()
	}
}

// unregister removes a call that has ended.
func (s *Server) unregister(c *call) {
	s.inFlight.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// cancelAbandonedCalls cancels calls whose callers have disconnected. It
// returns when no calls are left; register starts it again.
func (s *Server) cancelAbandonedCalls() {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		if len(s.calls) == 0 {
			s.watching = false
			s.mu.Unlock()
			return
		}
		for c := range s.calls {
			if c.callerConn != nil && c.callerConn.Disconnected() {
				c.callerLeft.Store(true)
				c.cancel()
			}
		}
		s.mu.Unlock()
	}
}
