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
	drainPoll        = 10 * time.Millisecond
	drainRetry       = time.Second      // advice to callers that meet a draining server
	concurrencySpare = 64               // above the listener's limit, which answers with a typed error
	bodyPrefixBytes  = 4 << 10          // read before the handler decides on the body
	internalMessage  = "internal fault" // shown instead of a panic's text
)

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opt         Options
	limits      Limits
	log         zerolog.Logger
	http        *fasthttp.Server
	credentials credentials
	retained    byteBudget
	retries     *budget
	hedges      *budget
	jitter      *jitter
	predictor   predictor
	number      atomic.Uint64 // of requests and claims
	draining    atomic.Bool
	inFlight    atomic.Int64 // requests of callers
	background  atomic.Int64 // attempts, cancellations and journal writes
	stop        context.Context
	halt        context.CancelFunc
	mu          sync.Mutex
	running     map[model.RequestID]*race // by attempt
}

// New returns a server.
func New(opt Options) *Server {
	limits := opt.Limits.withDefaults()
	if opt.Timeline == nil {
		opt.Timeline = timeline.Discard{}
	}
	s := &Server{
		opt: opt, limits: limits, log: opt.Log,
		retained: byteBudget{left: limits.MaxRetained},
		retries:  newBudget(limits.RetryShare), hedges: newBudget(limits.HedgeShare),
		jitter: newJitter(opt.Seed), running: map[model.RequestID]*race{},
	}
	s.stop, s.halt = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.badRequest, Name: "cicadaslip",
		Concurrency: limits.MaxConnections + concurrencySpare, ReadBufferSize: limits.MaxHeaderBytes,
		ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
		MaxRequestBodySize: bodyPrefixBytes, StreamRequestBody: true,
		DisablePreParseMultipartForm: true, NoDefaultContentType: true, CloseOnShutdown: true,
		Logger: quiet{}, LogAllErrors: false,
	}
	return s
}

// quiet drops the HTTP library's log: malformed input must not fill the log.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// Serve serves callers on a listener until Drain or Close.
func (s *Server) Serve(l net.Listener) error {
	status, _, body := renderError(errs.NotRun(errs.Overloaded, "too many connections").WithRetry(time.Second))
	err := s.http.Serve(&callerconn.Listener{
		Listener: l, Limit: int64(s.limits.MaxConnections), WriteTimeout: s.limits.WriteStall, RefusalResponse: plainResponse(status, body),
	})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "caller listener failed")
	}
	return nil
}

// Drain refuses new requests as not run, waits for those in flight and their
// background work, and then closes the listener. It returns a timeout error if
// ctx ends before.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.record(timeline.Event{Kind: timeline.DrainStarted})
	for s.inFlight.Load() > 0 || s.background.Load() > 0 {
		select {
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Timeout, "requests are still in flight")
		case <-time.After(drainPoll):
		}
	}
	s.record(timeline.Event{Kind: timeline.DrainFinished})
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return errs.Wrap(err, errs.Timeout, "connections are still open")
	}
	return nil
}

// InFlight returns the number of callers' requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Close ends the server without waiting. Requests in flight are cut.
func (s *Server) Close() {
	s.draining.Store(true)
	s.halt()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.http.ShutdownWithContext(ctx)
}

// Hedge starts a second attempt of a running request, if it may run twice, the
// caller has received nothing and the budget allows it. It reports whether the
// advice was passed on.
func (s *Server) Hedge(advice core.HedgeRequest) bool {
	s.mu.Lock()
	r := s.running[advice.ID]
	s.mu.Unlock()
	if r == nil {
		return false
	}
	select {
	case r.hedge <- advice.Target:
		return true
	default:
		return false
	}
}

// newID returns an identifier that is unique over all VMs: it holds the name
// and incarnation of this one.
func (s *Server) newID() model.RequestID {
	h := s.opt.Holder
	return model.RequestID(h.VM + "-" + strconv.FormatUint(uint64(h.Incarnation), 36) + "-" + strconv.FormatUint(s.number.Add(1), 36))
}

func (s *Server) record(e timeline.Event) {
	e.VM = s.opt.Holder.VM
	s.opt.Timeline.Record(e)
}

// spawn runs f in the background. Drain waits for it, and a panic in it ends
// neither the process nor the wait.
func (s *Server) spawn(f func()) {
	s.background.Add(1)
	go func() {
		defer s.background.Add(-1)
		defer s.recovered(nil)
		f()
	}()
}

// recovered logs a panic and calls then with a typed error. It must be
// deferred.
func (s *Server) recovered(then func(*errs.Error)) {
	if p := recover(); p != nil {
		s.log.Error().Interface("panic", p).Stack().Msg("recovered from a panic")
		if then != nil {
			then(errs.New(errs.Internal, internalMessage).WithRan(errs.RanUnknown))
		}
	}
}
