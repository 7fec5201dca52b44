package httpstore

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpapi"
)

// Defaults of Options.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultConnections = 32
)

const (
	// maxIdleConnection is shorter than the server's idle time, so that a write
	// rarely meets a connection that the server is closing.
	maxIdleConnection = 10 * time.Second
	// maxResponseBytes bounds a page: values of 1 MiB and one more object, in
	// base64, with keys.
	maxResponseBytes = 4 * objectstore.MaxValueBytes
	// readAttempts is the number of connections that one read may use.
	readAttempts = 2
)

// Options of a client. Zero fields take the defaults.
type Options struct {
	Address     string        // ip:port of the platform
	CallTimeout time.Duration // limit of a call; a watch may take its wait in addition
	DialTimeout time.Duration // limit of opening a connection
	Connections int           // largest number of connections for calls and again for watches
}

// Client calls the platform. It implements objectstore.Store; Lister returns the
// port to the list. It is safe for concurrent use.
type Client struct {
	options Options
	calls   *fasthttp.HostClient
	watches *fasthttp.HostClient // apart, so that waiting watches leave connections to calls
}

var _ objectstore.Store = (*Client)(nil)

// New returns a client. It opens no connection yet.
func New(options Options) *Client {
	if options.CallTimeout <= 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.Connections <= 0 {
		options.Connections = DefaultConnections
	}
	return &Client{options: options, calls: hostClient(options), watches: hostClient(options)}
}

func hostClient(o Options) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: o.Address, MaxConns: o.Connections, MaxConnWaitTimeout: o.CallTimeout,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return dial(address, o.DialTimeout, timeout)
		},
		MaxIdleConnDuration: maxIdleConnection, MaxResponseBodySize: maxResponseBytes,
		// The library would repeat a PUT, which is not idempotent here.
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true, DisablePathNormalizing: true,
		// The freshest connection is the least likely to have gone silent.
		ConnPoolStrategy: fasthttp.LIFO,
	}
}

// dialError marks a failure before any byte was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func dial(address string, limit, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// call is one request.
type call struct {
	client *fasthttp.HostClient
	method string
	path   string // escaped
	query  string // encoded
	body   []byte
	limit  time.Duration
	write  bool
}

// do sends a call and decodes its response into result.
func (c *Client) do(ctx context.Context, request call, result any) error {
	deadline := time.Now().Add(request.limit)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	if request.write || request.client == c.watches {
		return c.attempt(ctx, request, deadline, result)
	}
	var err error
	for left := readAttempts; left > 0; left-- {
		now := time.Now()
		end := now.Add(deadline.Sub(now) / time.Duration(left))
		if err = c.attempt(ctx, request, end, result); !errors.Is(err, errSilent) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// errSilent marks a connection that gave no answer, as opposed to a refusal.
var errSilent = errs.New(errs.Timeout, "no response")

// attempt runs the exchange in its own goroutine, because fasthttp does not
// know contexts. An exchange that is given up ends by its deadline.
func (c *Client) attempt(ctx context.Context, request call, deadline time.Time, result any) error {
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return errs.Wrap(context.Cause(ctx), errs.StoreUnavailable, "the call was not made")
	}
	finished := make(chan response, 1)
	go func() { finished <- exchange(request, deadline) }()
	select {
	case r := <-finished:
		if errors.Is(r.err, fasthttp.ErrTimeout) {
			request.client.CloseIdleConnections()
		}
		return r.decode(request.write, result)
	case <-ctx.Done():
		return lost(request.write, ctx.Err())
	}
}

func exchange(request call, deadline time.Time) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(request.method)
	req.SetRequestURI("http://" + request.client.Addr + request.path + "?" + request.query)
	req.URI().DisablePathNormalizing = true
	req.SetBody(request.body)
	if err := request.client.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

func (c *Client) read(path, query string) call {
	return call{client: c.calls, method: fasthttp.MethodGet, path: path, query: query, limit: c.options.CallTimeout}
}

func objectPath(key string) string { return httpapi.ObjectPath + escape(key) }
