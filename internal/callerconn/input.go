package callerconn

import (
	"bytes"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/membudget"
)

// The memory that a head takes while its request is served, in bytes. The HTTP server and the gateway
// keep a list entry for each field, so a head of short fields takes many times its length.
const (
	bytesPerField = 256 // in the lists of the HTTP server, the gateway and two attempts
	bytesPerItem  = 48  // of a list of values that are separated by commas
	bytesPerByte  = 6   // copies of the path and the values
	// coveredHeadBytes is what the cost of the connection covers.
	coveredHeadBytes = 24 << 10
)

const (
	// maxReadAhead limits what the HTTP server reads at once into its buffer. What lies there behind
	// the end of a request is parsed without a further read.
	maxReadAhead = 2 << 10
	// maxTrailerBytes limits the trailer fields of a chunked body. The HTTP server parses all of them
	// anew whenever more of them arrive, and nothing uses them.
	maxTrailerBytes = 4 << 10
)

// ErrTrailerTooLarge is the error of a read that would exceed maxTrailerBytes.
var ErrTrailerTooLarge = errs.New(errs.TooLarge, "the trailer of the request is too large")

// headSize describes input by what it may take as a head.
type headSize struct{ bytes, lines, items int }

func sizeOf(head []byte) headSize {
	return headSize{bytes: len(head), lines: bytes.Count(head, []byte{'\n'}), items: bytes.Count(head, []byte{','})}
}

func (s headSize) plus(other headSize) headSize {
	return headSize{s.bytes + other.bytes, s.lines + other.lines, s.items + other.items}
}

// memory returns what the head takes beyond what the cost of the connection covers.
func (s headSize) memory() int64 {
	return max(0, int64(s.bytes)*bytesPerByte+int64(s.lines)*bytesPerField+int64(s.items)*bytesPerItem-coveredHeadBytes)
}

// bypassed stands for the number of buffered bytes in a read that bypasses the HTTP server's buffer.
const bypassed = -1

// limitRead returns the part of p to read into, and how many bytes the HTTP server has buffered and
// not parsed yet: it fills its buffer from behind these bytes to the end. Larger reads are for bodies
// and bypass the buffer.
func (c *Conn) limitRead(p []byte) (limited []byte, buffered int) {
	size := c.listener.ReadBufferBytes
	if size == 0 || len(p) > size {
		return p, bypassed
	}
	return p[:min(len(p), maxReadAhead)], size - len(p)
}

// checkTrailer returns an error if the trailer of a body is too large. A trailer is the only part of
// a body that is buffered as a whole.
func (c *Conn) checkTrailer(buffered int) error {
	if c.inBody && buffered > maxTrailerBytes {
		return ErrTrailerTooLarge
	}
	return nil
}

// reserveInput reserves the memory that input takes if it is a part of a head or a trailer. Input in
// front of which nothing is buffered begins a new one.
func (c *Conn) reserveInput(input []byte, buffered int) error {
	if buffered == bypassed {
		return nil
	}
	size := sizeOf(input)
	if c.inBody {
		size = headSize{lines: size.lines} // a trailer has no list of values that is used
	}
	if buffered > 0 {
		size = c.unparsed.plus(size)
	}
	c.unparsed = size
	return c.reserveHead(size.memory())
}

// ReserveHead reserves the memory that the head of the current request takes, unless that was done when
// it was read. The request must be refused if it fails.
func (c *Conn) ReserveHead(head []byte) error { return c.reserveHead(sizeOf(head).memory()) }

func (c *Conn) reserveHead(bytes int64) error {
	missing := bytes - c.headMemory
	if missing <= 0 {
		return nil
	}
	// A wait would keep the connection from others, and the memory is held by requests that take longer.
	if refusal := c.Memory.ReserveNow(missing); refusal != membudget.Granted {
		return errs.NotRun(errs.Overloaded, "no memory for the head of the request: "+string(refusal)).WithRetry(membudget.CutAge)
	}
	c.headMemory = bytes
	return nil
}

// HasLargeHead reports whether memory is reserved for the head of the current request.
func (c *Conn) HasLargeHead() bool { return c.headMemory > 0 }

// BeginBody and EndBody enclose the time in which the body of a request is read.
func (c *Conn) BeginBody() { c.inBody = true }

// EndBody ends what BeginBody has begun.
func (c *Conn) EndBody() { c.inBody = false }
