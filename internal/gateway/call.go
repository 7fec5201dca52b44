package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/upstream"
)

const (
	// defaultRequestTimeout applies to requests that state no deadline.
	defaultRequestTimeout = 30 * time.Second
	// connectTimeout limits one attempt to connect to a target. A reachable target
	// accepts the connection within one round trip between regions; a lost SYN is
	// retransmitted only after 1 s.
	connectTimeout = 300 * time.Millisecond
	// routeTimeoutMargin is the time before the end of a route's timeout at which
	// the gateway gives up on a request, so that its response is still in time.
	routeTimeoutMargin = 30 * time.Millisecond
	// maxResponseBytes limits a response body that is read completely before it is
	// forwarded.
	maxResponseBytes = 8 << 20
	// drainRetryAfter is the Retry-After time for callers of a VM that is shutting
	// down. It is short because other VMs can serve the request at once.
	drainRetryAfter = 10 * time.Millisecond
	// maxRefusals limits how many targets may refuse one request without running
	// it.
	maxRefusals = 4
)

// call is the state of one request of a caller.
type call struct {
	server         *Server
	http           *fasthttp.RequestCtx
	callerConn     *callerconn.Conn
	ctx            context.Context
	cancel         context.CancelFunc
	memoryCut      atomic.Bool  // cutForMemory was called
	callerLeft     atomic.Bool  // whether the caller has disconnected
	stage          atomic.Int32 // stageOpen, stageStreaming or stageEnded
	meta           RequestMeta
	sharedParts    []string        // IDs of the parts of the prompt that other requests may have, too
	ownPart        string          // ID of the last part, which belongs to the request or its session
	forwardFields  httpfields.List // header fields to forward to the target
	serverError    *targetStream   // last whole response with a server error, passed on if no further target serves the request
	route          *fleet.Route
	configVersion  uint64              // version of the configuration that the route belongs to
	organisation   *fleet.Organisation // that holds the caller's key, nil if there is none
	quotaCost      int                 // what an attempt takes of the organisation's quota, 0 for nothing
	charges        int                 // attempts for which the quota was charged and not refunded
	service        string
	isEngine       bool // the service runs model engines
	method         string
	uri            string // path and query
	body           requestBody
	arrived        time.Time
	deadline       time.Time // when the gateway gives up on the request
	limitedByRoute bool      // the deadline follows from the route's timeout
	trace          traceRecorder
	excluded       []string  // IDs of targets that must not be tried again
	unavailable    []string  // IDs of targets that have not run the stream and may take it later; awaitPlacement clears them
	possibleRuns   int       // number of attempts that run or may have run the request
	arrivals       int       // number of targets that the request may have reached
	retryTakenAt   time.Time // of a retry that was taken from the budget and has not been sent, zero if there is none
	refusals       int       // number of targets that refused the request without running it
	mayHaveRun     bool      // a target may be running or may have run the request
	streamBegun    bool      // the caller is sent the head of a stream
	finished       bool      // finish was called
}

// Stages of a call.
const (
	stageOpen      int32 = iota // the caller has got nothing
	stageStreaming              // the caller is sent a stream
	stageEnded                  // the shutdown of this VM has ended the work on the request
)

// endForShutdown ends the work on the request, unless the caller has got the beginning of a
// stream.
func (c *call) endForShutdown() {
	if c.stage.CompareAndSwap(stageOpen, stageEnded) {
		c.cancel()
	}
}

// endedByShutdown reports whether endForShutdown has ended the work on the request.
func (c *call) endedByShutdown() bool { return c.stage.Load() == stageEnded }

// shutdownError returns the error for a request that is not served because this VM is
// shutting down.
func shutdownError(ran errs.Ran) *errs.Error {
	e := errs.New(errs.Draining, "this VM is shutting down").WithRan(ran)
	if ran == errs.RanNo {
		e = e.WithRetry(drainRetryAfter)
	}
	return e
}

// handle serves one request of a caller.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := &call{server: s, http: ctx}
	defer c.contain()
	callerconn.SendAtOnce(ctx)
	var err error
	if c.body, err = s.readBody(ctx); err != nil {
		s.handleMalformed(ctx, err)
		return
	}
	c.callerConn, _ = ctx.Conn().(*callerconn.Conn)
	if c.callerConn != nil {
		if err := c.callerConn.ReserveHead(ctx.Request.Header.RawHeaders()); err != nil {
			c.body.release()
			s.handleMalformed(ctx, err)
			return
		}
	}
	c.arrived = time.Now()
	c.trace.arrivedAt = c.arrived
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if failure := c.parse(); failure != nil {
		c.respondError(failure)
		return
	}
	if s.refusesNew(c) {
		c.respondError(shutdownError(errs.RanNo))
		return
	}
	c.ctx, c.cancel = context.WithDeadline(context.Background(), c.deadline)
	if len(c.body.rest) > 0 && c.callerConn != nil {
		c.callerConn.OnTargetCut(c.cutForMemory)
	}
	s.register(c)
	s.opt.Fleet.CountRequest(c.service)
	if s.opt.Hedging != nil {
		s.opt.Hedging.CountRequest(c.service)
	}
	switch {
	case c.route.Kind == fleet.Streaming:
		c.serveStream()
	default:
		c.servePlain()
		c.finish()
	}
}

// finish ends the call and reports it to the observer. A streaming call
// finishes when its response body is closed.
func (c *call) finish() {
	if c.finished {
		return
	}
	c.finished = true
	c.cancel()
	c.body.release()
	c.returnRetry()
	c.refundUnused()
	c.server.unregister(c)
	c.server.opt.Observer.Finished(c.summary())
}

// parse reads the request, matches its route and sets its deadline.
func (c *call) parse() *errs.Error {
	h := &c.http.Request.Header
	fields, err := httpfields.Parse(h.RawHeaders())
	if err == nil && fields.Count("Content-Length")+fields.Count("Transfer-Encoding") == 0 && c.body.size > 0 {
		err = errs.New(errs.InvalidRequest, "the request has a body but neither Content-Length nor Transfer-Encoding")
	}
	if err == nil && fields.Count("Host") != 1 {
		err = errs.New(errs.InvalidRequest, "the request does not have exactly one Host header field")
	}
	if err == nil && len(h.Method())+len(h.RequestURI())+len(h.RawHeaders()) > c.server.limits().HeaderBytes {
		err = errs.New(errs.TooLarge, "the header of the request is too large")
	}
	if err != nil {
		c.http.SetConnectionClose()
		return errs.As(err)
	}
	c.method, c.uri = string(h.Method()), string(h.RequestURI())
	if c.callerConn != nil && c.callerConn.HasLargeHead() {
		dropHead(&c.http.Request)
	}
	if c.meta, c.forwardFields, err = c.server.opt.Dialect.ParseRequest(fields); err != nil {
		return errs.As(err)
	}
	c.meta.Parts = placer.JoinParts(c.meta.Parts)
	routes := c.server.opt.Fleet.Routes()
	if routes == nil {
		return errs.NotRun(errs.NotReady, "no configuration is known yet").WithRetry(time.Second)
	}
	c.configVersion = routes.Config.Version
	path, _, _ := strings.Cut(c.uri, "?")
	if c.route = routes.Match(fields.Get("Host"), path); c.route == nil {
		return errs.New(errs.NotFound, "no route matches the host and path")
	}
	if failure := c.authenticate(routes); failure != nil {
		return failure
	}
	c.service = c.route.PickService()
	c.quotaCost = c.costOfAttempt()
	c.sharedParts, c.ownPart = splitParts(c.meta.Parts)
	if c.isEngine = routes.Config.Services[c.service].Engine != nil; c.isEngine && !validAdapter(c.meta.Adapter) {
		return errs.New(errs.InvalidRequest, "the name of the model or adapter is invalid")
	}
	c.setDeadline()
	return c.checkQuarantine()
}

// validAdapter reports whether an adapter may exist. Owners of groups keep the names of requested ones.
func validAdapter(a placer.Adapter) bool {
	return (a.Model == "" || fleet.ValidName(a.Model)) && (a.Name == "" || fleet.ValidName(a.Name))
}

// cutForMemory ends the work on the request because memory is short.
func (c *call) cutForMemory() {
	c.memoryCut.Store(true)
	c.cancel()
}

// setDeadline sets the deadline to the end of the time that the caller allows,
// or to shortly before the end of the route's timeout if that is earlier.
func (c *call) setDeadline() {
	timeout := c.meta.Deadline
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c.deadline = c.arrived.Add(timeout)
	if limit := c.arrived.Add(c.route.Timeout - routeTimeoutMargin); c.route.Timeout > 0 && limit.Before(c.deadline) {
		c.deadline, c.limitedByRoute = limit, true
	}
}

// ended reports whether the deadline has passed or the caller has disconnected.
func (c *call) ended() bool { return c.ctx.Err() != nil || c.timeLeft() <= 0 }

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// respondError responds with an error of this system. Before parse has
// succeeded it also reports the call to the observer, because finish is not
// called then.
func (c *call) respondError(e *errs.Error) {
	ctx := c.http
	ctx.Response.Reset()
	ctx.SetStatusCode(httpStatus(e))
	if e.Ran == errs.RanNo {
		f := c.server.opt.Dialect.RetryAfterField(cmp.Or(e.Retry, refusalRetryAfter))
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	if c.server.draining.Load() || ctx.Request.Header.ConnectionClose() || e.Code == errs.InvalidRequest {
		ctx.SetConnectionClose()
	}
	c.trace.setFailure(e)
	if c.ctx == nil {
		c.body.release()
		c.server.opt.Observer.Finished(c.summary())
	}
}

// httpStatus returns the HTTP status code for an error. 429 and 503 promise
// that the request has not run and will not run.
func httpStatus(e *errs.Error) int {
	switch {
	case e.Ran == errs.RanNo && e.Code == errs.QuotaExceeded:
		return fasthttp.StatusTooManyRequests
	case e.Ran == errs.RanNo:
		return fasthttp.StatusServiceUnavailable
	case e.Code == errs.NotFound:
		return fasthttp.StatusNotFound
	case e.Code == errs.Unauthenticated:
		return fasthttp.StatusUnauthorized
	case e.Code == errs.InvalidRequest:
		return fasthttp.StatusBadRequest
	case e.Code == errs.TooLarge && e.Ran == errs.RanUnset:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case e.Code == errs.Timeout:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// upstreamRequest builds the request of one attempt at a target. If the
// attempt resumes a stream, the ID of the last forwarded event replaces the
// caller's Last-Event-Id.
func (c *call) upstreamRequest(address string, a Attempt) upstream.Request {
	a.TimeLeft = c.timeLeft()
	fields := make(httpfields.List, 0, len(c.forwardFields)+6)
	for _, f := range c.forwardFields {
		if a.LastEventID > 0 && strings.EqualFold(f.Name, "Last-Event-Id") {
			continue
		}
		fields = append(fields, f)
	}
	fields = append(fields, c.server.opt.Dialect.AttemptFields(a)...)
	request := upstream.Request{Address: address, Method: c.method, URI: c.uri, Fields: fields, Body: c.body.first, Rest: c.body.rest}
	if len(c.meta.ID) > maxIDBytes {
		request.EchoBytes = 2 * len(c.meta.ID) // targets may sign their responses with it, too
	}
	if len(c.body.rest) > 0 && c.callerConn != nil {
		request.Writing, request.Written = c.callerConn.Memory.TargetReadsSlowly, c.callerConn.Memory.TargetHasRead
	}
	return request
}

// copyResponseHead copies the status and the end-to-end header fields of a
// target's response to the caller's response, without those whose statement is ignored: what
// the caller is told of the target, this VM has to heed.
func (c *call) copyResponseHead(a answer) {
	ctx := c.http
	ctx.Response.Reset()
	ctx.SetStatusCode(a.exchange.Status)
	for _, f := range a.exchange.Fields.EndToEnd(func(string) bool { return false }) {
		if !slices.ContainsFunc(a.meta.Statement.Invalid, func(name string) bool { return strings.EqualFold(name, f.Name) }) {
			ctx.Response.Header.Add(f.Name, f.Value)
		}
	}
	if c.server.draining.Load() || ctx.Request.Header.ConnectionClose() {
		ctx.SetConnectionClose()
	}
}

// statement returns what the head of a response states about its target. It returns false
// if the response does not come from the target or does not belong to this request: a
// refusal may lack the signature, and one that expects another target may come from another
// target at the same address.
func (c *call) statement(response ResponseMeta, sentAt time.Time, born int64) (TargetStatement, bool) {
	s := response.Statement
	s.Born, s.SentAt, s.HeardAt = born, sentAt, time.Now()
	belongs := response.RequestID == c.meta.ID || response.RequestID == "" && response.Signed
	if !belongs || response.Misdirected || response.Encoded || !response.Signed && !response.NotRun {
		if s.states() {
			c.server.opt.Fleet.IgnoreStatement(ForeignStatement)
		}
		return TargetStatement{HeardAt: s.HeardAt}, false
	}
	for _, field := range s.Invalid {
		c.server.opt.Fleet.IgnoreStatement(field)
	}
	return s, true
}

// recordLate records what a target states in the head of a response that comes after the
// attempt was given up.
func (c *call) recordLate(target string, born int64, sentAt time.Time, read upstream.LateHead) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.opt.Observer.Panicked(shortID(c.meta.ID), errs.FromPanic(cause))
		}
	}()
	status, fields, found := read()
	if !found {
		return
	}
	if s, stated := c.statement(c.server.opt.Dialect.ParseResponse(status, fields), sentAt, born); stated {
		c.server.opt.Fleet.RecordStatement(target, s)
	}
}

// contextError returns the error for a call whose deadline has passed, whose caller has
// disconnected, or that endForShutdown has ended.
func (c *call) contextError() *errs.Error {
	ran := errs.RanNo
	if c.mayHaveRun {
		ran = errs.RanUnknown
	}
	if !errors.Is(c.ctx.Err(), context.Canceled) {
		return errs.New(errs.Timeout, "the deadline of the request has passed").WithRan(ran)
	}
	if c.memoryCut.Load() && !c.callerLeft.Load() {
		return errs.New(errs.Overloaded, "the target did not read the request while memory was short").WithRan(ran)
	}
	if c.callerLeft.Load() || !c.endedByShutdown() {
		return errs.New(errs.Cancelled, "the caller closed the connection").WithRan(ran)
	}
	return shutdownError(ran)
}
