package httpfields_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/httpfields"
)

// Guards against request smuggling: if two recipients interpret a header
// differently, one of them may run a request that is hidden in another.
func TestParseRejectsAmbiguousHeaders(t *testing.T) {
	for name, raw := range map[string]string{
		"two lengths":                       "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"length and coding":                 "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two codings":                       "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
		"unknown coding":                    "Transfer-Encoding: xchunked\r\n\r\n",
		"space before colon":                "Content-Length : 5\r\n\r\n",
		"folded line":                       "X-A: 1\r\n Content-Length: 5\r\n\r\n",
		"line feed without carriage return": "X-A: 1\nContent-Length: 5\r\n\r\n",
		"carriage return in the value":      "X-A: 1\rContent-Length: 5\r\n\r\n",
		"no colon":                          "X-A\r\n\r\n",
		"NUL in the value":                  "X-A: a\x00b\r\n\r\n",
		"invalid character in the name":     "X(A: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(func() error { _, err := httpfields.Parse([]byte(raw)); return err }()).To(gomega.HaveOccurred())
		})
	}
}

// Guards against losing or changing end-to-end fields when a message is
// forwarded.
func TestEndToEndKeepsForwardableFields(t *testing.T) {
	g := gomega.NewWithT(t)
	fields, err := httpfields.Parse([]byte("Host: a\r\nConnection: close, X-Hop, X-Id\r\nX-Hop: 1\r\nX-Id:  7 \r\nX-Twice: 1\r\nX-Twice: 2\r\nKeep-Alive: 5\r\n\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	kept := fields.EndToEnd(func(name string) bool { return strings.EqualFold(name, "x-id") })
	g.Expect(kept).To(gomega.Equal(httpfields.List{
		{Name: "Host", Value: "a"},
		{Name: "X-Id", Value: "7"},
		{Name: "X-Twice", Value: "1"},
		{Name: "X-Twice", Value: "2"},
	}))
	g.Expect(kept.Get("x-ID")).To(gomega.Equal("7"))
}

// Guards against accepting a field that contains CR, LF or NUL or has no name,
// and against accepting more than one field that determines the length of the
// body.
func FuzzParse(f *testing.F) {
	f.Add([]byte("Host: a\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("X-A: 1\r\n X: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		fields, err := httpfields.Parse(raw)
		if err != nil {
			return
		}
		for _, field := range fields {
			if strings.ContainsAny(field.Name+field.Value, "\r\n\x00") || field.Name == "" {
				t.Fatalf("accepted %q", field)
			}
		}
		if fields.Count("Content-Length")+fields.Count("Transfer-Encoding") > 1 {
			t.Fatal("accepted more than one Content-Length or Transfer-Encoding field")
		}
	})
}
