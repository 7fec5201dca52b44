package platform_test

import (
	"net"
	"testing"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/standin/platform"
)

// Guards against a control call that is accepted without effect.
func TestControlCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := platform.New()
	go func() { _ = server.Serve(listener) }()
	defer func() { g.Expect(server.Close()).To(gomega.Succeed()) }()

	call := func(method, path, body string) (int, string) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(method)
		req.SetRequestURI("http://" + listener.Addr().String() + path)
		req.SetBodyString(body)
		if err := fasthttp.Do(req, resp); err != nil {
			return 0, err.Error()
		}
		return resp.StatusCode(), string(resp.Body())
	}
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"PUT", "/control/list", `{"vms":[{"name":"vm-1"}]}`, 200, "true"},
		{"GET", "/v1/list", "", 200, "vm-1"},
		{"PUT", "/control/lag?ms=60000", "", 200, "true"},
		{"PUT", "/control/list", `{}`, 200, "true"},
		{"GET", "/v1/list", "", 200, "vm-1"},
		{"PUT", "/control/outage?on=true", "", 200, "true"},
		{"GET", "/v1/list", "", 503, "store_unavailable"},
		{"PUT", "/control/outage?on=false", "", 200, "true"},
		{"POST", "/control/faults", `[{"fault":"delay_write","op":"put"}]`, 200, "true"},
		{"PUT", "/v1/objects/a?mode=put", "1", 0, ""},
		{"DELETE", "/control/faults", "", 200, "true"},
		{"GET", "/v1/objects/a", "", 404, "not_found"},
		{"POST", "/control/apply-delayed", "", 200, `"applied":`},
		{"GET", "/v1/objects/a", "", 200, `"key":"a"`},
		{"PUT", "/control/rates", `{"writes":0.001}`, 200, "true"},
		{"PUT", "/v1/objects/a?mode=put", "1", 503, "retry_after_ns"},
		{"GET", "/control/counts", "", 200, `"get":2`},
		{"PUT", "/control/list", `{`, 400, "invalid_request"},
		{"GET", "/v1/objects?limit=-1", "", 400, "invalid_request"},
		{"GET", "/v1/absent", "", 404, "not_found"},
	} {
		status, body := call(c.method, c.path, c.body)
		g.Expect(status).To(gomega.Equal(c.status), c.method+" "+c.path+" "+body)
		g.Expect(body).To(gomega.ContainSubstring(c.want), c.path)
	}
}
