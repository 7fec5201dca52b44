package admin_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/account"
	"cicadaslip/internal/admin"
	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/membership"
	"cicadaslip/internal/model"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/timeline"
)

// daemon implements the sources of the service.
type daemon struct {
	vm       string
	failure  error
	adapters int
	drained  bool
}

func (d *daemon) Status() (admin.Status, error) {
	return admin.Status{
		VM: model.VM{Name: d.vm, Incarnation: 4}, Ready: true, ConfigVersion: 7,
		Peers:  []admin.PeerStatus{{VM: "x", State: membership.Suspect}},
		Groups: []admin.GroupStatus{{Group: "g", Epoch: 3, Queued: 2, QueuedWork: time.Second}},
	}, d.failure
}

func (d *daemon) Targets() ([]admin.TargetStatus, error) {
	return []admin.TargetStatus{{Target: model.Target{Name: "t"}, Group: "g"}}, nil
}

func (d *daemon) Adapters(filter admin.AdapterFilter) ([]admin.AdapterStatus, error) {
	one := admin.AdapterStatus{Adapter: model.AdapterVersion{Organisation: "o", Adapter: "a", Version: "1"}, Target: "t"}
	if !filter.Matches(one) {
		return nil, nil
	}
	rows := make([]admin.AdapterStatus, d.adapters)
	for i := range rows {
		rows[i] = one
	}
	return rows, nil
}

func (d *daemon) Drain() error {
	d.drained = true
	return d.failure
}

func credentials(g *gomega.WithT) *peer.Credentials {
	c, err := peer.NewCredentials([]byte("a cluster secret for tests"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// serve starts a daemon's service and returns its address, ring and ledger.
func serve(t *testing.T, d *daemon) (string, *timeline.Ring, *account.Ledger) {
	g := gomega.NewWithT(t)
	clock := timeline.NewClock(time.Now)
	server, err := peer.Listen("127.0.0.1:0", credentials(g), clock)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Close)
	ring := timeline.NewRing(2*admin.MaxEvents, d.vm, clock)
	ledger := account.NewLedger(model.Holder{VM: d.vm, Incarnation: 4}, account.Bounds{})
	service := admin.NewService(admin.Sources{Overview: d, Events: ring, Account: ledger, Drainer: d})
	g.Expect(server.Register(admin.ServiceName, service)).To(gomega.Succeed())
	server.Serve()
	return server.Addr(), ring, ledger
}

func newClient(t *testing.T, addresses ...string) *admin.Client {
	client := peer.NewClient(credentials(gomega.NewWithT(t)), timeline.NewClock(time.Now), peer.ClientSettings{CallTimeout: time.Minute})
	t.Cleanup(client.Close)
	return admin.NewClient(client, addresses)
}

// closedAddress returns an address on which nothing listens.
func closedAddress(g *gomega.WithT) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against a daemon that does not answer or fails and hides the others, or
// is itself hidden.
func TestAnswersAndMissingOnesAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := &daemon{vm: "a"}, &daemon{vm: "b", failure: errs.New(errs.NotReady, "starting")}
	addrA, ringA, ledgerA := serve(t, a)
	addrB, ringB, _ := serve(t, b)
	closed := closedAddress(g)
	client := newClient(t, closed, addrA, addrB)
	ctx := context.Background()

	status := client.Status(ctx)
	g.Expect(admin.NoAnswer(status)).To(gomega.Equal([]string{closed, addrB}))
	want, _ := a.Status()
	g.Expect(status[1].Value).To(gomega.Equal(want))
	g.Expect(status[2].Err.Code).To(gomega.Equal(errs.NotReady))
	g.Expect(client.Targets(ctx)[1].Value.Targets).To(gomega.HaveLen(1))

	ringB.Record(timeline.Event{Kind: timeline.RequestArrived, Request: "r"})
	ringA.Record(timeline.Event{Kind: timeline.PermitGranted, Request: "r"})
	merged := client.Timeline(ctx, timeline.Filter{Request: "r"})
	g.Expect(merged.Events).To(gomega.HaveLen(2))
	g.Expect(merged.NoAnswer).To(gomega.Equal([]string{closed}))

	ledgerA.RecordUsed("r", "o", "chat", core.OutcomeDone, core.Usage{GeneratedTokens: 3})
	report := client.Usage(ctx, nil)
	g.Expect(report.NoAnswer).To(gomega.Equal([]string{closed}))
	g.Expect(report.Organisations[0].Used.GeneratedTokens).To(gomega.BeNumerically("==", 3))

	drain := client.Drain(ctx)
	g.Expect(admin.NoAnswer(drain)).To(gomega.Equal([]string{closed, addrB}))
	g.Expect(a.drained).To(gomega.BeTrue())
}

// Guards against replies that do not fit into a message.
func TestLargeRepliesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &daemon{vm: "a", adapters: admin.MaxRows + 5}
	addr, ring, ledger := serve(t, d)
	client := newClient(t, addr)
	ctx := context.Background()
	adapters := client.Adapters(ctx, admin.AdapterFilter{Organisation: "o"})[0]
	g.Expect(adapters.Err).To(gomega.BeNil())
	g.Expect(adapters.Value.Adapters).To(gomega.HaveLen(admin.MaxRows))
	g.Expect(adapters.Value.Omitted).To(gomega.Equal(5))
	g.Expect(client.Adapters(ctx, admin.AdapterFilter{Adapter: "none"})[0].Value.Adapters).To(gomega.BeEmpty())

	long := strings.Repeat("x", 2*timeline.MaxDetailBytes)
	for range admin.MaxEvents + 1 {
		ring.Record(timeline.Event{Kind: timeline.OrderFailed, Target: "runner-100", Organisation: "organisation", Detail: long})
	}
	merged := client.Timeline(ctx, timeline.Filter{})
	g.Expect(merged.Events).To(gomega.HaveLen(admin.MaxEvents))
	g.Expect(merged.Omitted).To(gomega.Equal(1))

	for i := range account.MaxOrganisations {
		for _, outcome := range []core.Outcome{core.OutcomeDone, core.OutcomeFailed, core.OutcomeCancelled, core.OutcomeNotSent} {
			id := model.RequestID(strings.Repeat("r", 40) + string(rune(i)))
			ledger.RecordUsed(id, strings.Repeat("o", 30)+string(rune(i)), "chat", outcome, core.Usage{PromptTokens: 1 << 40})
		}
	}
	report := client.Usage(ctx, nil)
	g.Expect(report.NoAnswer).To(gomega.BeEmpty())
	g.Expect(report.Organisations).To(gomega.HaveLen(account.MaxOrganisations))
}
