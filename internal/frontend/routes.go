package frontend

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// Headers of callers' requests.
const (
	HeaderKind     = "X-Kind"
	HeaderDeadline = "X-Deadline-Ms" // milliseconds from arrival to the whole answer
	HeaderWorth    = "X-Worth"
	HeaderKey      = "Idempotency-Key"
	HeaderReplayed = "Idempotent-Replayed" // the response is the first one to the key
)

const overloadRetry = time.Second

// request is one authenticated request of a caller.
type request struct {
	id       model.RequestID
	org      string
	cfg      *model.Configuration
	kind     model.Kind // zero if none is named
	arrived  time.Time
	deadline time.Time
	worth    float64
	body     []byte
	release  func() // of the retained body; called once
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	held := &hold{s: s}
	defer held.drop()
	defer s.recovered(func(e *errs.Error) { s.fail(ctx, "", "", e) })
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetBodyString("live\n")
		return
	case "/readyz":
		s.handleReady(ctx)
		return
	}
	s.handleCaller(ctx, path, held)
}

// hold counts a request in flight until its response is written.
type hold struct {
	s    *Server
	kept bool // a stream writer has taken over the count
}

func (h *hold) drop() {
	if !h.kept {
		h.s.inFlight.Add(-1)
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

func (s *Server) handleCaller(ctx *fasthttp.RequestCtx, path string, held *hold) {
	q := &request{id: s.newID(), arrived: time.Now(), cfg: s.opt.Configuration.Current()}
	ctx.Response.Header.Set(headerRequestID, string(q.id))
	if q.cfg == nil {
		s.fail(ctx, q.id, "", errs.NotRun(errs.NotReady, "no configuration yet").WithRetry(drainRetry))
		return
	}
	org, failure := s.credentials.authenticate(q.cfg, string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if failure != nil {
		s.fail(ctx, q.id, "", failure)
		return
	}
	q.org = org
	if failure = s.route(ctx, path, q, held); failure != nil {
		s.fail(ctx, q.id, q.org, failure)
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx, path string, q *request, held *hold) *errs.Error {
	kind, isService := strings.CutPrefix(path, "/v1/services/")
	outcome, isOutcome := strings.CutPrefix(path, "/v1/outcomes/")
	switch {
	case isOutcome && ctx.IsGet():
		return s.handleOutcome(ctx, q, outcome)
	case !ctx.IsPost():
		return errs.NotRun(errs.NotFound, "no such path and method")
	case s.draining.Load():
		return errs.NotRun(errs.Draining, "server is draining").WithRetry(drainRetry)
	case path == "/v1/completions":
		return s.handleCompletion(ctx, q, false, held)
	case path == "/v1/chat/completions":
		return s.handleCompletion(ctx, q, true, held)
	case isService:
		return s.handleService(ctx, q, kind)
	default:
		return errs.NotRun(errs.NotFound, "no such path and method")
	}
}

// fail writes an error and records the refusal. The connection is closed,
// because the request's body may not have been read.
func (s *Server) fail(ctx *fasthttp.RequestCtx, id model.RequestID, org string, e *errs.Error) {
	ctx.SetConnectionClose()
	writeError(ctx, e)
	s.record(timeline.Event{Kind: timeline.RequestRefused, Request: id, Organisation: org, Detail: string(e.Code) + " " + string(e.Ran)})
	s.log.Info().Str("request", string(id)).Str("organisation", org).Str("code", string(e.Code)).
		Str("ran", string(e.Ran)).AnErr("cause", e.Unwrap()).Msg("request failed")
}

// badRequest answers what the HTTP library could not parse.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	e := errs.NotRun(errs.InvalidRequest, "request is malformed")
	switch {
	case errors.As(err, &small):
		e = errs.NotRun(errs.TooLarge, "header is over the limit")
	case errors.As(err, &network) && network.Timeout():
		e = errs.NotRun(errs.Cancelled, "request did not arrive in time")
	}
	ctx.SetConnectionClose()
	writeError(ctx, e)
}

// readBody reads the body within the limits of one request and of the process.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, q *request) *errs.Error {
	limit := s.limits.MaxBodyBytes
	size := ctx.Request.Header.ContentLength()
	if size > limit {
		return errs.NotRun(errs.TooLarge, "body is over the limit")
	}
	if size < 0 {
		size = limit // chunked: its length is not known before
	}
	if !s.retained.take(int64(size)) {
		return errs.NotRun(errs.Overloaded, "too many bytes are retained").WithRetry(overloadRetry)
	}
	q.release = func() { s.retained.give(int64(size)) }
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(s.limits.ReadTimeout))
	body, err := readAll(ctx, limit)
	if err != nil {
		q.release()
		return err
	}
	q.body = body
	return nil
}

func readAll(ctx *fasthttp.RequestCtx, limit int) ([]byte, *errs.Error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), ctx.PostBody()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidRequest, "body did not arrive completely").WithRan(errs.RanNo)
	}
	if len(body) > limit {
		return nil, errs.NotRun(errs.TooLarge, "body is over the limit")
	}
	return body, nil
}

// applyHeaders sets kind, deadline and worth of a request.
func (s *Server) applyHeaders(ctx *fasthttp.RequestCtx, q *request, kindName string) *errs.Error {
	if kindName != "" {
		name, failure := parseKind(kindName)
		if failure != nil {
			return failure
		}
		kind, found := q.cfg.Kinds[q.org+"/"+name]
		if !found || kind.Organisation != q.org {
			return errs.NotRun(errs.NotFound, "kind is not declared")
		}
		q.kind = kind
	}
	left, failure := parseDeadline(string(ctx.Request.Header.Peek(HeaderDeadline)), q.kind, s.limits)
	if failure != nil {
		return failure
	}
	q.deadline = q.arrived.Add(left)
	q.worth, failure = parseWorth(string(ctx.Request.Header.Peek(HeaderWorth)), q.kind)
	return failure
}
