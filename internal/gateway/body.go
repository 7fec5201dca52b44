package gateway

import (
	"context"
	"io"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/membudget"
)

const (
	// firstPartBytes is the size of the first part of a body, which is covered by the cost of the
	// connection.
	firstPartBytes = 8 << 10
	// maxPartBytes is the largest size of a further part.
	maxPartBytes = 64 << 10
	// memoryRetryAfter is the Retry-After time for callers whose requests find no memory. It is the
	// time after which a slow peer may be cut off.
	memoryRetryAfter = membudget.CutAge
)

// requestBody is the body of a caller's request.
type requestBody struct {
	first []byte   // of a buffer of firstParts, nil without a body
	rest  [][]byte // further parts, which are never used again
	size  int
}

// firstParts holds buffers of firstPartBytes.
var firstParts = sync.Pool{New: func() any { return new([firstPartBytes]byte) }}

// release allows other requests to use the buffer of the first part, and drops the further parts: an
// attempt that waits for what its target states late refers to the call, whose memory is returned.
func (b *requestBody) release() {
	b.rest = nil
	if b.first != nil {
		firstParts.Put((*[firstPartBytes]byte)(b.first[:firstPartBytes]))
		b.first = nil
	}
}

// readBody reads the body of a request. Memory for more than the first part is reserved before it
// is taken, and reading pauses meanwhile.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (b requestBody, err error) {
	limit, length := s.limits().BodyBytes, ctx.Request.Header.ContentLength()
	if length > limit || length == 0 && announcesTooMuch(&ctx.Request.Header) {
		return b, fasthttp.ErrBodyTooLarge
	}
	input := ctx.RequestBodyStream()
	if input == nil {
		return b, nil
	}
	conn, _ := ctx.Conn().(*callerconn.Conn)
	if conn != nil {
		conn.BeginBody()
		defer conn.EndBody()
	}
	defer func() {
		if err != nil {
			b.release()
		}
	}()
	b.first = firstParts.Get().(*[firstPartBytes]byte)[:0]
	part, ended, err := readPart(input, b.first[:firstPartBytes])
	b.first, b.size = part, len(part)
	for size := 2 * firstPartBytes; err == nil && !ended; size = min(2*size, maxPartBytes) {
		if b.size > limit {
			return b, fasthttp.ErrBodyTooLarge
		}
		next := min(size, limit+1-b.size)
		if length >= 0 {
			next = max(1, min(next, length-b.size))
		}
		if conn != nil {
			if refusal := conn.Memory.Reserve(context.Background(), int64(next)); refusal != membudget.Granted {
				return b, errs.NotRun(errs.Overloaded, "no memory for the body of the request: "+string(refusal)).WithRetry(memoryRetryAfter)
			}
		}
		part, ended, err = readPart(input, make([]byte, next))
		if len(part) > 0 {
			b.rest, b.size = append(b.rest, part), b.size+len(part)
		}
	}
	switch {
	case err != nil:
	case b.size > limit:
		err = fasthttp.ErrBodyTooLarge
	case length >= 0 && b.size < length:
		err = io.ErrUnexpectedEOF // the stream ends with the connection
	case conn != nil && conn.CutOff():
		err = callerconn.ErrCutOff
	}
	return b, err
}

// announcesTooMuch reports whether the header, as it was sent, announces a body although its length
// is 0: requestConfig has set it to 0 because it is over the limit. The connection must be closed
// then, or the body would be taken for the next request.
func announcesTooMuch(h *fasthttp.RequestHeader) bool {
	fields, err := httpfields.Parse(h.RawHeaders())
	if err != nil {
		return false // parse refuses it and closes the connection
	}
	return strings.Trim(fields.Get("Content-Length"), "0 \t") != ""
}

// readPart fills a buffer, and reports whether the body has ended.
func readPart(input io.Reader, buffer []byte) (part []byte, ended bool, err error) {
	n := 0
	for n < len(buffer) && err == nil {
		var more int
		more, err = input.Read(buffer[n:])
		n += more
	}
	if err == io.EOF {
		return buffer[:n], true, nil
	}
	return buffer[:n], false, err
}
