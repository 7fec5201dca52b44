package peer

import (
	"bytes"
	"crypto/tls"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// writeTimeout limits one write to a connection, so that a peer that does not
// read cannot block the calls that wait to be written.
const writeTimeout = 5 * time.Second

// maxIdleBufferBytes is the largest write buffer that a stream keeps between
// messages.
const maxIdleBufferBytes = 64 << 10

// notRunPrefix marks the error text of a call whose method was not run.
const notRunPrefix = string(errs.RanNo) + ": "

// Clock issues timeline stamps and merges received ones. *timeline.Clock
// implements it.
type Clock interface {
	Now() timeline.Stamp
	Merge(remote timeline.Stamp)
}

// header precedes every argument and reply on the wire. It is encoded with gob.
type header struct {
	Method string // "Service.Method"
	Seq    uint64 // number of the call on its connection, chosen by net/rpc
	Error  string // error text of a reply, empty if the method succeeded
	Stamp  timeline.Stamp
}

// stream reads and writes messages on one connection, for the client codec and
// the server codec. At most one goroutine may read and at most one may write at a
// time, which net/rpc ensures.
type stream struct {
	conn          net.Conn
	clock         Clock
	reader        *messageReader
	decoder       *gob.Decoder
	writeBuffer   bytes.Buffer // encoded message that is being written
	encoderBroken bool         // a message failed to encode, so type definitions may not have been sent
	encoder       *gob.Encoder
	receivedCount atomic.Uint64 // message headers received; an increase shows that the peer is alive
}

func newStream(conn net.Conn, clock Clock) *stream {
	s := &stream{conn: conn, clock: clock, reader: newMessageReader(conn)}
	s.decoder, s.encoder = gob.NewDecoder(s.reader), gob.NewEncoder(&s.writeBuffer)
	return s
}

// readHeader reads the header of the next message and merges its stamp into the
// clock.
func (s *stream) readHeader() (header, error) {
	var h header
	s.reader.allowCall()
	if err := s.decoder.Decode(&h); err != nil {
		return header{}, err
	}
	s.receivedCount.Add(1)
	s.clock.Merge(h.Stamp)
	return h, nil
}

// write sends one message. If it returns an unsentError, nothing was sent. After
// any failure the connection is unusable: either a part of the message was sent,
// or the encoder has defined types whose definitions the peer did not receive.
func (s *stream) write(h header, body any) error {
	if s.encoderBroken {
		return unsentError{errs.New(errs.PeerUnavailable, "an earlier message failed to encode; the connection is being replaced")}
	}
	h.Stamp = s.clock.Now()
	if err := s.encode(h, body); err != nil {
		s.encoderBroken = true
		return unsentError{errs.As(err)}
	}
	err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = s.conn.Write(s.writeBuffer.Bytes())
	}
	if err != nil {
		_ = s.conn.Close()
	}
	s.writeBuffer.Reset()
	if s.writeBuffer.Cap() > maxIdleBufferBytes {
		s.writeBuffer = bytes.Buffer{}
	}
	return err
}

// unsentError is the error of a message of which nothing was sent. An error of
// reading never has this type, even if the received message is too large.
type unsentError struct{ cause *errs.Error }

// Error implements error.
func (e unsentError) Error() string { return e.cause.Error() }

// Unwrap returns the typed error.
func (e unsentError) Unwrap() error { return e.cause }

// encode encodes the header and the body into the write buffer.
func (s *stream) encode(h header, body any) error {
	if err := s.encoder.Encode(h); err != nil {
		return err
	}
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	if s.writeBuffer.Len() > MaxMessageBytes {
		return errs.New(errs.TooLarge, "message to the peer exceeds 4 MiB")
	}
	return nil
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*stream
	onReadError func() // called when a response header cannot be read
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	if err != nil {
		c.onReadError()
	}
	return err
}

func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// Close closes the socket without sending the TLS close_notify alert, because
// sending it would block on a peer that does not read.
func (c clientCodec) Close() error {
	if tlsConn, ok := c.conn.(*tls.Conn); ok {
		return tlsConn.NetConn().Close()
	}
	return c.conn.Close()
}

// serverCodec implements rpc.ServerCodec. It refuses calls beyond
// MaxCallsPerConnection, and fails if no call arrives within serverIdleTimeout, so
// that net/rpc closes the connection.
type serverCodec struct {
	*stream
	runningCalls atomic.Int64 // calls whose header was read and that have no response yet
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
		return err
	}
	h, err := c.readHeader()
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	if err == nil {
		c.runningCalls.Add(1)
	}
	return err
}

func (c *serverCodec) ReadRequestBody(body any) error {
	if c.runningCalls.Load() > MaxCallsPerConnection {
		body = nil // makes the decoder discard the arguments
	}
	err := c.decoder.Decode(body)
	switch {
	case err != nil:
		return notRunError{errs.Wrap(err, errs.InvalidMessage, "decode the arguments")}
	case body == nil:
		return notRunError{errs.New(errs.Overloaded, "more than 4096 concurrent calls on the connection")}
	}
	return nil
}

// notRunError is the error of a call whose method was not run.
type notRunError struct{ cause *errs.Error }

// Error returns the text that parseServerError parses on the client.
func (e notRunError) Error() string { return notRunPrefix + e.cause.Error() }

// Unwrap returns the typed error.
func (e notRunError) Unwrap() error { return e.cause }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.runningCalls.Add(-1)
	err := c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *serverCodec) Close() error { return c.conn.Close() }
