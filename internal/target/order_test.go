package target_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/standin/service"
	"cicadaslip/internal/target"
)

var quoteAdapter = model.AdapterVersion{Organisation: "baltzips", Adapter: "quote", Version: "3"}

// startRunner starts a stand-in runner that is closed at the end of the test.
func startRunner(t *testing.T, cfg runner.Config) (*runner.Runner, model.Target) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.LoadTime, cfg.TokenInterval = time.Millisecond, time.Millisecond
	r := runner.New(cfg)
	go func() { _ = r.Serve(l) }()
	t.Cleanup(r.Close)
	return r, model.Target{Name: "r1", Class: model.ClassRunner, Address: l.Addr().String()}
}

func newIntent(kind core.IntentKind, epoch model.Epoch) core.Intent {
	return core.Intent{ID: 5, Epoch: epoch, Kind: kind, Target: "r1", Adapter: quoteAdapter}
}

// Guards against reporting an order as failed that may still take effect, and
// against reporting an order as unknown that the target has refused.
func TestOrderResults(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	c := target.New(target.Config{OrderTimeout: 100 * time.Millisecond})
	r, to := startRunner(t, runner.Config{Slots: 1, CheckFencing: true})
	g.Expect(c.Order(ctx, to, newIntent(core.IntentLoad, 2))).To(gomega.Equal(core.OrderDone{ID: 5}))
	beOrderFailed := gomega.BeAssignableToTypeOf(core.OrderFailed{})
	g.Expect(c.Order(ctx, to, newIntent(core.IntentEvict, 1))).To(beOrderFailed, "the fencing token is stale")
	g.Expect(r.State().Resident).To(gomega.ConsistOf(quoteAdapter))
	g.Expect(c.Order(ctx, to, newIntent(core.IntentEvict, 2))).To(gomega.Equal(core.OrderDone{ID: 5}))
	r.SetFaults(runner.Faults{FailLoads: true})
	g.Expect(c.Order(ctx, to, newIntent(core.IntentLoad, 2))).To(beOrderFailed, "the target reported that the load failed")
	r.SetFaults(runner.Faults{HangLoads: true})
	g.Expect(c.Order(ctx, to, newIntent(core.IntentLoad, 2))).To(gomega.Equal(core.OrderOutcomeUnknown{ID: 5}), "the target did not answer")
	r.Close()
	g.Expect(c.Order(ctx, to, newIntent(core.IntentLoad, 2))).To(beOrderFailed, "the target does not accept connections")
}

// Guards against the assumption that every runner checks fencing tokens: a runner
// whose CheckFencing setting is off carries out an order with a stale epoch, and
// the client reports the order as done.
func TestRunnerWithoutFencingAcceptsStaleEpochs(t *testing.T) {
	g := gomega.NewWithT(t)
	c := target.New(target.Config{})
	_, to := startRunner(t, runner.Config{})
	g.Expect(c.Order(context.Background(), to, newIntent(core.IntentLoad, 9))).To(gomega.Equal(core.OrderDone{ID: 5}))
	g.Expect(c.Order(context.Background(), to, newIntent(core.IntentEvict, 1))).To(gomega.Equal(core.OrderDone{ID: 5}))
}

// Guards against misreading the state of a runner, and against returning a state
// when the target does not respond.
func TestStateAndLoadReport(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	c := target.New(target.Config{ControlTimeout: 100 * time.Millisecond})
	r, to := startRunner(t, runner.Config{})
	g.Expect(r.Load(quoteAdapter, 1)).To(gomega.Succeed())
	first, err := c.State(ctx, to, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Resident).To(gomega.ConsistOf(quoteAdapter))
	r.Restart()
	second, err := c.State(ctx, to, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.Instance).NotTo(gomega.Equal(first.Instance))
	g.Expect(second.Resident).To(gomega.BeEmpty())
	_, err = c.LoadReport(ctx, to)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Close()
	_, err = c.State(ctx, to, 1)
	g.Expect(err).To(gomega.HaveOccurred())
}

// partialWriteConn accepts at most acceptBytes bytes in its first write and fails
// every write after that.
type partialWriteConn struct {
	net.Conn
	acceptBytes int
}

func (c *partialWriteConn) Write(p []byte) (int, error) {
	if c.acceptBytes == 0 {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p[:min(len(p), c.acceptBytes)])
	c.acceptBytes = 0
	if err != nil {
		return n, err
	}
	return n, net.ErrClosed
}

// Guards against reporting a call as not run although a byte of it may have been
// sent, and against reporting it as unknown although no byte was sent.
func TestServiceCallSaysWhetherItWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		acceptBytes int // -1 accepts all bytes
		refuse      bool
		fault       service.Faults
		ran         errs.Ran
	}{
		"connection refused":        {-1, true, service.Faults{}, errs.RanNo},
		"not written":               {0, false, service.Faults{}, errs.RanNo},
		"one byte sent":             {1, false, service.Faults{}, errs.RanUnknown},
		"answer lost":               {-1, false, service.Faults{LoseAnswers: true}, errs.RanUnknown},
		"call lost":                 {-1, false, service.Faults{LoseCalls: true}, errs.RanUnknown},
		"no response":               {-1, false, service.Faults{SilentNow: true}, errs.RanUnknown},
		"answer to another request": {-1, false, service.Faults{Crossed: true}, errs.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, err := service.New("127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(s.Close)
			c.fault.Refuse = c.refuse
			g.Expect(s.SetFaults(c.fault)).To(gomega.Succeed())
			cfg := target.Config{}
			if c.acceptBytes >= 0 {
				cfg.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
					conn, err := net.Dial(network, address)
					return &partialWriteConn{Conn: conn, acceptBytes: c.acceptBytes}, err
				}
			}
			_, err = target.New(cfg).CallService(context.Background(), target.ServiceCall{
				Request: "q1", Target: model.Target{Address: s.Address()}, Kind: "repair", ResponseTimeout: 100 * time.Millisecond,
			})
			g.Expect(errs.As(err)).To(gomega.HaveField("Ran", c.ran))
		})
	}
}

// Guards against the answer of a service that names two calls and is passed on as that of one
// of them.
func TestServiceAnswerNamesOneCall(t *testing.T) {
	s := newScriptedTarget(t)
	for ids, accepted := range map[string]bool{
		"X-Request-Id: q1\r\n":                      true,
		"X-Request-Id: q1\r\nX-Request-Id: q1\r\n":  true,
		"X-Request-Id: q1\r\nX-Request-Id: q0\r\n":  false,
		"X-Request-Id: q0\r\nX-Request-Id: q1\r\n":  false,
		"X-Request-Id: Q1\r\n":                      false,
		"":                                          false,
		"X-Request-Id: q1\r\n X-Request-Id: q0\r\n": false,
	} {
		g := gomega.NewWithT(t)
		s.set("HTTP/1.1 200 OK\r\n" + ids + "Content-Length: 2\r\n\r\nok")
		_, err := target.New(patient).CallService(context.Background(), target.ServiceCall{Request: "q1", Target: model.Target{Address: s.address}, Kind: "k", ResponseTimeout: time.Minute})
		if accepted {
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%q", ids)
			continue
		}
		g.Expect(errs.As(err)).To(gomega.HaveField("Ran", errs.RanUnknown), "%q", ids)
	}
}
