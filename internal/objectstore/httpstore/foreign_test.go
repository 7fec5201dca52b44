package httpstore_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
)

// Guards against an earlier answer that the platform writes once more, or an error with the
// status of a success, that is taken for the answer to a later call: a read of another object,
// a write that took no effect, a watch that goes back.
func TestAnswerToAnotherCallIsNotBelieved(t *testing.T) {
	const object = `{"key":"a","version":7,"revision":9,"value":"e30="}`
	for _, c := range []struct {
		call, body string
		accepted   bool
	}{
		{"get", object, true},
		{"get", `{"key":"b","version":7,"revision":9,"value":"e30="}`, false},
		{"get", `{}`, false},
		{"get", `{"error":"no capacity"}`, false},
		{"create", object, true},
		{"create", `{"key":"b","version":1,"revision":9,"value":"e30="}`, false},
		{"create", `{}`, false},
		{"update", object, true},
		{"update", `{"key":"a","version":6,"revision":8,"value":"e30="}`, false},
		{"update", `{"key":"b","version":7,"revision":9,"value":"e30="}`, false},
		{"update", `null`, false},
		{"put", object, true},
		{"put", `{"objects":[],"more":false,"revision":9}`, false},
		{"list", `{"objects":[` + object + `],"more":false,"revision":9}`, true},
		{"list", `{"objects":[],"more":false,"revision":5}`, true},
		{"list", `{"objects":[],"more":false,"revision":4}`, false},
		{"list", `{"objects":[{"key":"b","version":1,"revision":2}],"more":false,"revision":9}`, false},
		{"list", `{}`, false},
		{"watch", `{"changes":[{"object":` + object + `}],"revision":9}`, true},
		{"watch", `{"changes":[],"revision":5}`, true},
		{"watch", `{"changes":[],"revision":4}`, false},
		{"watch", `{"changes":[{"object":{"key":"b","version":1,"revision":8}}],"revision":9}`, false},
		{"watch", `{"error":"no capacity"}`, false},
	} {
		g := gomega.NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, c.body)
		}))
		client := newClient(t, server.Listener.Addr().String())
		var err error
		code := errs.StoreUnavailable
		switch c.call {
		case "get":
			_, err = client.Get(ctx, "a", 0)
		case "create":
			_, err = client.Create(ctx, "a", []byte("{}"))
			code = errs.StoreAmbiguous
		case "update":
			_, err = client.Update(ctx, "a", []byte("{}"), 6)
			code = errs.StoreAmbiguous
		case "put":
			_, err = client.Put(ctx, "a", []byte("{}"))
			code = errs.StoreAmbiguous
		case "list":
			_, err = client.List(ctx, "a", "", 10, 5)
		case "watch":
			_, err = client.Watch(ctx, "a", 5, time.Millisecond)
		}
		if c.accepted {
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%s %s", c.call, c.body)
		} else {
			g.Expect(err).To(gomega.HaveOccurred(), "%s %s", c.call, c.body)
			g.Expect(err).To(haveCode(code), "%s %s", c.call, c.body)
		}
		server.Close()
	}
}
