package frontend

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

const (
	drainPollInterval = 10 * time.Millisecond // between two checks whether all requests have ended
	drainRetryAfter   = time.Second           // advice to callers while the server drains or has no configuration
	// spareConcurrency keeps the connection limit of the HTTP library above that of the
	// listener, which refuses connections with a typed error.
	spareConcurrency     = 64
	bodyPrefixBytes      = 4 << 10          // part of the body that is read before the handler runs
	internalErrorMessage = "internal error" // shown to callers instead of the value of a panic
)

// Server serves the HTTP API for callers. It is safe for concurrent use.
type Server struct {
	opt             Options
	limits          Limits
	log             zerolog.Logger
	http            *fasthttp.Server
	credentials     credentials
	retainedBytes   byteBudget
	retryBudget     *attemptBudget
	hedgeBudget     *attemptBudget
	jitter          *jitter
	lengthPredictor lengthPredictor
	idCounter       atomic.Uint64 // last number used in a request id or a claim id
	callers         atomic.Pointer[callerconn.Listener]
	draining        atomic.Bool
	inFlight        atomic.Int64    // HTTP requests in progress, including open streams
	backgroundTasks atomic.Int64    // running functions of runInBackground
	baseContext     context.Context // ends when the server is closed
	cancelBase      context.CancelFunc
	mu              sync.Mutex
	groupsByAttempt map[model.RequestID]*attemptGroup // keyed by attempt id, guarded by mu
}

// New returns a server. Serve must be called to accept connections.
func New(opt Options) *Server {
	limits := opt.Limits.withDefaults()
	if opt.Timeline == nil {
		opt.Timeline = timeline.Discard{}
	}
	s := &Server{
		opt: opt, limits: limits, log: opt.Log,
		retainedBytes: byteBudget{available: limits.MaxRetainedBytes},
		retryBudget:   newAttemptBudget(limits.RetryRatio), hedgeBudget: newAttemptBudget(limits.HedgeRatio),
		jitter: newJitter(opt.Seed), groupsByAttempt: map[model.RequestID]*attemptGroup{},
	}
	s.baseContext, s.cancelBase = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleParseError, Name: "cicadaslip",
		Concurrency: limits.MaxConnections + spareConcurrency, ReadBufferSize: limits.MaxHeaderBytes,
		MaxRequestBodySize: bodyPrefixBytes, StreamRequestBody: true, ConnState: callerconn.TrackState,
		DisablePreParseMultipartForm: true, NoDefaultContentType: true,
		Logger: discardLogger{}, LogAllErrors: false,
	}
	return s
}

// discardLogger discards the log of the HTTP library, so that malformed input does
// not fill the log.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections on a listener until Drain or Close is called.
func (s *Server) Serve(listener net.Listener) error {
	status, _, body := renderError(errs.NotRun(errs.Overloaded, "too many connections").WithRetry(time.Second))
	callers := &callerconn.Listener{
		Listener: listener, Limit: int64(s.limits.MaxConnections), WriteTimeout: s.limits.WriteStallTimeout, RefusalResponse: rawErrorResponse(status, body),
		Limits: func() callerconn.Limits {
			return callerconn.Limits{First: s.limits.ReadTimeout, Idle: s.limits.IdleTimeout, Header: s.limits.ReadTimeout}
		},
	}
	s.callers.Store(callers)
	if err := s.http.Serve(callers); err != nil {
		return errs.Wrap(err, errs.Internal, "caller listener failed")
	}
	return nil
}

// Drain refuses new requests as not run, waits for the requests in flight and their
// background tasks, and then closes the listener. It returns a timeout error if ctx
// ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.recordEvent(timeline.Event{Kind: timeline.DrainStarted})
	for s.inFlight.Load() > 0 || s.backgroundTasks.Load() > 0 {
		select {
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Timeout, "requests are still in flight")
		case <-time.After(drainPollInterval):
		}
	}
	s.recordEvent(timeline.Event{Kind: timeline.DrainFinished})
	if callers := s.callers.Load(); callers != nil {
		if err := callers.Shutdown(ctx); err != nil {
			return errs.Wrap(err, errs.Timeout, "connections are still open")
		}
	}
	return nil
}

// InFlight returns the number of HTTP requests in progress, including open streams.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Close stops the server without waiting. Requests in flight are aborted.
func (s *Server) Close() {
	s.draining.Store(true)
	s.cancelBase()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if callers := s.callers.Load(); callers != nil {
		_ = callers.Shutdown(ctx)
	}
}

// Hedge requests a second attempt of a running request. The attempt starts only if
// the request may run twice, nothing has been delivered to the caller and the hedge
// budget allows it. Hedge reports whether the request is running here and accepted
// the advice; it does not report whether a second attempt starts.
func (s *Server) Hedge(advice core.HedgeRequest) bool {
	s.mu.Lock()
	group := s.groupsByAttempt[advice.ID]
	s.mu.Unlock()
	if group == nil {
		return false
	}
	select {
	case group.slowTargets <- advice.Target:
		return true
	default:
		return false
	}
}

// newID returns a request id that is unique across all VMs, because it contains the
// name and the incarnation of this VM.
func (s *Server) newID() model.RequestID {
	holder := s.opt.Holder
	return model.RequestID(holder.VM + "-" + strconv.FormatUint(uint64(holder.Incarnation), 36) + "-" + strconv.FormatUint(s.idCounter.Add(1), 36))
}

// recordEvent adds an event of this VM to the timeline.
func (s *Server) recordEvent(e timeline.Event) {
	e.VM = s.opt.Holder.VM
	s.opt.Timeline.Record(e)
}

// runInBackground runs f in a goroutine that Drain waits for. A panic in f is logged;
// it neither ends the process nor blocks Drain.
func (s *Server) runInBackground(f func()) {
	s.backgroundTasks.Add(1)
	go func() {
		defer s.backgroundTasks.Add(-1)
		defer s.recoverPanic(nil)
		f()
	}()
}

// recoverPanic recovers from a panic, logs it and calls onPanic, if not nil, with a
// typed error. It must be deferred.
func (s *Server) recoverPanic(onPanic func(*errs.Error)) {
	if p := recover(); p != nil {
		s.log.Error().Interface("panic", p).Stack().Msg("recovered from a panic")
		if onPanic != nil {
			onPanic(errs.New(errs.Internal, internalErrorMessage).WithRan(errs.RanUnknown))
		}
	}
}
