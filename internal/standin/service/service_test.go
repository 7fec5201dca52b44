package service_test

import (
	"net"
	"testing"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/standin/service"
)

func post(url, body string) (int, string) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(url)
	req.Header.SetMethod("POST")
	req.Header.Set(service.HeaderRequestID, "q1")
	req.SetBodyString(body)
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Body())
}

// Guards against a record that misses a call which ran, or counts one which did
// not: checkers compare it with what callers were told.
func TestRecordOfCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := service.New("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Close)
	control, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = s.ServeControl(control) }()
	t.Cleanup(func() { _ = control.Close() })
	call := func() int {
		status, _ := post("http://"+s.Address()+"/call/repair", "sew")
		return status
	}
	fault := func(f string) {
		status, _ := post("http://"+control.Addr().String()+"/control/faults", f)
		g.Expect(status).To(gomega.Equal(200))
	}
	for _, c := range []struct {
		fault        string
		status, runs int
	}{
		{`{}`, 200, 1},
		{`{"lose_answers":true}`, 0, 2},
		{`{"lose_calls":true}`, 0, 2},
		{`{"refuse":true}`, 0, 2},
		{`{"fail":true}`, 500, 3},
		{`{"lose_answers":true,"times":1}`, 0, 4},
	} {
		fault(c.fault)
		g.Expect(call()).To(gomega.Equal(c.status), c.fault)
		g.Expect(s.Calls()).To(gomega.HaveLen(c.runs), c.fault)
	}
	g.Expect(call()).To(gomega.Equal(200), "the counted fault is used up")
	g.Expect(s.Calls()[1].Answered).To(gomega.BeFalse())
	g.Expect(s.Calls()[4].Answered).To(gomega.BeTrue())
}
