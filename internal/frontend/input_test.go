package frontend_test

import (
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
)

// Guards against an organisation that reads outcomes or uses adapters and kinds of
// another organisation.
func TestOrganisationsAreIsolated(t *testing.T) {
	f := newFixture(t, nil)
	for header, want := range map[string]errs.Code{
		"": errs.Unauthenticated, "Bearer ": errs.Unauthenticated, "Bearer zap": errs.Unauthenticated,
		"Basic zips": errs.Unauthenticated, "Bearer ride": errs.Forbidden,
	} {
		response := f.sendRequest("POST", "/v1/completions", completionBody("hem", 1, false), "Authorization", header)
		f.Expect(response.failure).To(gomega.Equal(want), header)
		f.Expect(response.ran).To(gomega.Equal(errs.RanNo))
	}
	f.Expect(f.callRepair("k1", "sew").status).To(gomega.Equal(200))
	for _, r := range [][2]string{{"POST", "/v1/services/repair"}, {"GET", "/v1/outcomes/repair/k1"}} {
		response := f.sendRequest(r[0], r[1], "", "Authorization", "Bearer ride", "Idempotency-Key", "k1")
		f.Expect(response.failure).To(gomega.Equal(errs.NotFound), response.raw)
	}
}

// Guards against invalid input that reaches a target or does not get a typed error.
func TestInvalidRequests(t *testing.T) {
	f := newFixture(t, nil)
	bodies := []string{
		"", "null", "[]", "{", `{"model":"baltzips/quote@3"}`, `{"model":"quote","prompt":"x"}`,
		`{"model":"baltzips/quote@3","prompt":"x","max_tokens":0}`, `{"model":"baltzips/quote@3","prompt":"x","n":2}`,
	}
	for _, body := range bodies {
		f.Expect(f.sendRequest("POST", "/v1/completions", body).failure).To(gomega.Equal(errs.InvalidRequest), body)
	}
	f.Expect(f.sendRequest("POST", "/v1/completions", `{"model":"baltzips/quote@4","prompt":"x"}`).failure).To(gomega.Equal(errs.NotFound))
	f.Expect(f.sendRequest("POST", "/v1/completions", strings.Repeat("x", 65<<10)).failure).To(gomega.Equal(errs.TooLarge))
	f.Expect(f.sendRequest("POST", "/v1/services/repair", "sew").failure).To(gomega.Equal(errs.InvalidRequest), "key is missing")
	f.Expect(f.callRepair("a key", "sew").failure).To(gomega.Equal(errs.InvalidRequest))
	f.Expect(f.postCompletion("x", 1, false, "X-Deadline-Ms", "-5").failure).To(gomega.Equal(errs.InvalidRequest))
	f.Expect(f.postCompletion("x", 1, false, "X-Worth", "NaN").failure).To(gomega.Equal(errs.InvalidRequest))
	f.Expect(f.postCompletion("x", 1, false, "X-Kind", "none").failure).To(gomega.Equal(errs.NotFound))
	f.Expect(f.postCompletion("x", 1, false, "X-Long", strings.Repeat("x", 9<<10)).failure).To(gomega.Equal(errs.TooLarge))
	f.Expect(f.permits.granted).To(gomega.BeEmpty())
}

// Guards against malformed input that ends the process or keeps a connection open
// forever.
func TestMalformedBytes(t *testing.T) {
	f := newFixture(t, nil)
	for _, text := range []string{
		"\x00\x01\x02\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", "POST / HTTP/9.9\r\n\r\n",
		rawPost("/v1/completions", "x")[:40], // the rest never arrives
		strings.Replace(rawPost("/v1/completions", "x"), "Length: 1", "Length: 500", 1),
	} {
		answer, _ := io.ReadAll(f.dial(text))
		if len(answer) > 0 {
			f.Expect(string(answer)).To(gomega.ContainSubstring(`"ran":"not_run"`), text)
		}
	}
	f.Expect(f.sendRequest("GET", "/healthz", "").status).To(gomega.Equal(200))
}

// Guards against unlimited memory for requests and unlimited connections.
func TestMemoryAndConnectionLimits(t *testing.T) {
	f := newFixture(t, func(l *serverLimits) { l.MaxRetainedBytes, l.MaxConnections = 100, 2 })
	response := f.postCompletion(strings.Repeat("x", 200), 1, false)
	f.Expect(response.failure).To(gomega.Equal(errs.Overloaded), response.raw)
	f.Expect(response.retry).To(gomega.Equal("1"))
	f.Eventually(func() string { // connections of the request above may still be open
		f.dial("")
		f.dial("")
		answer, _ := io.ReadAll(f.dial(""))
		return string(answer)
	}).Should(gomega.ContainSubstring("too many connections"))
}

// Guards against a panic in one request that ends the process or leaks its in-flight
// count.
func TestPanicIsContained(t *testing.T) {
	f := newFixture(t, nil)
	f.permits.panicOnAcquire = true
	for _, stream := range []bool{false, true} {
		f.Expect(f.postCompletion("x", 1, stream).failure).To(gomega.Equal(errs.Internal))
	}
	f.Expect(f.callRepair("k1", "sew").failure).To(gomega.Equal(errs.Internal))
	f.permits.panicOnAcquire = false
	f.Expect(f.postCompletion("x", 1, false).finished).To(gomega.BeTrue())
	f.Eventually(f.server.InFlight).Should(gomega.BeZero())
}
