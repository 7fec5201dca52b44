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

// fixture is a front end with two runners, one service and fakes of its other
// dependencies.
type fixture struct {
	*gomega.WithT
	t       *testing.T
	baseURL string
	address string
	server  *frontend.Server
	runners []*runner.Runner
	service *service.Service
	permits *fakePermits
	claims  *fakeClaims
	usage   *fakeUsage
	events  *eventRecorder
	client  *target.Client
}

type serverLimits = frontend.Limits

// testLimits has short timeouts, so that silent targets are detected quickly. No test
// asserts a duration.
var testLimits = frontend.Limits{
	WriteStallTimeout: 300 * time.Millisecond, RetryDelay: time.Millisecond, CancelRetryDelay: 5 * time.Millisecond,
	DisconnectCheckInterval: 5 * time.Millisecond, ProgressInterval: 5 * time.Millisecond, Deadline: 20 * time.Second,
	AtMostOnceTimeout: 300 * time.Millisecond, MaxBodyBytes: 64 << 10, MaxHeaderBytes: 8 << 10, ReadTimeout: 500 * time.Millisecond,
}

func newFixture(t *testing.T, change func(*frontend.Limits)) *fixture {
	f := &fixture{WithT: gomega.NewWithT(t), t: t, permits: &fakePermits{}, usage: &fakeUsage{records: map[model.RequestID]core.Outcome{}}, events: &eventRecorder{}}
	f.claims = &fakeClaims{claimsByKey: map[rpcapi.ClaimKey]rpcapi.ClaimRequest{}, outcomesByKey: map[rpcapi.ClaimKey]rpcapi.OutcomeRequest{}}
	for _, name := range []string{"r1", "r2"} {
		r := runner.New(runner.Config{LoadTime: time.Millisecond, TokenInterval: time.Millisecond})
		l := listen(t)
		go func() { _ = r.Serve(l) }()
		t.Cleanup(r.Close)
		f.Expect(r.Load(quoteAdapter, 1)).To(gomega.Succeed())
		f.runners = append(f.runners, r)
		f.permits.targets = append(f.permits.targets, model.Target{Name: name, Class: model.ClassRunner, Address: l.Addr().String()})
	}
	var err error
	f.service, err = service.New("127.0.0.1:0")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(f.service.Close)
	f.permits.targets = append(f.permits.targets, model.Target{Name: "s1", Class: model.ClassService, Address: f.service.Address()})
	f.client = target.New(target.Config{MinIdleTimeout: 60 * time.Millisecond, FirstTokenTimeout: 200 * time.Millisecond, ResumeDelay: time.Millisecond, MaxResumes: 2})
	f.startServer(change)
	return f
}

// startServer starts a front end on a new listener with testLimits, adjusted by change.
func (f *fixture) startServer(change func(*frontend.Limits)) {
	limits := testLimits
	if change != nil {
		change(&limits)
	}
	f.server = frontend.New(frontend.Options{
		Holder: testHolder, Limits: limits, Permits: f.permits, Claims: f.claims, Configuration: fixedConfiguration{},
		Usage: f.usage, Targets: f.client, Readiness: &fakeReadiness{}, Timeline: f.events, Log: zerolog.Nop(),
	})
	l := listen(f.t)
	f.address = l.Addr().String()
	f.baseURL = "http://" + f.address
	server := f.server
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(server.Close)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
