package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	api "cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpapi"
	"cicadaslip/internal/objectstore/memstore"
)

const (
	// maxBodyBytes leaves room for a value of the largest size and for a list of
	// a thousand targets.
	maxBodyBytes = 2 * api.MaxValueBytes
	// maxWait bounds one watch.
	maxWait = 5 * time.Minute
	// idleTimeout closes connections that a client has abandoned.
	idleTimeout = 2 * time.Minute
)

// Server serves a store and a list over HTTP.
type Server struct {
	Store *memstore.Store
	List  *memstore.Lister

	http    fasthttp.Server
	context context.Context
	stop    context.CancelFunc
}

// New returns a server over an empty store.
func New() *Server {
	s := &Server{Store: memstore.New()}
	s.List = memstore.NewLister(s.Store)
	s.context, s.stop = context.WithCancel(context.Background())
	s.http = fasthttp.Server{
		Handler: s.handle, Name: "standin-platform", MaxRequestBodySize: maxBodyBytes,
		IdleTimeout: idleTimeout, NoDefaultDate: true, CloseOnShutdown: true,
	}
	return s
}

// Serve serves connections of the listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != nil {
		return errs.Wrap(err, errs.Internal, "the stand-in cannot serve")
	}
	return nil
}

// Close ends waiting watches and closes the listener and idle connections.
func (s *Server) Close() error {
	s.stop()
	if err := s.http.Shutdown(); err != nil {
		return errs.Wrap(err, errs.Internal, "the stand-in cannot shut down")
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	result, err := s.route(ctx)
	if errs.Is(err, errs.StoreAmbiguous) {
		cut(ctx)
		return
	}
	ctx.SetContentType("application/json")
	if err != nil {
		typed := errs.As(err)
		ctx.SetStatusCode(errs.HTTPStatus(typed.Code))
		result = typed
	}
	body, err := json.Marshal(result)
	if err != nil {
		ctx.Error("the response cannot be encoded", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// cut closes the connection without a response.
func cut(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func (s *Server) route(ctx *fasthttp.RequestCtx) (any, error) {
	method := string(ctx.Method())
	path := string(ctx.URI().PathOriginal())
	switch {
	case strings.HasPrefix(path, httpapi.ObjectPath):
		key, err := url.PathUnescape(strings.TrimPrefix(path, httpapi.ObjectPath))
		if err != nil {
			return nil, errs.Wrap(err, errs.InvalidRequest, "the key cannot be decoded")
		}
		return s.object(ctx, method, key)
	case method == fasthttp.MethodGet && path == httpapi.ObjectsPath:
		return s.page(ctx)
	case method == fasthttp.MethodGet && path == httpapi.WatchPath:
		return s.watch(ctx)
	case method == fasthttp.MethodGet && path == httpapi.ListPath:
		return s.List.List(s.context)
	case strings.HasPrefix(path, "/control/"):
		return s.control(ctx, method+" "+path)
	}
	return nil, errs.New(errs.NotFound, "no such path")
}

func (s *Server) object(ctx *fasthttp.RequestCtx, method, key string) (any, error) {
	number := numbers{args: ctx.QueryArgs()}
	version, minRevision := number.get(httpapi.Version), number.get(httpapi.MinRevision)
	if number.err != nil {
		return nil, number.err
	}
	switch method {
	case fasthttp.MethodGet:
		return s.Store.Get(s.context, key, minRevision)
	case fasthttp.MethodDelete:
		return struct{}{}, s.Store.Delete(s.context, key, version)
	case fasthttp.MethodPut:
		return s.put(ctx, key, version)
	}
	return nil, errs.New(errs.InvalidRequest, "the method is not allowed")
}

func (s *Server) put(ctx *fasthttp.RequestCtx, key string, version int64) (any, error) {
	switch string(ctx.QueryArgs().Peek(httpapi.Mode)) {
	case httpapi.ModeCreate:
		return s.Store.Create(s.context, key, ctx.PostBody())
	case httpapi.ModeUpdate:
		return s.Store.Update(s.context, key, ctx.PostBody(), version)
	case httpapi.ModePut:
		return s.Store.Put(s.context, key, ctx.PostBody())
	}
	return nil, errs.New(errs.InvalidRequest, "mode must be create, update or put")
}

func (s *Server) page(ctx *fasthttp.RequestCtx) (any, error) {
	args := ctx.QueryArgs()
	number := numbers{args: args}
	limit, minRevision := number.get(httpapi.Limit), number.get(httpapi.MinRevision)
	if number.err != nil {
		return nil, number.err
	}
	prefix, after := string(args.Peek(httpapi.Prefix)), string(args.Peek(httpapi.After))
	return s.Store.List(s.context, prefix, after, int(limit), minRevision)
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) (any, error) {
	number := numbers{args: ctx.QueryArgs()}
	since, wait := number.get(httpapi.Since), number.get(httpapi.WaitMillis)
	if number.err != nil {
		return nil, number.err
	}
	duration := min(time.Duration(min(wait, maxWait.Milliseconds()))*time.Millisecond, maxWait)
	return s.Store.Watch(s.context, string(ctx.QueryArgs().Peek(httpapi.Prefix)), since, duration)
}
