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

const waitLimit = 30 * time.Second // ends a test that hangs

var (
	vm      = model.VM{Name: "vm-1", Incarnation: 1, DataCentre: "riga", Region: "riga"}
	holder1 = model.Holder{VM: "vm-1", Incarnation: 1}
	holder2 = model.Holder{VM: "vm-2", Incarnation: 1}
	adapter = model.AdapterVersion{Organisation: "o", Adapter: "a", Version: "1"}
)

func runner(name, dataCentre string) model.Target {
	return model.Target{Name: name, Class: model.ClassRunner, DataCentre: dataCentre, Region: dataCentre, BaseModel: "base", Slots: 1, Concurrency: 1}
}

// fakeOwners answers Acquire by the owner's name. An owner without an answer is
// paused: it never replies.
type fakeOwners struct {
	mu        sync.Mutex
	answers   map[string]func(rpcapi.AcquireRequest) rpcapi.AcquireReply
	cancelled []model.RequestID
	released  []model.RequestID
	deaf      int // releases and cancels that fail first
}

func (f *fakeOwners) Acquire(ctx context.Context, owner string, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error) {
	f.mu.Lock()
	answer := f.answers[owner]
	f.mu.Unlock()
	if answer == nil {
		<-ctx.Done()
		return rpcapi.AcquireReply{}, errs.New(errs.PeerUnavailable, "no reply")
	}
	return answer(request), nil
}

func (f *fakeOwners) miss() error {
	if f.deaf > 0 {
		f.deaf--
		return errs.New(errs.Timeout, "no reply")
	}
	return nil
}

func (f *fakeOwners) Release(_ context.Context, _ string, request rpcapi.ReleaseRequest) (rpcapi.ReleaseReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.miss(); err != nil {
		return rpcapi.ReleaseReply{}, err
	}
	f.released = append(f.released, request.Release.ID)
	return rpcapi.ReleaseReply{}, nil
}

func (f *fakeOwners) Cancel(_ context.Context, _ string, request rpcapi.CancelRequest) (rpcapi.CancelReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.miss(); err != nil {
		return rpcapi.CancelReply{}, err
	}
	f.cancelled = append(f.cancelled, request.ID)
	return rpcapi.CancelReply{}, nil
}

func (f *fakeOwners) Progress(context.Context, string, rpcapi.ProgressRequest) (rpcapi.ProgressReply, error) {
	return rpcapi.ProgressReply{}, nil
}

func (f *fakeOwners) counts() (released, cancelled int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.released), len(f.cancelled)
}

func grant(epoch model.Epoch) func(rpcapi.AcquireRequest) rpcapi.AcquireReply {
	return func(r rpcapi.AcquireRequest) rpcapi.AcquireReply {
		return rpcapi.AcquireReply{Permit: core.Permit{Request: r.Request.ID, Group: r.Group, Epoch: epoch, Target: runner("r", "riga"), Adapter: r.Request.Adapter}}
	}
}

type bench struct {
	gomega.Gomega
	table    *permit.Table
	holdings *permit.Holdings
	owners   *fakeOwners
	broker   *permit.Broker
	ctx      context.Context
}

func newBench(t *testing.T, targets ...model.Target) *bench {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	b := &bench{
		Gomega: gomega.NewWithT(t), table: permit.NewTable(), holdings: permit.NewHoldings(), ctx: ctx,
		owners: &fakeOwners{answers: map[string]func(rpcapi.AcquireRequest) rpcapi.AcquireReply{}},
	}
	b.table.SetGroups(group.FromListing(targets, 1))
	b.broker = permit.NewBroker(vm, b.table, b.holdings, b.owners, timeline.Discard{})
	go b.broker.Run(ctx)
	return b
}

func request() core.Request {
	return core.Request{ID: "r", Organisation: "o", Adapter: adapter, Class: model.ClassRunner, BaseModel: "base", Deadline: waitLimit}
}

// Guards against a request that waits at a paused former owner although the
// group has a new one.
func TestWaitMovesToTheNewOwner(t *testing.T) {
	b := newBench(t, runner("r", "riga"))
	name := group.Name(runner("r", "riga"), 1)
	b.table.Apply(holder1, rpcapi.GroupDigest{Group: name, Epoch: 1})
	granted := make(chan core.Permit, 1)
	go func() {
		if p, err := b.broker.Acquire(b.ctx, request()); err == nil {
			granted <- p
		}
	}()
	b.owners.mu.Lock()
	b.owners.answers[holder2.VM] = grant(2)
	b.owners.mu.Unlock()
	b.table.Apply(holder2, rpcapi.GroupDigest{Group: name, Epoch: 2})
	_, err := b.holdings.Confirm(name, 2)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	var p core.Permit
	b.Eventually(granted).WithTimeout(waitLimit).Should(gomega.Receive(&p))
	b.Expect(p.Epoch).To(gomega.Equal(model.Epoch(2)))
}

// Guards against the use of a permit that a resumed former owner grants.
func TestPermitOfFormerOwnerIsNotUsed(t *testing.T) {
	b := newBench(t, runner("r", "riga"))
	name := group.Name(runner("r", "riga"), 1)
	_, err := b.holdings.Confirm(name, 2)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.owners.answers[holder1.VM] = grant(1)
	b.table.Apply(holder1, rpcapi.GroupDigest{Group: name, Epoch: 1})
	ctx, cancel := context.WithTimeout(b.ctx, 200*time.Millisecond)
	defer cancel()
	_, err = b.broker.Acquire(ctx, request())
	b.Expect(err).To(gomega.HaveOccurred())
	b.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	b.Expect(b.holdings.Len()).To(gomega.BeZero())
}

// Guards against a request that waits until its deadline in a group that does
// not load its adapter while another group has it.
func TestWaitMovesToTheGroupThatHasTheAdapter(t *testing.T) {
	b := newBench(t, runner("r", "riga"), runner("k", "kurzeme"))
	near, far := group.Name(runner("r", "riga"), 1), group.Name(runner("k", "kurzeme"), 1)
	b.table.Apply(holder1, rpcapi.GroupDigest{Group: near, Epoch: 1})
	b.table.Apply(holder2, rpcapi.GroupDigest{Group: far, Epoch: 1})
	b.owners.answers[holder2.VM] = grant(1)
	granted := make(chan core.Permit, 1)
	go func() {
		if p, err := b.broker.Acquire(b.ctx, request()); err == nil {
			granted <- p
		}
	}()
	b.table.SetResident(far, 1, []model.AdapterVersion{adapter})
	var p core.Permit
	b.Eventually(granted).WithTimeout(waitLimit).Should(gomega.Receive(&p))
	b.Expect(p.Group).To(gomega.Equal(far))
}

// Guards against a wait that is given up and never reported: the owner may have
// granted the permit and would keep the adapter pinned.
func TestGivenUpWaitsAndReleasesAreReportedUntilAcknowledged(t *testing.T) {
	b := newBench(t, runner("r", "riga"))
	name := group.Name(runner("r", "riga"), 1)
	b.table.Apply(holder1, rpcapi.GroupDigest{Group: name, Epoch: 1})
	b.owners.deaf = 3
	ctx, cancel := context.WithCancel(b.ctx)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := b.broker.Acquire(ctx, request())
	b.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	b.owners.mu.Lock()
	b.owners.answers[holder1.VM] = grant(1)
	b.owners.mu.Unlock()
	p, err := b.broker.Acquire(b.ctx, request())
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.broker.Release(p, core.PermitReleased{Outcome: core.OutcomeDone})
	b.Eventually(func() bool {
		released, cancelled := b.owners.counts()
		return released == 1 && cancelled == 1 && b.broker.Unreturned() == 0
	}).WithTimeout(waitLimit).Should(gomega.BeTrue())
	b.Expect(b.holdings.Len()).To(gomega.BeZero())
}

// Guards against asking a group whose only targets the request must not use.
func TestGroupWithoutAllowedTargetIsNotAsked(t *testing.T) {
	b := newBench(t, runner("r", "riga"))
	excluded := request()
	excluded.Exclude = []string{"r"}
	b.Expect(b.table.Candidates(excluded)).To(gomega.BeEmpty())
	b.Expect(b.table.Candidates(request())).To(gomega.HaveLen(1))
}
