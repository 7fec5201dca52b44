package peer

import (
	"bufio"
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
	buffer   *bufio.Writer
	encoder  *gob.Encoder
	received atomic.Uint64 // messages read, shows that the peer is alive
}

func newStream(conn net.Conn, clock Clock) *stream {
	s := &stream{conn: conn, clock: clock, reader: newMessageReader(conn), buffer: bufio.NewWriter(conn)}
	s.decoder, s.encoder = gob.NewDecoder(s.reader), gob.NewEncoder(s.buffer)
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

func (s *stream) write(h header, body any) error {
	h.Stamp = s.clock.Now()
	err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = s.encoder.Encode(h)
	}
	if err == nil {
		err = s.encoder.Encode(body)
	}
	if err == nil {
		err = s.buffer.Flush()
	}
	if err != nil {
		// A partly written message makes the connection useless.
		_ = s.conn.Close()
	}
	return err
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
func (c clientCodec) Close() error { return c.conn.(*tls.Conn).NetConn().Close() }

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
	if err := c.decoder.Decode(body); err != nil {
		return err
	}
	if body == nil {
		return errs.New(errs.Overloaded, "too many concurrent calls on the connection")
	}
	return nil
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.running.Add(-1)
	return c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}

func (c *serverCodec) Close() error { return c.conn.Close() }
