package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/socketstate"
)

const (
	// readBufferBytes is the largest size of the head of a response, apart from what it repeats of the
	// request.
	readBufferBytes = 4 << 10
	// maxInterimBytes is the largest size of the interim responses before the head of a response.
	maxInterimBytes = 4 << 10
	// receiveBufferBytes limits the kernel's receive buffer for a response that is not read because
	// its caller reads slowly. Without a limit it grows to several megabytes.
	receiveBufferBytes = 128 << 10
	// syncWriteBytes is the size up to which a request is written before the
	// response is read. Larger requests are written concurrently, because a target
	// may respond before it has read the whole request.
	syncWriteBytes = 4 << 10
	// resetLingerSeconds makes Close reset the connection and discard unsent
	// bytes.
	resetLingerSeconds = 0
)

// Client opens exchanges with targets. It is safe for concurrent use.
type Client struct {
	// Dial opens a connection to a target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// LateHeadWait is how long a target that was given up may still tell that it has responded,
	// DefaultLateHeadWait if it is not positive.
	LateHeadWait time.Duration
	// MaxOpen limits the open connections, unless it is 0.
	MaxOpen int64

	opened atomic.Int64 // connections opened so far
	open   atomic.Int64 // connections that are open or being opened
}

// OpenedConnections returns the number of connections opened so far.
func (c *Client) OpenedConnections() int64 { return c.opened.Load() }

// OpenNow returns the number of connections that are open or being opened.
func (c *Client) OpenNow() int64 { return c.open.Load() }

// Request is a request to a target.
type Request struct {
	Address string // host and port of the target
	Method  string
	URI     string          // path and query, as received from the caller
	Fields  httpfields.List // header fields; Content-Length is added
	Body    []byte
	Rest    [][]byte // further parts of the body, which are not copied
	// EchoBytes is the length of what the head of the response repeats of the request, beyond what
	// fits into the head of any response.
	EchoBytes int
	// Connected is called before the first byte of the request is sent, unless it is nil. If
	// it returns false, nothing is sent.
	Connected func() bool
	// Writing is called with the time when writing Rest begins, and with that or what Written has
	// returned when it has ended, unless it is nil.
	Writing func(since time.Time, ended bool)
	// Written is called after each part of Rest, with what it has returned before, at first the time
	// when writing began. It is set if Writing is.
	Written func(since, now time.Time, bytes int) time.Time
	// Late is called in a goroutine of its own when the exchange is given up for lack of a
	// response, unless it is nil. It must call read, which waits for a late one.
	Late func(read LateHead)
}

// LateHead ends an exchange that was given up. It returns the head of a response that has
// arrived nevertheless, and reports false if none has within the client's LateHeadWait.
type LateHead func() (status int, fields httpfields.List, found bool)

// DefaultLateHeadWait is the default of Client.LateHeadWait. A target that was told to stop
// usually closes the connection within a round trip.
const DefaultLateHeadWait = 100 * time.Millisecond

// Exchange is one request to a target and its response.
type Exchange struct {
	Status int             // HTTP status code of the response
	Fields httpfields.List // header fields of the response

	client       *Client
	conn         net.Conn
	input        input
	reader       *bufio.Reader // of input
	response     fasthttp.Response
	stopAbort    func() bool   // stops abort from running when the context ends
	bytesWritten atomic.Int64  // of the request, set when writing has ended
	writeErr     error         // with which writing ended, valid once writeDone is closed
	writeDone    chan struct{} // closed when writing the request has ended
	method       string        // of the request
	hasBody      bool          // the method and the status allow a body
	hasHead      atomic.Bool   // the head of the response was read
	abortMu      sync.Mutex    // held while abort or readLateHead sets a deadline
	givenUp      bool          // readLateHead has begun, guarded by abortMu
	closed       atomic.Bool   // Close was called
	complete     bool          // the response body was read to its end
	connectTime  time.Duration
}

// Timeouts limits the duration of an exchange.
type Timeouts struct {
	Connect  time.Duration // for opening the connection
	Deadline time.Time     // end of the whole exchange
}

// Open connects to a target, sends a request and reads the head of the
// response. The caller must close the exchange. When ctx ends, all reads and
// writes of the exchange fail, and Close resets the connection unless the
// response is complete.
func (c *Client) Open(ctx context.Context, r Request, timeouts Timeouts) (*Exchange, *errs.Error) {
	if open := c.open.Add(1); c.MaxOpen > 0 && open > c.MaxOpen {
		c.open.Add(-1)
		return nil, errs.NotRun(errs.Overloaded, "this VM has no connection to targets left")
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeouts.Connect)
	startedAt := time.Now()
	conn, err := c.Dial(dialCtx, "tcp", r.Address)
	cancel()
	if err != nil {
		c.open.Add(-1)
		return nil, errs.Wrap(err, errs.TargetUnavailable, "connecting to the target failed").WithRan(errs.RanNo)
	}
	c.opened.Add(1)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferBytes)
	}
	if socketstate.Of(conn) != socketstate.Idle {
		_ = conn.Close()
		c.open.Add(-1)
		return nil, errs.NotRun(errs.TargetUnavailable, "the target answered before the request, or closed the connection")
	}
	e := &Exchange{client: c, conn: conn, method: r.Method, input: input{conn: conn}, connectTime: time.Since(startedAt), writeDone: make(chan struct{})}
	e.reader = bufio.NewReaderSize(&e.input, readBufferBytes+r.EchoBytes)
	e.input.maxHead = e.reader.Size() + maxInterimBytes
	_ = conn.SetDeadline(timeouts.Deadline)
	e.stopAbort = context.AfterFunc(ctx, e.abort)
	if r.Connected != nil && !r.Connected() {
		close(e.writeDone)
		e.Close()
		return nil, errs.NotRun(errs.Cancelled, "the request was not sent")
	}
	e.send(r)
	if err := e.readHead(); err != nil {
		ran := errs.RanUnknown
		if r.Late == nil || !IsTimeout(err) {
			e.Close()
		}
		<-e.writeDone
		if e.bytesWritten.Load() == 0 {
			ran = errs.RanNo
		}
		if r.Late != nil && IsTimeout(err) {
			wait := c.LateHeadWait
			if wait <= 0 {
				wait = DefaultLateHeadWait
			}
			go r.Late(func() (int, httpfields.List, bool) { return e.readLateHead(wait) })
		}
		return nil, typedError(err).WithRan(ran)
	}
	e.hasHead.Store(true)
	return e, nil
}

// readLateHead implements LateHead. It tells the target to stop before it waits.
func (e *Exchange) readLateHead(wait time.Duration) (status int, fields httpfields.List, found bool) {
	defer e.Close()
	e.stopAbort()
	if tcp, ok := e.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	e.abortMu.Lock()
	e.givenUp = true
	_ = e.conn.SetReadDeadline(time.Now().Add(wait))
	e.abortMu.Unlock()
	next := &Exchange{method: e.method, input: input{conn: e.conn, unread: e.input.head, maxHead: e.input.maxHead}}
	next.reader = bufio.NewReaderSize(&next.input, e.reader.Size())
	if next.readHead() != nil {
		return 0, nil, false
	}
	return next.Status, next.Fields, true
}

// Refuses reports whether a target refuses connections, as it does after its process has
// ended. It reports false if that is unknown because no answer arrives before ctx ends.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.Dial(ctx, "tcp", address)
	if err == nil {
		c.opened.Add(1)
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// ConnectTime returns the time that it took to open the connection.
func (e *Exchange) ConnectTime() time.Duration { return e.connectTime }

// send writes a request, in the background if it is larger than
// syncWriteBytes.
func (e *Exchange) send(r Request) {
	message := encodeRequest(r)
	if len(message) <= syncWriteBytes && len(r.Rest) == 0 {
		e.write(message, r)
		return
	}
	go e.write(message, r)
}

// write writes the encoded request and records how many bytes were written.
func (e *Exchange) write(message []byte, r Request) {
	defer close(e.writeDone)
	since, watched := time.Now(), len(r.Rest) > 0 && r.Writing != nil
	if watched {
		r.Writing(since, false)
		defer func() { r.Writing(since, true) }()
	}
	n, err := e.conn.Write(message)
	e.bytesWritten.Store(int64(n))
	for i := 0; i < len(r.Rest) && err == nil; i++ {
		n, err = e.conn.Write(r.Rest[i])
		e.bytesWritten.Add(int64(n))
		if watched && err == nil {
			since = r.Written(since, time.Now(), n)
		}
	}
	e.writeErr = err
}

// encodeRequest returns the wire form of a request up to the end of Body.
func encodeRequest(r Request) []byte {
	size := len(r.Method) + len(r.URI) + len(r.Body) + 64
	for _, f := range r.Fields {
		size += len(f.Name) + len(f.Value) + 4
	}
	length := len(r.Body)
	for _, part := range r.Rest {
		length += len(part)
	}
	b := make([]byte, 0, size)
	b = append(append(append(append(b, r.Method...), ' '), r.URI...), " HTTP/1.1\r\n"...)
	for _, f := range r.Fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	if length > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead {
		b = append(append(append(b, "Content-Length: "...), strconv.Itoa(length)...), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// input reads from a connection and keeps what the parser hides.
type input struct {
	conn    net.Conn
	aborted atomic.Bool // the connection was closed by Exchange.abort
	head    []byte      // bytes read while a head is parsed
	maxHead int         // largest length of head
	inHead  bool        // a head is being parsed
	err     error       // with which reading ended; the parser replaces some
	unread  []byte      // bytes that come before those of the connection
}

// Read implements io.Reader.
func (i *input) Read(p []byte) (int, error) {
	var n int
	var err error
	if len(i.unread) > 0 {
		n = copy(p, i.unread)
		i.unread = i.unread[n:]
	} else {
		n, err = i.conn.Read(p)
	}
	if i.inHead && len(i.head)+n > i.maxHead {
		i.err = errs.New(errs.WrongAnswer, "the interim responses of the target are too long")
		return 0, i.err
	}
	if i.inHead {
		i.head = append(i.head, p[:n]...)
	}
	if err != nil && i.aborted.Load() {
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		i.err = err
	}
	return n, err
}

// cause returns the timeout of the connection, or the limit of a head, if that is what made the
// parser fail with err, otherwise err.
func (i *input) cause(err error) error {
	if IsTimeout(i.err) || errs.Is(i.err, errs.WrongAnswer) {
		return i.err
	}
	return err
}

// readHead reads the status line and the header fields of the response.
func (e *Exchange) readHead() error {
	e.response.StreamBody, e.response.SkipBody = true, e.method == fasthttp.MethodHead
	buffered, _ := e.reader.Peek(e.reader.Buffered())
	e.input.head, e.input.inHead = append([]byte(nil), buffered...), true
	err := e.response.ReadLimitBody(e.reader, 0)
	e.input.inHead = false
	if err != nil {
		return e.input.cause(err)
	}
	head := e.input.head[:len(e.input.head)-e.reader.Buffered()]
	e.input.head = nil
	if err := checkHead(head, &e.response.Header); err != nil {
		return err
	}
	if e.Status = e.response.StatusCode(); !httpfields.FinalStatus(e.Status) {
		return errs.New(errs.WrongAnswer, "the target responded with status "+strconv.Itoa(e.Status)+", which is no final answer")
	}
	e.hasBody = e.response.BodyStream() != nil
	for name, value := range e.response.Header.All() {
		e.Fields = append(e.Fields, httpfields.Field{Name: string(name), Value: string(value)})
	}
	return nil
}

// Next skips the rest of the current response, of at most limit bytes, and reads the head
// of the next response on the same connection. It fails if the current response ends with
// the connection.
func (e *Exchange) Next(limit int64) *errs.Error {
	if e.Unframed() {
		return errs.New(errs.WrongAnswer, "the response ends with the connection, so no other can follow").WithRan(errs.RanUnknown)
	}
	if n, err := io.CopyN(io.Discard, e, limit+1); err != io.EOF {
		if n > limit {
			return errs.New(errs.TooLarge, "the response body of the target is too large").WithRan(errs.RanUnknown)
		}
		return typedError(err).WithRan(errs.RanUnknown)
	}
	e.complete = false
	e.Fields = nil
	e.response.Reset()
	if err := e.readHead(); err != nil {
		return typedError(err).WithRan(errs.RanUnknown)
	}
	return nil
}

// Read reads the response body. It returns io.EOF only at the end of a
// complete body, or of an unframed one whose connection has not failed.
func (e *Exchange) Read(p []byte) (int, error) {
	body := e.response.BodyStream()
	if body == nil {
		e.complete = true
		return 0, io.EOF
	}
	n, err := body.Read(p)
	switch err {
	case nil:
	case io.EOF:
		if err = e.unframedEnd(); err == io.EOF {
			e.complete = true
		}
	default:
		err = e.input.cause(err)
	}
	return n, err
}

// unframedEnd returns the error for the end of the connection that ends the body: io.EOF, or
// that of the write of the request if this has failed. The kernel tells the reset of a
// connection once. If the write has heard of it, reads report a regular end.
func (e *Exchange) unframedEnd() error {
	if !e.Unframed() {
		return io.EOF
	}
	<-e.writeDone
	if e.writeErr != nil {
		return errs.Wrap(e.writeErr, errs.TruncatedAnswer, "the connection failed while the request was being written")
	}
	return io.EOF
}

// Unframed reports whether the response has neither a length nor chunks, so that its body
// ends with the connection. Such a body may lack its end although Read returns io.EOF.
func (e *Exchange) Unframed() bool {
	return e.hasBody && e.response.Header.ContentLength() == identityLength
}

// identityLength is what fasthttp returns as the length of an unframed body.
const identityLength = -2

const (
	// firstReadBytes is the first buffer for a response body. It is not reserved.
	firstReadBytes = 4 << 10
	// midReadBytes is the buffer that follows for a longer body, whatever length is announced, so
	// that no memory is taken for one that does not come.
	midReadBytes = 64 << 10
)

// ReadAll reads the rest of the response body. It fails with errs.TooLarge if
// this is longer than limit bytes. reserve is called before more than a few kilobytes are taken,
// unless it is nil.
func (e *Exchange) ReadAll(limit int64, reserve func(bytes int) *errs.Error) ([]byte, *errs.Error) {
	length := int64(e.response.Header.ContentLength())
	if !e.hasBody {
		length = 0
	}
	if length > limit {
		return nil, errs.New(errs.TooLarge, "the response body of the target is too large").WithRan(errs.RanUnknown)
	}
	size := int64(firstReadBytes)
	if length >= 0 {
		size = min(size, length+1) // one byte more than the body, to read its end
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size = nextSize(int64(cap(body)), length, limit)
			if reserve != nil {
				if failure := reserve(int(size) - cap(body)); failure != nil {
					return nil, failure
				}
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := e.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errs.New(errs.TooLarge, "the response body of the target is too large").WithRan(errs.RanUnknown)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, typedError(err).WithRan(errs.RanUnknown)
		}
	}
}

// nextSize returns the size of the buffer that follows a full one, for a body of a length, which is
// negative if it is not known.
func nextSize(size, length, limit int64) int64 {
	next := max(2*size, midReadBytes)
	if length >= 0 {
		if size >= midReadBytes {
			return length + 1
		}
		next = min(next, length+1)
	}
	return max(size+1, min(next, limit+1))
}

// abort makes all reads and writes of the exchange fail as after its deadline. Once the head
// was read it also closes the connection, so that the target stops working on the request; Open
// does so before.
func (e *Exchange) abort() {
	e.abortMu.Lock()
	defer e.abortMu.Unlock()
	if e.givenUp {
		return
	}
	e.input.aborted.Store(true)
	if !e.hasHead.Load() {
		_ = e.conn.SetDeadline(time.Unix(1, 0))
		return
	}
	if tcp, ok := e.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(resetLingerSeconds)
	}
	_ = e.conn.Close()
}

// Close ends the exchange. The connection is reset if the response is
// incomplete, so that the target stops working on the request.
func (e *Exchange) Close() {
	e.stopAbort()
	if tcp, ok := e.conn.(*net.TCPConn); ok && !e.complete {
		_ = tcp.SetLinger(resetLingerSeconds)
	}
	_ = e.conn.Close()
	if !e.closed.Swap(true) {
		e.client.open.Add(-1)
	}
	<-e.writeDone
}

// IsTimeout reports whether an error means that no data arrived in time. The
// response parser of fasthttp returns its own error for that.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, fasthttp.ErrTimeout)
}

// typedError returns err as a typed error: an errs.Error as it is, a timeout
// as errs.Timeout and any other failure as errs.TruncatedAnswer.
func typedError(err error) *errs.Error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	if IsTimeout(err) {
		return errs.Wrap(err, errs.Timeout, "the target did not respond in time")
	}
	return errs.Wrap(errs.Abbreviate(err), errs.TruncatedAnswer, "the target closed the connection or sent an invalid response")
}
