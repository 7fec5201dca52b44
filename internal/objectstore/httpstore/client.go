package httpstore

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/keptconn"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpapi"
)

// Defaults of the fields of Options.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultConnections = 32
)

const (
	// maxIdleConnDuration is shorter than the server's idle timeout, so that a
	// write is rarely sent on a connection that the server is closing.
	maxIdleConnDuration = 10 * time.Second
	// maxResponseBytes limits the body of a response. The largest page has 1 MiB of
	// values and one more object, in base64, plus the keys.
	maxResponseBytes = 4 * objectstore.MaxValueBytes
	// readAttempts is the maximum number of attempts of one read. An attempt after
	// a timeout uses a new connection.
	readAttempts = 2
)

// Options configures a client. Zero fields take the defaults.
type Options struct {
	Address     string        // ip:port of the platform
	CallTimeout time.Duration // longest duration of a call; a watch may take its wait in addition
	DialTimeout time.Duration // longest time to open a connection
	Connections int           // maximum number of open connections for calls, and the same number again for watches
}

// Client calls the platform over HTTP and implements objectstore.Store. Its method
// Lister returns the reader of the platform's list. A Client is safe for
// concurrent use.
type Client struct {
	options Options
	calls   *fasthttp.HostClient
	watches *fasthttp.HostClient // separate, so that waiting watches do not use up the connections for calls
}

var _ objectstore.Store = (*Client)(nil)

// New returns a client. Connections are opened by the first calls.
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
	return &Client{options: options, calls: newHostClient(options), watches: newHostClient(options)}
}

func newHostClient(o Options) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: o.Address, MaxConns: o.Connections, MaxConnWaitTimeout: o.CallTimeout,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return dial(address, o.DialTimeout, timeout)
		},
		MaxIdleConnDuration: maxIdleConnDuration, MaxResponseBodySize: maxResponseBytes,
		// fasthttp would repeat a PUT, which is not idempotent in this API.
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true, DisablePathNormalizing: true,
		// The most recently used connection is the least likely to have stopped
		// responding.
		ConnPoolStrategy: fasthttp.LIFO,
	}
}

// dialError is a failure to connect, before any byte of the request was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// dial opens a connection within limit, or within timeout if that is positive and
// shorter. Its errors are of type dialError.
func dial(address string, limit, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, dialError{err}
	}
	return keptconn.New(conn), nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// call is one request to the platform.
type call struct {
	client  *fasthttp.HostClient
	method  string
	path    string // URL path, escaped
	query   string // URL query, encoded
	body    []byte
	timeout time.Duration // longest duration of the call, all attempts included
	isWrite bool
}

// do sends a call and decodes its response into result. A write or a watch is
// attempted once. A read that gets no response is attempted up to readAttempts
// times, which divide the time until the deadline among them.
func (c *Client) do(ctx context.Context, request call, result any) error {
	deadline := time.Now().Add(request.timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if request.isWrite || request.client == c.watches {
		return c.attempt(ctx, request, deadline, result)
	}
	var err error
	for attemptsLeft := readAttempts; attemptsLeft > 0; attemptsLeft-- {
		now := time.Now()
		attemptDeadline := now.Add(deadline.Sub(now) / time.Duration(attemptsLeft))
		if err = c.attempt(ctx, request, attemptDeadline, result); !errors.Is(err, errNoResponse) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// errNoResponse marks the error of a read that got no usable response, as opposed
// to an error that the platform returned.
var errNoResponse = errs.New(errs.Timeout, "no response")

// attempt sends a call once. The exchange runs in its own goroutine, because
// fasthttp does not support contexts. If ctx ends first, attempt returns at once
// and the exchange continues until its deadline at the latest.
func (c *Client) attempt(ctx context.Context, request call, deadline time.Time, result any) error {
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return errs.Wrap(context.Cause(ctx), errs.StoreUnavailable, "the call was not made because its context or its timeout had ended")
	}
	responses := make(chan response, 1)
	go func() { responses <- exchange(request, deadline) }()
	select {
	case r := <-responses:
		if errors.Is(r.err, fasthttp.ErrTimeout) {
			request.client.CloseIdleConnections()
		}
		return r.decode(request.isWrite, result)
	case <-ctx.Done():
		return unansweredError(request.isWrite, ctx.Err())
	}
}

// exchange sends the request and waits for its response until the deadline.
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

// readCall returns a GET call with the client's call timeout.
func (c *Client) readCall(path, query string) call {
	return call{client: c.calls, method: fasthttp.MethodGet, path: path, query: query, timeout: c.options.CallTimeout}
}

func objectPath(key string) string { return httpapi.ObjectPath + escape(key) }
