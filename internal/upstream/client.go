package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
)

const (
	readBufferBytes = 4 << 10
	// wholeWriteBytes is the size of a request up to which it is written before
	// the answer is read. A target may answer before it has read a longer one.
	wholeWriteBytes = 4 << 10
	// lingerNone resets a connection that is closed with unread or unsent bytes.
	lingerNone = 0
)

// longPast is a deadline that ends all reads and writes at once.
var longPast = time.Unix(1, 0)

// Client opens exchanges. It is safe for concurrent use.
type Client struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	opened atomic.Int64
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 { return c.opened.Load() }

// Request is what is sent.
type Request struct {
	Address string
	Method  string
	URI     string // path and query, as received
	Fields  httpfields.List
	Body    []byte
}

// Exchange is one request and its answer.
type Exchange struct {
	Status int
	Fields httpfields.List

	conn     net.Conn
	response fasthttp.Response
	stop     func() bool
	written  atomic.Int64
	done     chan struct{} // the request is written
	mu       sync.Mutex
	aborted  bool
	complete bool
	deadline time.Time
	connect  time.Duration
}

// Times bound an exchange.
type Times struct {
	Connect time.Duration
	End     time.Time // of the whole exchange
}

// Open connects, sends a request and reads the head of the answer. The exchange
// must be closed. When ctx ends the connection is reset.
func (c *Client) Open(ctx context.Context, r Request, times Times) (*Exchange, *errs.Error) {
	dialCtx, cancel := context.WithTimeout(ctx, times.Connect)
	began := time.Now()
	conn, err := c.Dial(dialCtx, "tcp", r.Address)
	cancel()
	if err != nil {
		return nil, errs.Wrap(err, errs.TargetUnavailable, "no connection to the target").WithRan(errs.RanNo)
	}
	c.opened.Add(1)
	e := &Exchange{conn: conn, connect: time.Since(began), done: make(chan struct{}), deadline: times.End}
	_ = conn.SetDeadline(times.End)
	e.stop = context.AfterFunc(ctx, e.abort)
	e.send(r)
	if err := e.readHead(); err != nil {
		ran := errs.RanUnknown
		e.Close()
		if e.written.Load() == 0 {
			ran = errs.RanNo
		}
		return nil, classify(err).WithRan(ran)
	}
	return e, nil
}

// Connect returns the time that the connection took.
func (e *Exchange) Connect() time.Duration { return e.connect }

func (e *Exchange) send(r Request) {
	message := encode(r)
	if len(message) <= wholeWriteBytes {
		e.write(message)
		return
	}
	go e.write(message)
}

func (e *Exchange) write(message []byte) {
	defer close(e.done)
	n, _ := e.conn.Write(message) // a failure shows when the answer is read
	e.written.Store(int64(n))
}

func encode(r Request) []byte {
	size := len(r.Method) + len(r.URI) + len(r.Body) + 64
	for _, f := range r.Fields {
		size += len(f.Name) + len(f.Value) + 4
	}
	b := make([]byte, 0, size)
	b = append(append(append(append(b, r.Method...), ' '), r.URI...), " HTTP/1.1\r\n"...)
	for _, f := range r.Fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead {
		b = append(append(append(b, "Content-Length: "...), strconv.Itoa(len(r.Body))...), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

func (e *Exchange) readHead() error {
	e.response.StreamBody = true
	if err := e.response.ReadLimitBody(bufio.NewReaderSize(e.conn, readBufferBytes), 0); err != nil {
		return err
	}
	e.Status = e.response.StatusCode()
	for name, value := range e.response.Header.All() {
		e.Fields = append(e.Fields, httpfields.Field{Name: string(name), Value: string(value)})
	}
	return nil
}

// Read reads the body. It returns io.EOF only at the end of a complete one.
func (e *Exchange) Read(p []byte) (int, error) {
	body := e.response.BodyStream()
	if body == nil {
		e.complete = true
		return 0, io.EOF
	}
	n, err := body.Read(p)
	if err == io.EOF {
		e.complete = true
	}
	return n, err
}

// ReadAll reads a whole body of a bounded size.
func (e *Exchange) ReadAll(limit int64) ([]byte, *errs.Error) {
	body, err := io.ReadAll(io.LimitReader(e, limit+1))
	switch {
	case err != nil:
		return nil, classify(err).WithRan(errs.RanUnknown)
	case int64(len(body)) > limit:
		return nil, errs.New(errs.TooLarge, "the answer of the target is too large").WithRan(errs.RanUnknown)
	}
	return body, nil
}

// Allow ends a read that gets nothing for a time.
func (e *Exchange) Allow(silence time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.aborted {
		return
	}
	end := time.Now().Add(silence)
	if end.After(e.deadline) {
		end = e.deadline
	}
	_ = e.conn.SetReadDeadline(end)
}

func (e *Exchange) abort() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aborted = true
	_ = e.conn.SetDeadline(longPast)
}

// Close ends the exchange. One that is not complete is reset, so that the target
// stops its work.
func (e *Exchange) Close() {
	e.stop()
	if tcp, ok := e.conn.(*net.TCPConn); ok && !e.complete {
		_ = tcp.SetLinger(lingerNone)
	}
	_ = e.conn.Close()
	<-e.done
}

// Silence reports whether a failure means that nothing arrived in time. The parser
// of heads has an error of its own for that.
func Silence(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, fasthttp.ErrTimeout)
}

func classify(err error) *errs.Error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	if Silence(err) {
		return errs.Wrap(err, errs.Timeout, "the target fell silent")
	}
	return errs.Wrap(err, errs.TruncatedAnswer, "the target broke off")
}

// Until replaces the end of the exchange.
func (e *Exchange) Until(end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadline = end
	if !e.aborted {
		_ = e.conn.SetDeadline(end)
	}
}
