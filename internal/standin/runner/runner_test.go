package runner_test

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/model"
	"cicadaslip/internal/standin/runner"
)

var quote = model.AdapterVersion{Organisation: "baltzips", Adapter: "quote", Version: "3"}

func start(t *testing.T, cfg runner.Config) (r *runner.Runner, base string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.LoadTime, cfg.TokenInterval = time.Millisecond, time.Millisecond
	r = runner.New(cfg)
	go func() { _ = r.Serve(l) }()
	t.Cleanup(r.Close)
	return r, "http://" + l.Addr().String()
}

func call(t *testing.T, method, url, body string, headers ...string) (int, string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &fasthttp.Client{}
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode(), string(resp.Body())
}

// Guards against a stand-in whose streams cannot be resumed exactly: the
// checkers of other packages rely on it.
func TestStreamAndResume(t *testing.T) {
	g := gomega.NewWithT(t)
	r, base := start(t, runner.Config{})
	g.Expect(r.Load(quote, 1)).To(gomega.Succeed())
	body := `{"model":"baltzips/quote@3","prompt":"zip","max_tokens":5,"stream":true}`
	status, text := call(t, "POST", base+"/v1/completions", body, runner.HeaderRequestID, "r1")
	g.Expect(status).To(gomega.Equal(200))
	g.Expect(text).To(gomega.HaveSuffix("data: [DONE]\n\n"))
	_, rest := call(t, "GET", base+"/v1/streams/r1?offset=2", "")
	g.Expect(join(text)).To(gomega.Equal(runner.Answer("baltzips/quote@3", "zip", 5)))
	g.Expect(join(text)).To(gomega.HaveSuffix(join(rest)))
	g.Expect(join(rest)).To(gomega.HaveLen(3 * 7))
}

func join(stream string) string {
	var out strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		var c struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &c) == nil {
			for _, one := range c.Choices {
				out.WriteString(one.Text)
			}
		}
	}
	return out.String()
}

// Guards against a stand-in that runs requests for adapters it does not hold,
// or accepts more loads than it has slots.
func TestSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	r, base := start(t, runner.Config{Slots: 1, CheckFencing: true})
	status, _ := call(t, "POST", base+"/v1/completions", `{"model":"baltzips/quote@3","prompt":"zip"}`, runner.HeaderRequestID, "r1")
	g.Expect(status).To(gomega.Equal(409))
	order := func(op, name, token string) int {
		status, _ := call(t, "POST", base+"/v1/"+op+"_lora_adapter", `{"lora_name":"`+name+`"}`, runner.HeaderFencingToken, token)
		return status
	}
	g.Expect(order("load", "baltzips/quote@3", "2")).To(gomega.Equal(200))
	g.Expect(order("load", "baltzips/other@1", "2")).To(gomega.Equal(409))
	g.Expect(order("unload", "baltzips/quote@3", "1")).To(gomega.Equal(409), "old fencing token")
	g.Expect(r.State().Resident).To(gomega.ConsistOf(quote))
	g.Expect(order("unload", "baltzips/quote@3", "3")).To(gomega.Equal(200))
	g.Expect(order("load", "baltzips/other@1", "3")).To(gomega.Equal(200))
}

// Guards against a missed violation of invariant 2 in the measures.
func TestEvictWhileServingIsRecorded(t *testing.T) {
	g := gomega.NewWithT(t)
	r, base := start(t, runner.Config{})
	g.Expect(r.Load(quote, 1)).To(gomega.Succeed())
	r.SetFaults(runner.Faults{Freeze: true})
	ended := make(chan int, 1)
	go func() {
		status, _ := call(t, "POST", base+"/v1/completions", `{"model":"baltzips/quote@3","prompt":"zip"}`, runner.HeaderRequestID, "r1")
		ended <- status
	}()
	g.Eventually(func() []model.RequestID { return r.State().Running }).Should(gomega.HaveLen(1))
	g.Expect(r.Unload(quote, 1)).To(gomega.Succeed())
	g.Eventually(ended).Should(gomega.Receive(gomega.Equal(0)))
	g.Expect(r.Violations()).To(gomega.HaveLen(1))
}
