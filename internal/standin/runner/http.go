package runner

import (
	"bufio"
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/standin/faultnet"
)

// Headers of the runner's API.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderFencingToken = "X-Fencing-Token"
)

// Serve serves the runner's API on a listener until Close.
func (r *Runner) Serve(l net.Listener) error {
	conns := faultnet.New(l)
	r.mu.Lock()
	r.conns = conns
	r.mu.Unlock()
	server := &fasthttp.Server{Handler: r.handle, Name: "standin-runner", Logger: faultnet.Quiet{}, NoDefaultDate: true, CloseOnShutdown: true}
	return server.Serve(conns)
}

// Close cuts all streams, closes all connections and stops loads.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	conns := r.conns
	r.changed.Broadcast()
	r.mu.Unlock()
	if conns != nil {
		_ = conns.Close()
		conns.CloseAll()
	}
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == "/v1/completions" && method == "POST":
		r.handleCompletion(ctx, false)
	case path == "/v1/chat/completions" && method == "POST":
		r.handleCompletion(ctx, true)
	case path == "/v1/load_lora_adapter" && method == "POST":
		r.handleOrder(ctx, r.Load)
	case path == "/v1/unload_lora_adapter" && method == "POST":
		r.handleOrder(ctx, r.Unload)
	case strings.HasPrefix(path, "/v1/streams/") && method == "GET":
		r.handleResume(ctx, strings.TrimPrefix(path, "/v1/streams/"))
	case strings.HasPrefix(path, "/v1/requests/") && method == "DELETE":
		r.handleCancel(ctx, strings.TrimPrefix(path, "/v1/requests/"))
	case path == "/v1/cache_events" && method == "GET":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		reply(ctx, r.CacheEvents(after))
	case path == "/state" && method == "GET":
		r.handleState(ctx)
	case path == "/load" && method == "GET":
		reply(ctx, r.LoadReport())
	case strings.HasPrefix(path, "/weights/"):
		r.handleTransit(ctx, strings.TrimPrefix(path, "/weights/"))
	case strings.HasPrefix(path, "/control/"):
		r.handleControl(ctx, strings.TrimPrefix(path, "/control/"))
	default:
		fail(ctx, errs.New(errs.NotFound, "no such path"))
	}
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	ctx.SetBody(encode(v))
}

func fail(ctx *fasthttp.RequestCtx, err error) {
	e := errs.As(err)
	ctx.SetStatusCode(errs.HTTPStatus(e.Code))
	if e.Code == errs.AdapterNotResident || e.Code == errs.StaleEpoch {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	reply(ctx, map[string]*errs.Error{"error": e})
}

func (r *Runner) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	var body CompletionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		fail(ctx, errs.NotRun(errs.InvalidRequest, "body is not a completion request"))
		return
	}
	adapter, err := model.ParseAdapterVersion(body.Model)
	id := requestID(ctx.Request.Header.Peek(HeaderRequestID))
	if err != nil || id == "" || body.MaxTokens < 0 || body.MaxTokens > maxTokensLimit {
		fail(ctx, errs.NotRun(errs.InvalidRequest, "model, request id or max_tokens is not valid"))
		return
	}
	setInt(&body.MaxTokens, DefaultMaxTokens)
	j := &job{id: id, adapter: adapter, prompt: body.PromptText(), total: body.MaxTokens, priority: body.Priority}
	if err := r.submit(j); err != nil {
		fail(ctx, err)
		return
	}
	if body.Stream {
		r.startStream(ctx, j, 0, chat)
		return
	}
	answer, complete := r.whole(j, chat)
	if !complete {
		_ = ctx.Conn().Close()
		return
	}
	r.sendWhole(ctx, answer)
}

func (r *Runner) sendWhole(ctx *fasthttp.RequestCtx, answer []byte) {
	if r.takeFault(silentFault, maxTokensLimit) {
		silence(ctx.Conn())
	}
	if r.takeFault(cutFault, maxTokensLimit) {
		_ = ctx.Conn().Close()
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(answer)
}

func (r *Runner) startStream(ctx *fasthttp.RequestCtx, j *job, offset int, chat bool) {
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { r.stream(w, conn, j, offset, chat) })
}

func (r *Runner) handleResume(ctx *fasthttp.RequestCtx, id string) {
	offset, err := ctx.QueryArgs().GetUint("offset")
	if err != nil {
		offset = 0
	}
	j, err := r.attach(model.RequestID(id), offset)
	if err != nil {
		fail(ctx, err)
		return
	}
	r.startStream(ctx, j, offset, string(ctx.QueryArgs().Peek("form")) == "chat")
}

func (r *Runner) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	if !r.cancel(model.RequestID(id)) {
		fail(ctx, errs.New(errs.NotFound, "request is not known"))
		return
	}
	reply(ctx, struct{}{})
}

// orderBody is the body of a load or evict order.
type orderBody struct {
	LoraName string `json:"lora_name"` // organisation/adapter@version
}

func (r *Runner) handleOrder(ctx *fasthttp.RequestCtx, order func(model.AdapterVersion, uint64) error) {
	var body orderBody
	token, tokenErr := strconv.ParseUint(string(ctx.Request.Header.Peek(HeaderFencingToken)), 10, 64)
	err := json.Unmarshal(ctx.PostBody(), &body)
	adapter, nameErr := model.ParseAdapterVersion(body.LoraName)
	if err != nil || nameErr != nil || tokenErr != nil {
		fail(ctx, errs.New(errs.InvalidRequest, "order is not valid"))
		return
	}
	if err := order(adapter, token); err != nil {
		fail(ctx, err)
		return
	}
	reply(ctx, struct{}{})
}

// handleState answers with the runner's state. A question that carries a
// fencing token raises the highest token seen, as an order does.
func (r *Runner) handleState(ctx *fasthttp.RequestCtx) {
	if text := ctx.Request.Header.Peek(HeaderFencingToken); len(text) > 0 {
		token, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			fail(ctx, errs.New(errs.InvalidRequest, "fencing token is not valid"))
			return
		}
		if err := r.observeFence(token); err != nil {
			fail(ctx, err)
			return
		}
	}
	reply(ctx, r.State())
}

func (r *Runner) handleTransit(ctx *fasthttp.RequestCtx, op string) {
	switch op {
	case "start":
		r.cfg.Transit.Start()
	case "end":
		r.cfg.Transit.End()
	}
	ctx.SetBodyString(strconv.Itoa(r.cfg.Transit.InTransit()))
}

func (r *Runner) handleControl(ctx *fasthttp.RequestCtx, op string) {
	switch op {
	case "faults":
		f, err := decodeFaults(ctx.PostBody())
		if err != nil {
			fail(ctx, errs.New(errs.InvalidRequest, "faults are not valid"))
			return
		}
		r.SetFaults(f)
		reply(ctx, f)
	case "restart":
		r.Restart()
		reply(ctx, r.State())
	case "silence":
		r.Silence()
		reply(ctx, struct{}{})
	case "log":
		reply(ctx, r.Log())
	case "violations":
		reply(ctx, append([]LogEntry{}, r.Violations()...))
	default:
		fail(ctx, errs.New(errs.NotFound, "no such control"))
	}
}
