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

// writeTimeout bounds one write, so that a peer that does not read cannot block
// the others' messages for ever.
const writeTimeout = 5 * time.Second

// keptBufferBytes is the largest write buffer that an idle connection keeps.
const keptBufferBytes = 64 << 10

// notRunPrefix marks errors of calls whose method was not called.
const notRunPrefix = string(errs.RanNo) + ": "

// Clock gives and merges timeline stamps. *timeline.Clock implements it.
type Clock interface {
	Now() timeline.Stamp
	Merge(remote timeline.Stamp)
}

// header precedes every argument and reply on the wire.
type header struct {
	Method string
	Seq    uint64
	Error  string // of a reply
	Stamp  timeline.Stamp
}

// stream is what both codecs share. Reads and writes are each done by one
// goroutine at a time, as net/rpc does.
type stream struct {
	conn     net.Conn
	clock    Clock
	reader   *messageReader
	decoder  *gob.Decoder
	message  bytes.Buffer // the message that is being written
	spoiled  bool         // the encoder defined types that were not sent
	encoder  *gob.Encoder
	received atomic.Uint64 // messages read, shows that the peer is alive
}

func newStream(conn net.Conn, clock Clock) *stream {
	s := &stream{conn: conn, clock: clock, reader: newMessageReader(conn)}
	s.decoder, s.encoder = gob.NewDecoder(s.reader), gob.NewEncoder(&s.message)
	return s
}

func (s *stream) readHeader() (header, error) {
	var h header
	s.reader.beginCall()
	if err := s.decoder.Decode(&h); err != nil {
		return header{}, err
	}
	s.received.Add(1)
	s.clock.Merge(h.Stamp)
	return h, nil
}

// write sends one message. Nothing was sent if the failure is an unsentError. No
// failure leaves the connection usable: the message may be sent in part, or
// types that the encoder has defined are not sent.
func (s *stream) write(h header, body any) error {
	if s.spoiled {
		return unsentError{errs.New(errs.PeerUnavailable, "the connection is being replaced")}
	}
	h.Stamp = s.clock.Now()
	if err := s.encode(h, body); err != nil {
		s.spoiled = true
		return unsentError{errs.As(err)}
	}
	err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = s.conn.Write(s.message.Bytes())
	}
	if err != nil {
		_ = s.conn.Close()
	}
	s.message.Reset()
	if s.message.Cap() > keptBufferBytes {
		s.message = bytes.Buffer{}
	}
	return err
}

// unsentError is the failure of a message of which nothing was sent. A failure
// to read has another type, also if it is about the size of a message.
type unsentError struct{ cause *errs.Error }

// Error returns the text of the cause.
func (e unsentError) Error() string { return e.cause.Error() }

// Unwrap returns the typed error.
func (e unsentError) Unwrap() error { return e.cause }

func (s *stream) encode(h header, body any) error {
	if err := s.encoder.Encode(h); err != nil {
		return err
	}
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	if s.message.Len() > MaxMessageBytes {
		return errs.New(errs.TooLarge, "the message to the peer is too large")
	}
	return nil
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*stream
	ended func() // called when nothing more can be read
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	if err != nil {
		c.ended()
	}
	return err
}

func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// Close closes the socket without the TLS closing alert, which would wait for a
// peer that does not read.
func (c clientCodec) Close() error {
	if secured, ok := c.conn.(*tls.Conn); ok {
		return secured.NetConn().Close()
	}
	return c.conn.Close()
}

// serverCodec implements rpc.ServerCodec. It refuses calls beyond the bound of
// concurrent calls, and closes a connection on which nothing arrives.
type serverCodec struct {
	*stream
	running atomic.Int64
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
		return err
	}
	h, err := c.readHeader()
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	if err == nil {
		c.running.Add(1)
	}
	return err
}

func (c *serverCodec) ReadRequestBody(body any) error {
	if c.running.Load() > MaxCallsPerConnection {
		body = nil
	}
	err := c.decoder.Decode(body)
	switch {
	case err != nil:
		return notRunError{errs.Wrap(err, errs.InvalidMessage, "decode the arguments")}
	case body == nil:
		return notRunError{errs.New(errs.Overloaded, "too many concurrent calls on the connection")}
	}
	return nil
}

// notRunError is the failure of a call whose method was not called.
type notRunError struct{ cause *errs.Error }

// Error returns the text from which the client restores the error.
func (e notRunError) Error() string { return notRunPrefix + e.cause.Error() }

// Unwrap returns the typed error.
func (e notRunError) Unwrap() error { return e.cause }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.running.Add(-1)
	err := c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *serverCodec) Close() error { return c.conn.Close() }
