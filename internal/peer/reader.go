package peer

import (
	"bufio"
	"io"

	"cicadaslip/internal/errs"
)

// Limits of the messages on one connection.
const (
	// MaxMessageBytes is the maximum size of an encoded header or body of a call.
	// It leaves a margin over the largest bodies, which are a stored response and
	// a part of the configuration (1 MiB).
	MaxMessageBytes = 4 << 20
	// maxTypeMessages limits the gob type definitions on one connection, because
	// the decoder keeps them in memory until the connection ends.
	maxTypeMessages = 1024
	// messagesPerCall counts the header and the body of a call.
	messagesPerCall = 2
	// maxSingleByteLength is the greatest message length that gob encodes in one
	// byte.
	maxSingleByteLength = 0x7f
	// maxLengthBytes is the maximum number of bytes that follow the first byte of
	// a gob length prefix.
	maxLengthBytes = 8
)

// messageReader reads a gob stream for a gob.Decoder. It checks the length prefix
// of every gob message before the decoder allocates memory for the message.
type messageReader struct {
	source        *bufio.Reader
	pendingPrefix []byte // bytes of the length prefix that Read has not returned yet
	remaining     uint64 // bytes of the current message that were not read yet
	messageCount  int    // gob messages begun, including type definitions
	callCount     int    // calls allowed with allowCall
}

func newMessageReader(source io.Reader) *messageReader {
	return &messageReader{source: bufio.NewReader(source)}
}

// allowCall raises the limit of messages by those of one more call.
func (r *messageReader) allowCall() { r.callCount++ }

// Read implements io.Reader.
func (r *messageReader) Read(out []byte) (int, error) {
	if len(out) == 0 {
		return 0, nil
	}
	if len(r.pendingPrefix) == 0 && r.remaining == 0 {
		if err := r.readLength(); err != nil {
			return 0, err
		}
	}
	if len(r.pendingPrefix) > 0 {
		n := copy(out, r.pendingPrefix)
		r.pendingPrefix = r.pendingPrefix[n:]
		return n, nil
	}
	if uint64(len(out)) > r.remaining {
		out = out[:r.remaining]
	}
	n, err := r.source.Read(out)
	r.remaining -= uint64(n)
	return n, err
}

// ReadByte implements io.ByteReader. Without it, gob would add a buffer that reads
// past the messages of the current call.
func (r *messageReader) ReadByte() (byte, error) {
	var single [1]byte
	_, err := io.ReadFull(r, single[:])
	return single[0], err
}

// readLength reads the length prefix of a gob message. A length up to 127 takes one
// byte. For a greater length, the first byte is the negated number of the bytes
// that follow, which hold the length with the most significant byte first.
func (r *messageReader) readLength() error {
	first, err := r.source.ReadByte()
	if err != nil {
		return err
	}
	prefix, length := []byte{first}, uint64(first)
	if first > maxSingleByteLength {
		count := -int(int8(first))
		if count > maxLengthBytes {
			return errs.New(errs.InvalidMessage, "length prefix of a peer message has more than 8 bytes")
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
	return r.beginMessage(prefix, length)
}

// beginMessage checks the limits for a message of the given length in bytes and
// makes it the current message.
func (r *messageReader) beginMessage(prefix []byte, length uint64) error {
	if length > MaxMessageBytes {
		return errs.New(errs.TooLarge, "message from the peer exceeds 4 MiB")
	}
	r.messageCount++
	if r.messageCount > messagesPerCall*r.callCount+maxTypeMessages {
		return errs.New(errs.InvalidMessage, "more than 1024 gob type definitions on a peer connection")
	}
	r.pendingPrefix, r.remaining = prefix, length
	return nil
}
