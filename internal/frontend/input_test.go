package frontend_test

import (
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
)

// Guards against an organisation that reads or uses what belongs to another.
func TestOrganisationsAreSeparate(t *testing.T) {
	b := newBench(t, nil)
	for header, want := range map[string]errs.Code{
		"": errs.Unauthenticated, "Bearer ": errs.Unauthenticated, "Bearer zap": errs.Unauthenticated,
		"Basic zips": errs.Unauthenticated, "Bearer ride": errs.Forbidden,
	} {
		s := b.call("POST", "/v1/completions", completion("hem", 1, false), "Authorization", header)
		b.Expect(s.failure).To(gomega.Equal(want), header)
		b.Expect(s.ran).To(gomega.Equal(errs.RanNo))
	}
	b.Expect(b.repair("k1", "sew").status).To(gomega.Equal(200))
	for _, r := range [][2]string{{"POST", "/v1/services/repair"}, {"GET", "/v1/outcomes/repair/k1"}} {
		s := b.call(r[0], r[1], "", "Authorization", "Bearer ride", "Idempotency-Key", "k1")
		b.Expect(s.failure).To(gomega.Equal(errs.NotFound), s.raw)
	}
}

// Guards against invalid input that reaches a target or lacks a typed error.
func TestInvalidRequests(t *testing.T) {
	b := newBench(t, nil)
	bodies := []string{
		"", "null", "[]", "{", `{"model":"baltzips/quote@3"}`, `{"model":"quote","prompt":"x"}`,
		`{"model":"baltzips/quote@3","prompt":"x","max_tokens":0}`, `{"model":"baltzips/quote@3","prompt":"x","n":2}`,
	}
	for _, body := range bodies {
		b.Expect(b.call("POST", "/v1/completions", body).failure).To(gomega.Equal(errs.InvalidRequest), body)
	}
	b.Expect(b.call("POST", "/v1/completions", `{"model":"baltzips/quote@4","prompt":"x"}`).failure).To(gomega.Equal(errs.NotFound))
	b.Expect(b.call("POST", "/v1/completions", strings.Repeat("x", 65<<10)).failure).To(gomega.Equal(errs.TooLarge))
	b.Expect(b.call("POST", "/v1/services/repair", "sew").failure).To(gomega.Equal(errs.InvalidRequest), "key is missing")
	b.Expect(b.repair("a key", "sew").failure).To(gomega.Equal(errs.InvalidRequest))
	b.Expect(b.complete("x", 1, false, "X-Deadline-Ms", "-5").failure).To(gomega.Equal(errs.InvalidRequest))
	b.Expect(b.complete("x", 1, false, "X-Worth", "NaN").failure).To(gomega.Equal(errs.InvalidRequest))
	b.Expect(b.complete("x", 1, false, "X-Kind", "none").failure).To(gomega.Equal(errs.NotFound))
	b.Expect(b.complete("x", 1, false, "X-Long", strings.Repeat("x", 9<<10)).failure).To(gomega.Equal(errs.TooLarge))
	b.Expect(b.permits.granted).To(gomega.BeEmpty())
}

// Guards against bytes that end the process or hold a connection for ever.
func TestMalformedBytes(t *testing.T) {
	b := newBench(t, nil)
	for _, text := range []string{
		"\x00\x01\x02\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", "POST / HTTP/9.9\r\n\r\n",
		post("/v1/completions", "x")[:40], // never completed
		strings.Replace(post("/v1/completions", "x"), "Length: 1", "Length: 500", 1),
	} {
		answer, _ := io.ReadAll(b.dial(text))
		if len(answer) > 0 {
			b.Expect(string(answer)).To(gomega.ContainSubstring(`"ran":"not_run"`), text)
		}
	}
	b.Expect(b.call("GET", "/healthz", "").status).To(gomega.Equal(200))
}

// Guards against unbounded memory and connections.
func TestLimits(t *testing.T) {
	b := newBench(t, func(l *limitsType) { l.MaxRetained, l.MaxConnections = 100, 2 })
	s := b.complete(strings.Repeat("x", 200), 1, false)
	b.Expect(s.failure).To(gomega.Equal(errs.Overloaded), s.raw)
	b.Expect(s.retry).To(gomega.Equal("1"))
	b.Eventually(func() string { // connections of the call above may still be open
		b.dial("")
		b.dial("")
		answer, _ := io.ReadAll(b.dial(""))
		return string(answer)
	}).Should(gomega.ContainSubstring("too many connections"))
}

// Guards against a fault in one request that ends the process.
func TestPanicIsContained(t *testing.T) {
	b := newBench(t, nil)
	b.permits.panics = true
	for _, stream := range []bool{false, true} {
		b.Expect(b.complete("x", 1, stream).failure).To(gomega.Equal(errs.Internal))
	}
	b.Expect(b.repair("k1", "sew").failure).To(gomega.Equal(errs.Internal))
	b.permits.panics = false
	b.Expect(b.complete("x", 1, false).finished).To(gomega.BeTrue())
	b.Eventually(b.front.InFlight).Should(gomega.BeZero())
}
