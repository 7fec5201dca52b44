package peer

import (
	"bufio"
	"io"

	"cicadaslip/internal/errs"
)

// Bounds of the messages on one connection.
const (
	// MaxMessageBytes is the largest encoded header or body of a call. It holds
	// a stored response or a part of the configuration (1 MiB) with margin.
	MaxMessageBytes = 4 << 20
	// maxTypeMessages bounds the gob type definitions on one connection, which
	// the decoder keeps for as long as the connection lives.
	maxTypeMessages = 1024
	// messagesPerCall is a header and a body.
	messagesPerCall = 2
	// gobSingleByte is the greatest length that gob encodes in one byte.
	gobSingleByte = 0x7f
	// gobMaxLength is the greatest number of length bytes in gob.
	gobMaxLength = 8
)

// messageReader passes a gob stream on and checks the length prefix of every
// gob message before the decoder allocates memory for it.
type messageReader struct {
	source   *bufio.Reader
	prefix   []byte // bytes of the length that are still to be passed on
	left     uint64 // bytes of the current message that are still to be read
	messages int
	calls    int
}

func newMessageReader(source io.Reader) *messageReader {
	return &messageReader{source: bufio.NewReader(source)}
}

// beginCall allows the messages of one more call.
func (r *messageReader) beginCall() { r.calls++ }

// Read implements io.Reader.
func (r *messageReader) Read(out []byte) (int, error) {
	if len(out) == 0 {
		return 0, nil
	}
	if len(r.prefix) == 0 && r.left == 0 {
		if err := r.readLength(); err != nil {
			return 0, err
		}
	}
	if len(r.prefix) > 0 {
		n := copy(out, r.prefix)
		r.prefix = r.prefix[n:]
		return n, nil
	}
	if uint64(len(out)) > r.left {
		out = out[:r.left]
	}
	n, err := r.source.Read(out)
	r.left -= uint64(n)
	return n, err
}

// ReadByte implements io.ByteReader, so that gob adds no buffer of its own that
// would read past the messages of the call.
func (r *messageReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(r, one[:])
	return one[0], err
}

// readLength reads gob's unsigned integer: one byte up to 127, else the negated
// number of bytes that follow, most significant first.
func (r *messageReader) readLength() error {
	first, err := r.source.ReadByte()
	if err != nil {
		return err
	}
	prefix, length := []byte{first}, uint64(first)
	if first > gobSingleByte {
		count := -int(int8(first))
		if count > gobMaxLength {
			return errs.New(errs.InvalidMessage, "invalid length of a peer message")
		}
		length = 0
		for range count {
			next, err := r.source.ReadByte()
			if err != nil {
				return err
			}
			prefix, length = append(prefix, next), length<<8|uint64(next)
		}
	}
	return r.begin(prefix, length)
}

func (r *messageReader) begin(prefix []byte, length uint64) error {
	if length > MaxMessageBytes {
		return errs.New(errs.TooLarge, "peer message is too large")
	}
	r.messages++
	if r.messages > messagesPerCall*r.calls+maxTypeMessages {
		return errs.New(errs.InvalidMessage, "too many type definitions on a peer connection")
	}
	r.prefix, r.left = prefix, length
	return nil
}
