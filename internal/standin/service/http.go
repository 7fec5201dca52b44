package service

import (
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/standin/faultnet"
)

// Headers of a call.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderOrganisation = "X-Organisation"
	HeaderKey          = "Idempotency-Key"
)

// Answer is the body of an answer.
type Answer struct {
	Request string `json:"request_id"`
	Kind    string `json:"kind"`
	Number  int    `json:"number"` // position in the record of calls, from 1
	Echo    string `json:"echo"`   // body of the call
}

func serve(l net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{Handler: handler, Name: "standin-service", Logger: faultnet.Quiet{}}
	_ = server.Serve(l)
}

// ServeControl serves the control API on a listener of its own, which stays
// reachable while the service refuses connections.
func (s *Service) ServeControl(l net.Listener) error {
	server := &fasthttp.Server{Handler: s.handle, Name: "standin-service", Logger: faultnet.Quiet{}}
	return server.Serve(l)
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	kind, isCall := strings.CutPrefix(path, "/call/")
	switch {
	case isCall && method == "POST":
		s.handleCall(ctx, kind)
	case path == "/calls" && method == "GET":
		reply(ctx, s.Calls())
	case path == "/control/faults" && method == "POST":
		s.handleFaults(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Service) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if err := s.SetFaults(f); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	reply(ctx, f)
}

func (s *Service) handleCall(ctx *fasthttp.RequestCtx, kind string) {
	f := s.take()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.SilentNow {
		silence(ctx.Conn())
		return
	}
	if f.LoseCalls {
		_ = ctx.Conn().Close()
		return
	}
	header := &ctx.Request.Header
	call := Call{
		Kind: kind, Organisation: string(header.Peek(HeaderOrganisation)), Request: string(header.Peek(HeaderRequestID)),
		Key: string(header.Peek(HeaderKey)), Body: string(ctx.PostBody()),
	}
	number := s.run(call)
	time.Sleep(time.Duration(f.LateMS) * time.Millisecond)
	if f.SilentAfter {
		silence(ctx.Conn())
		return
	}
	if f.LoseAnswers {
		_ = ctx.Conn().Close()
		return
	}
	s.answer(ctx, call, number, f)
}

func (s *Service) answer(ctx *fasthttp.RequestCtx, call Call, number int, f Faults) {
	id := call.Request
	if f.Crossed {
		id = "other-" + id
	}
	if f.Fail {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	s.markAnswered(number)
	ctx.Response.Header.Set(HeaderRequestID, id)
	reply(ctx, Answer{Request: id, Kind: call.Kind, Number: number, Echo: call.Body})
}

func silence(conn net.Conn) {
	if c, ok := conn.(*faultnet.Conn); ok {
		c.Silence()
	}
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
