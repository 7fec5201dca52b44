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

var quote = model.AdapterVersion{Organisation: "baltzips", Adapter: "quote", Version: "3"}

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

func order(kind core.IntentKind, epoch model.Epoch) core.Intent {
	return core.Intent{ID: 5, Epoch: epoch, Kind: kind, Target: "r1", Adapter: quote}
}

// Guards against an order counted as without effect that may still take effect,
// and against one counted as unknown for ever that the target has refused.
func TestOrderResults(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	c := target.New(target.Config{OrderTimeout: 100 * time.Millisecond})
	r, to := startRunner(t, runner.Config{Slots: 1, CheckFencing: true})
	g.Expect(c.Order(ctx, to, order(core.IntentLoad, 2))).To(gomega.Equal(core.OrderDone{ID: 5}))
	failed := gomega.BeAssignableToTypeOf(core.OrderFailed{})
	g.Expect(c.Order(ctx, to, order(core.IntentEvict, 1))).To(failed, "stale token")
	g.Expect(r.State().Resident).To(gomega.ConsistOf(quote))
	g.Expect(c.Order(ctx, to, order(core.IntentEvict, 2))).To(gomega.Equal(core.OrderDone{ID: 5}))
	r.SetFaults(runner.Faults{FailLoads: true})
	g.Expect(c.Order(ctx, to, order(core.IntentLoad, 2))).To(failed, "the target said that the load failed")
	r.SetFaults(runner.Faults{HangLoads: true})
	g.Expect(c.Order(ctx, to, order(core.IntentLoad, 2))).To(gomega.Equal(core.OrderUnknown{ID: 5}), "no answer")
	r.Close()
	g.Expect(c.Order(ctx, to, order(core.IntentLoad, 2))).To(failed, "no connection")
}

// Guards against a fencing token that the runner ignores by its setting being
// taken as checked.
func TestRunnerThatIgnoresTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	c := target.New(target.Config{})
	_, to := startRunner(t, runner.Config{})
	g.Expect(c.Order(context.Background(), to, order(core.IntentLoad, 9))).To(gomega.Equal(core.OrderDone{ID: 5}))
	g.Expect(c.Order(context.Background(), to, order(core.IntentEvict, 1))).To(gomega.Equal(core.OrderDone{ID: 5}))
}

// Guards against a statement of state that is misread or taken from a broken
// response.
func TestStateAndReports(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	c := target.New(target.Config{ControlTimeout: 100 * time.Millisecond})
	r, to := startRunner(t, runner.Config{})
	g.Expect(r.Load(quote, 1)).To(gomega.Succeed())
	first, err := c.State(ctx, to, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Resident).To(gomega.ConsistOf(quote))
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

// halfConn accepts a limited number of bytes.
type halfConn struct {
	net.Conn
	takes int
}

func (c *halfConn) Write(p []byte) (int, error) {
	if c.takes == 0 {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p[:min(len(p), c.takes)])
	c.takes = 0
	if err != nil {
		return n, err
	}
	return n, net.ErrClosed
}

// Guards against "not run" for a call of which a byte may have left, and
// against "unknown" for one of which none did.
func TestServiceCallSaysWhetherItWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		takes  int
		refuse bool
		fault  service.Faults
		ran    errs.Ran
	}{
		"refused":       {-1, true, service.Faults{}, errs.RanNo},
		"not written":   {0, false, service.Faults{}, errs.RanNo},
		"one byte left": {1, false, service.Faults{}, errs.RanUnknown},
		"answer lost":   {-1, false, service.Faults{LoseAnswers: true}, errs.RanUnknown},
		"call lost":     {-1, false, service.Faults{LoseCalls: true}, errs.RanUnknown},
		"silent":        {-1, false, service.Faults{SilentNow: true}, errs.RanUnknown},
		"crossed":       {-1, false, service.Faults{Crossed: true}, errs.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, err := service.New("127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(s.Close)
			c.fault.Refuse = c.refuse
			g.Expect(s.SetFaults(c.fault)).To(gomega.Succeed())
			cfg := target.Config{}
			if c.takes >= 0 {
				cfg.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
					conn, err := net.Dial(network, address)
					return &halfConn{Conn: conn, takes: c.takes}, err
				}
			}
			_, err = target.New(cfg).CallService(context.Background(), target.ServiceCall{
				Request: "q1", Target: model.Target{Address: s.Address()}, Kind: "repair", Limit: 100 * time.Millisecond,
			})
			g.Expect(errs.As(err)).To(gomega.HaveField("Ran", c.ran))
		})
	}
}
