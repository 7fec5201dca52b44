package gateway

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/upstream"
)

const (
	// defaultDeadline is the time of a request that tells none.
	defaultDeadline = 30 * time.Second
	// connectLimit ends an attempt to connect. A target that is reached answers
	// within a round trip between regions; a lost opening packet is repeated only
	// after a second.
	connectLimit = 300 * time.Millisecond
	// answerMargin is the time before a route's timeout at which a request is
	// given up, so that the answer is in time.
	answerMargin = 30 * time.Millisecond
	// maxAnswerBytes bounds an answer that is passed on as a whole.
	maxAnswerBytes = 8 << 20
	// drainRetry is the advice to a caller that meets a VM that shuts down. Others
	// serve it at once.
	drainRetry = 10 * time.Millisecond
	// maxRefusals bounds the targets that may refuse one request as not run.
	maxRefusals = 4
)

// call is one request of a caller.
type call struct {
	s       *Server
	http    *fasthttp.RequestCtx
	caller  *callerconn.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	left    atomic.Bool // the caller has gone
	meta    Meta
	fields  httpfields.List // to pass on
	route   *fleet.Route
	version uint64 // of the configuration
	service string
	engine  bool
	method  string
	uri     string
	body    []byte
	arrived time.Time
	end     time.Time // when it is given up
	limited bool      // the end is the route's timeout
	trace   Trace
	exclude []string
	ran     int  // targets that may have run it
	refused int  // targets that refused it as not run
	sent    bool // a target may be running or have run it
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := &call{s: s, http: ctx, arrived: time.Now()}
	c.trace.begin(c.arrived)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if failure := c.parse(); failure != nil {
		c.fail(failure)
		return
	}
	if c.route.Kind == fleet.Streaming && s.closing() {
		c.fail(errs.NotRun(errs.Draining, "this VM is shutting down").WithRetry(drainRetry))
		return
	}
	c.ctx, c.cancel = context.WithDeadline(context.Background(), c.end)
	c.caller, _ = ctx.Conn().(*callerconn.Conn)
	s.enter(c)
	s.opt.Fleet.CountRequest(c.service)
	switch {
	case c.route.Kind == fleet.Streaming:
		c.stream()
	default:
		c.plain()
		c.finish()
	}
}

// finish ends the call. A stream ends when its body is closed.
func (c *call) finish() {
	c.cancel()
	c.s.leave(c)
	c.s.opt.Observer.Finished(c.summary())
}

// parse reads the request and finds its route.
func (c *call) parse() *errs.Error {
	h := &c.http.Request.Header
	fields, err := httpfields.Parse(h.RawHeaders())
	if err == nil && fields.Count("Content-Length")+fields.Count("Transfer-Encoding") == 0 && len(c.http.Request.Body()) > 0 {
		err = errs.New(errs.InvalidRequest, "the length of the body is not told")
	}
	if err == nil && fields.Count("Host") != 1 {
		err = errs.New(errs.InvalidRequest, "the request does not name one host")
	}
	if err != nil {
		c.http.SetConnectionClose()
		return errs.As(err)
	}
	c.method, c.uri = string(h.Method()), string(h.RequestURI())
	if c.meta, c.fields, err = c.s.opt.Dialect.Request(fields); err != nil {
		return errs.As(err)
	}
	routes := c.s.opt.Fleet.Routes()
	if routes == nil {
		return errs.NotRun(errs.NotReady, "no configuration is known yet").WithRetry(time.Second)
	}
	c.version = routes.Config.Version
	path, _, _ := strings.Cut(c.uri, "?")
	if c.route = routes.Match(fields.Get("Host"), path); c.route == nil {
		return errs.New(errs.NotFound, "no route matches the host and path")
	}
	c.service = c.route.PickService()
	c.engine = routes.Config.Services[c.service].Engine != nil
	c.body = c.http.Request.Body()
	c.setEnd()
	return nil
}

func (c *call) setEnd() {
	deadline := c.meta.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	c.end = c.arrived.Add(deadline)
	if limit := c.arrived.Add(c.route.Timeout - answerMargin); c.route.Timeout > 0 && limit.Before(c.end) {
		c.end, c.limited = limit, true
	}
}

// timeLeft is the time until the request is given up.
func (c *call) timeLeft() time.Duration { return time.Until(c.end) }

// fail answers with a failure of this system.
func (c *call) fail(e *errs.Error) {
	ctx := c.http
	ctx.Response.Reset()
	ctx.SetStatusCode(statusOf(e))
	if e.Retry > 0 && e.Ran == errs.RanNo {
		f := c.s.opt.Dialect.RetryAfter(e.Retry)
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	if c.s.draining.Load() || ctx.Request.Header.ConnectionClose() || e.Code == errs.InvalidRequest {
		ctx.SetConnectionClose()
	}
	c.trace.failed(e)
	if c.ctx == nil {
		c.s.opt.Observer.Finished(c.summary())
	}
}

// statusOf returns the status of a failure. 429 and 503 promise that the request
// has not run and will not run.
func statusOf(e *errs.Error) int {
	switch {
	case e.Ran == errs.RanNo:
		return fasthttp.StatusServiceUnavailable
	case e.Code == errs.NotFound:
		return fasthttp.StatusNotFound
	case e.Code == errs.InvalidRequest:
		return fasthttp.StatusBadRequest
	case e.Code == errs.Timeout:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// request builds what is sent to a target.
func (c *call) request(address string, a Attempt) upstream.Request {
	a.TimeLeft = c.timeLeft()
	fields := make(httpfields.List, 0, len(c.fields)+6)
	for _, f := range c.fields {
		if a.ResumeAfter > 0 && strings.EqualFold(f.Name, "Last-Event-Id") {
			continue
		}
		fields = append(fields, f)
	}
	fields = append(fields, c.s.opt.Dialect.Attempt(a)...)
	return upstream.Request{Address: address, Method: c.method, URI: c.uri, Fields: fields, Body: c.body}
}

// passOn copies the head of a target's answer.
func (c *call) passOn(e *upstream.Exchange) {
	ctx := c.http
	ctx.Response.Reset()
	ctx.SetStatusCode(e.Status)
	for _, f := range e.Fields.EndToEnd(func(string) bool { return false }) {
		ctx.Response.Header.Add(f.Name, f.Value)
	}
	if c.s.draining.Load() || ctx.Request.Header.ConnectionClose() {
		ctx.SetConnectionClose()
	}
}

// genuine checks that an answer is a target's and belongs to this request.
func (c *call) genuine(e *upstream.Exchange, a Answer) *errs.Error {
	switch {
	case a.RequestID != "" && a.RequestID != c.meta.ID:
		return errs.New(errs.WrongAnswer, "the answer belongs to another request").WithRan(errs.RanUnknown)
	case a.Encoded:
		return errs.New(errs.WrongAnswer, "the answer is encoded").WithRan(errs.RanUnknown)
	case !a.Genuine:
		return errs.New(errs.WrongAnswer, "the answer carries no signature").WithRan(errs.RanUnknown)
	}
	return nil
}

// givenUp returns the failure of a request whose time is over or whose caller
// has left.
func (c *call) givenUp() *errs.Error {
	ran := errs.RanNo
	if c.sent {
		ran = errs.RanUnknown
	}
	if errors.Is(c.ctx.Err(), context.Canceled) {
		return errs.New(errs.Cancelled, "the caller has left").WithRan(ran)
	}
	return errs.New(errs.Timeout, "the time of the request is over").WithRan(ran)
}
