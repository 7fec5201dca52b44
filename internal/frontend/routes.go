package frontend

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// Headers of requests and responses.
const (
	HeaderKind     = "X-Kind"
	HeaderDeadline = "X-Deadline-Ms" // milliseconds from arrival to the complete answer
	HeaderWorth    = "X-Worth"       // lowers the worth that the kind declares
	HeaderKey      = "Idempotency-Key"
	HeaderReplayed = "Idempotent-Replayed" // set if the response is the stored one of an earlier call with the key
)

// overloadRetryAfter is the Retry-After advice when the memory limit is reached.
const overloadRetryAfter = time.Second

// request holds the fields that all requests of callers have in common.
type request struct {
	id          model.RequestID
	org         string
	cfg         *model.Configuration
	kind        model.Kind // zero value if the request names no kind
	arrivedAt   time.Time
	deadline    time.Time
	worth       float64
	body        []byte
	releaseBody func() // returns the bytes reserved for body; must be called once
}

// handle serves a request. /healthz and /readyz need no authentication.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	guard := &inFlightGuard{s: s}
	defer guard.done()
	defer s.recoverPanic(func(e *errs.Error) { s.respondError(ctx, "", "", e) })
	callerconn.SendAtOnce(ctx)
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetBodyString("live\n")
		return
	case "/readyz":
		s.handleReady(ctx)
		return
	}
	s.handleAPIRequest(ctx, path, guard)
}

// inFlightGuard ends the in-flight count of a request when its handler returns,
// unless a stream writer has taken over the count.
type inFlightGuard struct {
	s           *Server
	transferred bool // the stream writer ends the count
}

// done must be deferred by the handler.
func (g *inFlightGuard) done() {
	if !g.transferred {
		g.s.inFlight.Add(-1)
	}
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	err := s.opt.Readiness.Ready()
	if s.draining.Load() {
		err = errs.NotRun(errs.Draining, "server is draining")
	}
	if err != nil {
		writeError(ctx, errs.As(err))
		return
	}
	ctx.SetBodyString("ready\n")
}

// handleAPIRequest authenticates a request and routes it.
func (s *Server) handleAPIRequest(ctx *fasthttp.RequestCtx, path string, guard *inFlightGuard) {
	req := &request{id: s.newID(), arrivedAt: time.Now(), cfg: s.opt.Configuration.Current()}
	ctx.Response.Header.Set(headerRequestID, string(req.id))
	if req.cfg == nil {
		s.respondError(ctx, req.id, "", errs.NotRun(errs.NotReady, "no configuration yet").WithRetry(drainRetryAfter))
		return
	}
	org, failure := s.credentials.authenticate(req.cfg, string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if failure != nil {
		s.respondError(ctx, req.id, "", failure)
		return
	}
	req.org = org
	if failure = s.route(ctx, path, req, guard); failure != nil {
		s.respondError(ctx, req.id, req.org, failure)
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx, path string, req *request, guard *inFlightGuard) *errs.Error {
	kindName, isService := strings.CutPrefix(path, "/v1/services/")
	outcomePath, isOutcome := strings.CutPrefix(path, "/v1/outcomes/")
	switch {
	case isOutcome && ctx.IsGet():
		return s.handleOutcome(ctx, req, outcomePath)
	case !ctx.IsPost():
		return errs.NotRun(errs.NotFound, "no route for this path and method")
	case s.draining.Load():
		return errs.NotRun(errs.Draining, "server is draining").WithRetry(drainRetryAfter)
	case path == "/v1/completions":
		return s.handleCompletion(ctx, req, false, guard)
	case path == "/v1/chat/completions":
		return s.handleCompletion(ctx, req, true, guard)
	case isService:
		return s.handleService(ctx, req, kindName)
	default:
		return errs.NotRun(errs.NotFound, "no route for this path and method")
	}
}

// respondError writes an error response, and records and logs it. It closes the
// connection, because the body of the request may not have been read.
func (s *Server) respondError(ctx *fasthttp.RequestCtx, id model.RequestID, org string, e *errs.Error) {
	ctx.SetConnectionClose()
	writeError(ctx, e)
	s.recordEvent(timeline.Event{Kind: timeline.RequestRefused, Request: id, Organisation: org, Detail: string(e.Code) + " " + string(e.Ran)})
	s.log.Info().Str("request", string(id)).Str("organisation", org).Str("code", string(e.Code)).
		Str("ran", string(e.Ran)).AnErr("cause", e.Unwrap()).Msg("request failed")
}

// handleParseError responds to a request that the HTTP library could not read.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	e := errs.NotRun(errs.InvalidRequest, "request is malformed")
	switch {
	case errors.As(err, &smallBuffer):
		e = errs.NotRun(errs.TooLarge, "request headers exceed the size limit")
	case errors.As(err, &netErr) && netErr.Timeout():
		e = errs.NotRun(errs.Cancelled, "request did not arrive in time")
	}
	ctx.SetConnectionClose()
	writeError(ctx, e)
}

// readBody reads the body and reserves its size in retainedBytes. It fails if the
// body exceeds the limit of one request or the memory limit of the process.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, req *request) *errs.Error {
	limit := s.limits.MaxBodyBytes
	size := ctx.Request.Header.ContentLength()
	if size > limit {
		return errs.NotRun(errs.TooLarge, "request body exceeds the size limit")
	}
	if size < 0 {
		size = limit // chunked encoding: the size is not known in advance
	}
	if !s.retainedBytes.tryReserve(int64(size)) {
		return errs.NotRun(errs.Overloaded, "memory limit for request bodies and buffered answers reached").WithRetry(overloadRetryAfter)
	}
	req.releaseBody = func() { s.retainedBytes.release(int64(size)) }
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(s.limits.ReadTimeout))
	body, err := readAll(ctx, limit)
	if err != nil {
		req.releaseBody()
		return err
	}
	req.body = body
	return nil
}

func readAll(ctx *fasthttp.RequestCtx, limit int) ([]byte, *errs.Error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), ctx.PostBody()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidRequest, "request body was not received completely").WithRan(errs.RanNo)
	}
	if len(body) > limit {
		return nil, errs.NotRun(errs.TooLarge, "request body exceeds the size limit")
	}
	return body, nil
}

// applyHeaders sets the kind, the deadline and the worth of a request. An empty
// kindName leaves the kind unset.
func (s *Server) applyHeaders(ctx *fasthttp.RequestCtx, req *request, kindName string) *errs.Error {
	if kindName != "" {
		name, failure := parseKind(kindName)
		if failure != nil {
			return failure
		}
		kind, found := req.cfg.Kinds[req.org+"/"+name]
		if !found || kind.Organisation != req.org {
			return errs.NotRun(errs.NotFound, "kind is not declared")
		}
		req.kind = kind
	}
	timeout, failure := parseDeadline(string(ctx.Request.Header.Peek(HeaderDeadline)), req.kind, s.limits)
	if failure != nil {
		return failure
	}
	req.deadline = req.arrivedAt.Add(timeout)
	req.worth, failure = parseWorth(string(ctx.Request.Header.Peek(HeaderWorth)), req.kind)
	return failure
}
