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

// fakeDaemon implements Overview and Drainer.
type fakeDaemon struct {
	vm           string
	failure      error // returned by Status and Drain
	adapterCount int   // number of rows that Adapters returns
	drained      bool
}

func (d *fakeDaemon) Status() (admin.Status, error) {
	return admin.Status{
		VM: model.VM{Name: d.vm, Incarnation: 4}, Ready: true, ConfigVersion: 7,
		Peers:  []admin.PeerStatus{{VM: "x", State: membership.Suspect}},
		Groups: []admin.GroupStatus{{Group: "g", Epoch: 3, Queued: 2, QueuedWork: time.Second}},
	}, d.failure
}

func (d *fakeDaemon) Targets() ([]admin.TargetStatus, error) {
	return []admin.TargetStatus{{Target: model.Target{Name: "t"}, Group: "g"}}, nil
}

func (d *fakeDaemon) Adapters(filter admin.AdapterFilter) ([]admin.AdapterStatus, error) {
	status := admin.AdapterStatus{Adapter: model.AdapterVersion{Organisation: "o", Adapter: "a", Version: "1"}, Target: "t"}
	if !filter.Matches(status) {
		return nil, nil
	}
	rows := make([]admin.AdapterStatus, d.adapterCount)
	for i := range rows {
		rows[i] = status
	}
	return rows, nil
}

func (d *fakeDaemon) Drain() error {
	d.drained = true
	return d.failure
}

func newCredentials(g *gomega.WithT) *peer.Credentials {
	c, err := peer.NewCredentials([]byte("a cluster secret for tests"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// startService serves the admin service of a daemon and returns its address,
// ring and ledger.
func startService(t *testing.T, d *fakeDaemon) (string, *timeline.Ring, *account.Ledger) {
	g := gomega.NewWithT(t)
	clock := timeline.NewClock(time.Now)
	server, err := peer.Listen("127.0.0.1:0", newCredentials(g), clock)
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
	client := peer.NewClient(newCredentials(gomega.NewWithT(t)), timeline.NewClock(time.Now), peer.ClientSettings{CallTimeout: time.Minute})
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

// Guards against a daemon that fails or does not answer and hides the answers
// of other daemons, or is itself missing from the result.
func TestClientReportsDaemonsWithoutAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := &fakeDaemon{vm: "a"}, &fakeDaemon{vm: "b", failure: errs.New(errs.NotReady, "starting")}
	addrA, ringA, ledgerA := startService(t, a)
	addrB, ringB, _ := startService(t, b)
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

// Guards against replies that exceed the largest message between peers.
func TestLargeRepliesAreTruncated(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &fakeDaemon{vm: "a", adapterCount: admin.MaxRows + 5}
	addr, ring, ledger := startService(t, d)
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
