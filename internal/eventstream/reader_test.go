package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/eventstream"
)

const two = "id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\r\n\r\n"

// Guards against events that are cut, joined or changed, however the bytes arrive.
func TestEventsAreReadWhole(t *testing.T) {
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"at once":   func(r io.Reader) io.Reader { return r },
		"one byte":  iotest.OneByteReader,
		"with data": iotest.DataErrReader,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := eventstream.NewReader(wrap(strings.NewReader(two)))
			text := ""
			for id := int64(1); id <= 2; id++ {
				e, err := r.Next()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(e.ID).To(gomega.Equal(id))
				text += string(e.Bytes)
			}
			g.Expect(text).To(gomega.Equal(two))
			_, err := r.Next()
			g.Expect(err).To(gomega.Equal(io.EOF))
		})
	}
}

// Guards against a stream that breaks off within an event and looks complete.
func TestACutEventIsAFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	r := eventstream.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	_, err := r.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = r.Next()
	g.Expect(errs.Is(err, errs.TruncatedAnswer)).To(gomega.BeTrue())
	broken := errors.New("reset")
	_, err = eventstream.NewReader(io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(broken))).Next()
	g.Expect(errors.Is(err, broken)).To(gomega.BeTrue())
}

// Guards against a line longer than the buffer.
func TestALongEventIsReadWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	text := "id: 7\ndata: " + strings.Repeat("x", 100_000) + "\n\n"
	e, err := eventstream.NewReader(strings.NewReader(text)).Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(e.Bytes)).To(gomega.Equal(text))
	g.Expect(e.ID).To(gomega.Equal(int64(7)))
	_, err = eventstream.NewReader(strings.NewReader(strings.Repeat("x", 2<<20))).Next()
	g.Expect(errs.Is(err, errs.TooLarge)).To(gomega.BeTrue())
}
