package permit_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/permit"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

const waitLimit = 30 * time.Second // fails a test that hangs

var (
	selfVM  = model.VM{Name: "vm-1", Incarnation: 1, DataCentre: "riga", Region: "riga"}
	holder1 = model.Holder{VM: "vm-1", Incarnation: 1}
	holder2 = model.Holder{VM: "vm-2", Incarnation: 1}
	adapter = model.AdapterVersion{Organisation: "o", Adapter: "a", Version: "1"}
)

func newRunner(name, dataCentre string) model.Target {
	return model.Target{Name: name, Class: model.ClassRunner, DataCentre: dataCentre, Region: dataCentre, BaseModel: "base", Slots: 1, Concurrency: 1}
}

// fakeOwnerClient replies to Acquire by the owner's name. An owner without an entry
// in replies is paused and never replies.
type fakeOwnerClient struct {
	mu        sync.Mutex
	replies   map[string]func(rpcapi.AcquireRequest) rpcapi.AcquireReply
	cancelled []model.RequestID
	released  []model.RequestID
	failures  int // number of releases and cancellations that fail before any succeeds
}

func (f *fakeOwnerClient) Acquire(ctx context.Context, owner string, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error) {
	f.mu.Lock()
	reply := f.replies[owner]
	f.mu.Unlock()
	if reply == nil {
		<-ctx.Done()
		return rpcapi.AcquireReply{}, errs.New(errs.PeerUnavailable, "owner did not reply")
	}
	return reply(request), nil
}

// nextFailure returns an error while failures are left.
func (f *fakeOwnerClient) nextFailure() error {
	if f.failures > 0 {
		f.failures--
		return errs.New(errs.Timeout, "owner did not reply")
	}
	return nil
}

func (f *fakeOwnerClient) Release(_ context.Context, _ string, request rpcapi.ReleaseRequest) (rpcapi.ReleaseReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.nextFailure(); err != nil {
		return rpcapi.ReleaseReply{}, err
	}
	f.released = append(f.released, request.Release.ID)
	return rpcapi.ReleaseReply{}, nil
}

func (f *fakeOwnerClient) Cancel(_ context.Context, _ string, request rpcapi.CancelRequest) (rpcapi.CancelReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.nextFailure(); err != nil {
		return rpcapi.CancelReply{}, err
	}
	f.cancelled = append(f.cancelled, request.ID)
	return rpcapi.CancelReply{}, nil
}

func (f *fakeOwnerClient) Progress(context.Context, string, rpcapi.ProgressRequest) (rpcapi.ProgressReply, error) {
	return rpcapi.ProgressReply{}, nil
}

func (f *fakeOwnerClient) counts() (released, cancelled int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.released), len(f.cancelled)
}

// grantAt returns a reply function that grants a permit of the given epoch.
func grantAt(epoch model.Epoch) func(rpcapi.AcquireRequest) rpcapi.AcquireReply {
	return func(r rpcapi.AcquireRequest) rpcapi.AcquireReply {
		return rpcapi.AcquireReply{Permit: core.Permit{Request: r.Request.ID, Group: r.Group, Epoch: epoch, Target: newRunner("r", "riga"), Adapter: r.Request.Adapter}}
	}
}

type harness struct {
	gomega.Gomega
	table    *permit.RoutingTable
	holdings *permit.Holdings
	owners   *fakeOwnerClient
	broker   *permit.Broker
	ctx      context.Context
}

func newHarness(t *testing.T, targets ...model.Target) *harness {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	h := &harness{
		Gomega: gomega.NewWithT(t), table: permit.NewRoutingTable(), holdings: permit.NewHoldings(), ctx: ctx,
		owners: &fakeOwnerClient{replies: map[string]func(rpcapi.AcquireRequest) rpcapi.AcquireReply{}},
	}
	h.table.SetGroups(group.FromListing(targets, 1))
	h.broker = permit.NewBroker(selfVM, h.table, h.holdings, h.owners, timeline.Discard{})
	go h.broker.Run(ctx)
	return h
}

func newRequest() core.Request {
	return core.Request{ID: "r", Organisation: "o", Adapter: adapter, Class: model.ClassRunner, BaseModel: "base", Deadline: waitLimit}
}

// Guards against a request that keeps waiting at a paused former owner although its
// group has a new owner.
func TestWaitMovesToNewOwner(t *testing.T) {
	h := newHarness(t, newRunner("r", "riga"))
	name := group.Name(newRunner("r", "riga"), 1)
	h.table.ApplyDigest(holder1, rpcapi.GroupDigest{Group: name, Epoch: 1})
	granted := make(chan core.Permit, 1)
	go func() {
		if p, err := h.broker.Acquire(h.ctx, newRequest()); err == nil {
			granted <- p
		}
	}()
	h.owners.mu.Lock()
	h.owners.replies[holder2.VM] = grantAt(2)
	h.owners.mu.Unlock()
	h.table.ApplyDigest(holder2, rpcapi.GroupDigest{Group: name, Epoch: 2})
	_, err := h.holdings.ConfirmEpoch(name, 2)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	var p core.Permit
	h.Eventually(granted).WithTimeout(waitLimit).Should(gomega.Receive(&p))
	h.Expect(p.Epoch).To(gomega.Equal(model.Epoch(2)))
}

// Guards against using a permit that a resumed former owner has granted.
func TestPermitOfFormerOwnerIsNotUsed(t *testing.T) {
	h := newHarness(t, newRunner("r", "riga"))
	name := group.Name(newRunner("r", "riga"), 1)
	_, err := h.holdings.ConfirmEpoch(name, 2)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.owners.replies[holder1.VM] = grantAt(1)
	h.table.ApplyDigest(holder1, rpcapi.GroupDigest{Group: name, Epoch: 1})
	ctx, cancel := context.WithTimeout(h.ctx, 200*time.Millisecond)
	defer cancel()
	_, err = h.broker.Acquire(ctx, newRequest())
	h.Expect(err).To(gomega.HaveOccurred())
	h.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	h.Expect(h.holdings.Len()).To(gomega.BeZero())
}

// Guards against a request that waits until its deadline in a group that does not
// load its adapter, while the adapter is resident in another group.
func TestWaitMovesToGroupWithResidentAdapter(t *testing.T) {
	h := newHarness(t, newRunner("r", "riga"), newRunner("k", "kurzeme"))
	near, far := group.Name(newRunner("r", "riga"), 1), group.Name(newRunner("k", "kurzeme"), 1)
	h.table.ApplyDigest(holder1, rpcapi.GroupDigest{Group: near, Epoch: 1})
	h.table.ApplyDigest(holder2, rpcapi.GroupDigest{Group: far, Epoch: 1})
	h.owners.replies[holder2.VM] = grantAt(1)
	granted := make(chan core.Permit, 1)
	go func() {
		if p, err := h.broker.Acquire(h.ctx, newRequest()); err == nil {
			granted <- p
		}
	}()
	h.table.SetResident(far, 1, []model.AdapterVersion{adapter})
	var p core.Permit
	h.Eventually(granted).WithTimeout(waitLimit).Should(gomega.Receive(&p))
	h.Expect(p.Group).To(gomega.Equal(far))
}

// Guards against an abandoned wait that is never reported: the owner may have
// granted the permit and would keep the adapter pinned.
func TestCancelsAndReleasesAreRetriedUntilAcknowledged(t *testing.T) {
	h := newHarness(t, newRunner("r", "riga"))
	name := group.Name(newRunner("r", "riga"), 1)
	h.table.ApplyDigest(holder1, rpcapi.GroupDigest{Group: name, Epoch: 1})
	h.owners.failures = 3
	ctx, cancel := context.WithCancel(h.ctx)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := h.broker.Acquire(ctx, newRequest())
	h.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	h.owners.mu.Lock()
	h.owners.replies[holder1.VM] = grantAt(1)
	h.owners.mu.Unlock()
	p, err := h.broker.Acquire(h.ctx, newRequest())
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.broker.Release(p, core.PermitReleased{Outcome: core.OutcomeDone})
	h.Eventually(func() bool {
		released, cancelled := h.owners.counts()
		return released == 1 && cancelled == 1 && h.broker.PendingReturns() == 0
	}).WithTimeout(waitLimit).Should(gomega.BeTrue())
	h.Expect(h.holdings.Len()).To(gomega.BeZero())
}

// Guards against choosing a group in which all targets are excluded for the
// request.
func TestGroupWithoutAllowedTargetIsNoCandidate(t *testing.T) {
	h := newHarness(t, newRunner("r", "riga"))
	excluded := newRequest()
	excluded.Exclude = []string{"r"}
	h.Expect(h.table.Candidates(excluded)).To(gomega.BeEmpty())
	h.Expect(h.table.Candidates(newRequest())).To(gomega.HaveLen(1))
}
