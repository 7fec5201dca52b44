package frontend_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/core"
	"cicadaslip/internal/frontend"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/standin/service"
	"cicadaslip/internal/target"
)

// bench is a front end with two runners and one service.
type bench struct {
	*gomega.WithT
	t       *testing.T
	base    string
	address string
	front   *frontend.Server
	runners []*runner.Runner
	service *service.Service
	permits *permits
	claims  *claims
	usage   *usage
	events  *events
	client  *target.Client
}

type limitsType = frontend.Limits

// limits are short, so that silence is noticed soon. No test asserts a time.
var limits = frontend.Limits{
	WriteStall: 300 * time.Millisecond, RetryDelay: time.Millisecond, CancelRetry: 5 * time.Millisecond,
	GoneCheckPeriod: 5 * time.Millisecond, ProgressPeriod: 5 * time.Millisecond, Deadline: 20 * time.Second,
	ServiceWait: 300 * time.Millisecond, MaxBodyBytes: 64 << 10, MaxHeaderBytes: 8 << 10, ReadTimeout: 500 * time.Millisecond,
}

func newBench(t *testing.T, change func(*frontend.Limits)) *bench {
	b := &bench{WithT: gomega.NewWithT(t), t: t, permits: &permits{}, usage: &usage{records: map[model.RequestID]core.Outcome{}}, events: &events{}}
	b.claims = &claims{owner: map[rpcapi.ClaimKey]rpcapi.ClaimRequest{}, done: map[rpcapi.ClaimKey]rpcapi.OutcomeRequest{}}
	for _, name := range []string{"r1", "r2"} {
		r := runner.New(runner.Config{LoadTime: time.Millisecond, TokenInterval: time.Millisecond})
		l := listen(t)
		go func() { _ = r.Serve(l) }()
		t.Cleanup(r.Close)
		b.Expect(r.Load(quote, 1)).To(gomega.Succeed())
		b.runners = append(b.runners, r)
		b.permits.targets = append(b.permits.targets, model.Target{Name: name, Class: model.ClassRunner, Address: l.Addr().String()})
	}
	var err error
	b.service, err = service.New("127.0.0.1:0")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(b.service.Close)
	b.permits.targets = append(b.permits.targets, model.Target{Name: "s1", Class: model.ClassService, Address: b.service.Address()})
	b.client = target.New(target.Config{MinIdleTimeout: 60 * time.Millisecond, FirstTokenTimeout: 200 * time.Millisecond, ResumeDelay: time.Millisecond, MaxResumes: 2})
	b.serve(change)
	return b
}

func (b *bench) serve(change func(*frontend.Limits)) {
	chosen := limits
	if change != nil {
		change(&chosen)
	}
	b.front = frontend.New(frontend.Options{
		Holder: holder, Limits: chosen, Permits: b.permits, Claims: b.claims, Configuration: fixedConfiguration{},
		Usage: b.usage, Targets: b.client, Readiness: &ready{}, Timeline: b.events, Log: zerolog.Nop(),
	})
	l := listen(b.t)
	b.address = l.Addr().String()
	b.base = "http://" + b.address
	front := b.front
	go func() { _ = front.Serve(l) }()
	b.t.Cleanup(front.Close)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
