package owner_test

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/rpcapi"
)

// Guards against a barrier that never passes, so that nothing is evicted and
// requests wait until their deadline, when a registered VM was already known as
// gone before the takeover.
func TestBarrierPassesWhenAVMWasGoneBefore(t *testing.T) {
	b := newBench(t)
	b.world.confirms = false
	b.world.gone[other] = true
	b.takeOver()
	reply := b.acquire(context.Background(), "r1", first)
	b.Expect(reply.Err).To(gomega.BeNil())
	b.manager.Release(rpcapi.ReleaseRequest{Group: groupID, Release: core.PermitReleased{ID: "r1", Target: target.Name, Outcome: core.OutcomeDone}})
	reply = b.acquire(context.Background(), "r2", second)
	b.Expect(reply.Err).To(gomega.BeNil(), "needs an eviction")
}

// Guards against an eviction before a VM that may hold permits has confirmed.
func TestNothingIsEvictedWhileAVMIsSilent(t *testing.T) {
	b := newBench(t)
	b.world.confirms = false
	b.target.resident = []model.AdapterVersion{first}
	b.takeOver()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan rpcapi.AcquireReply, 1)
	go func() { done <- b.acquire(ctx, "r1", second) }()
	reply := b.acquire(context.Background(), "r2", first)
	b.Expect(reply.Err).To(gomega.BeNil(), "a resident adapter is served during the barrier")
	b.Expect(b.target.sent()).To(gomega.BeZero())
	cancel()
	b.Expect((<-done).Err).NotTo(gomega.BeNil())
	b.world.mu.Lock()
	b.world.confirms = true
	b.world.mu.Unlock()
}

// Guards against a permit whose caller gave up after the grant and that keeps
// its adapter pinned for ever.
func TestCancelAfterTheGrantEndsThePermit(t *testing.T) {
	b := newBench(t)
	b.takeOver()
	reply := b.acquire(context.Background(), "r1", first)
	b.Expect(reply.Err).To(gomega.BeNil())
	b.manager.Cancel(rpcapi.CancelRequest{Group: groupID, ID: "r1"})
	reply = b.acquire(context.Background(), "r2", second)
	b.Expect(reply.Err).To(gomega.BeNil(), "the first adapter can be evicted")
}

// Guards against a delayed Acquire that is granted after its caller gave up.
func TestAcquireAfterItsCancelIsRefused(t *testing.T) {
	b := newBench(t)
	b.takeOver()
	b.manager.Cancel(rpcapi.CancelRequest{Group: groupID, ID: "r1"})
	reply := b.acquire(context.Background(), "r1", first)
	b.Expect(reply.Err).NotTo(gomega.BeNil())
	b.Expect(reply.Err.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a former owner that confirms an epoch while one of its orders
// is still on its way to the target.
func TestConfirmationWaitsForOrders(t *testing.T) {
	b := newBench(t)
	b.takeOver()
	b.target.mu.Lock()
	b.target.held = make(chan struct{})
	b.target.mu.Unlock()
	go b.acquire(context.Background(), "r1", first)
	b.Eventually(b.target.sent).WithTimeout(waitLimit).Should(gomega.Equal(1))
	confirmed := make(chan rpcapi.ConfirmEpochReply, 2)
	for range 2 { // a repeated question must wait as well
		go func() {
			confirmed <- b.manager.ConfirmEpoch(rpcapi.ConfirmEpochRequest{Group: groupID, Epoch: 9})
		}()
	}
	b.Eventually(func() bool { return b.manager.Owns(groupID) }).WithTimeout(waitLimit).Should(gomega.BeFalse())
	b.Expect(confirmed).NotTo(gomega.Receive())
	close(b.target.held)
	b.Eventually(confirmed).WithTimeout(waitLimit).Should(gomega.Receive())
	b.Eventually(confirmed).WithTimeout(waitLimit).Should(gomega.Receive())
}

// Guards against an order whose intent is not in the store, and against a group
// that does not place adapters again when the store is back.
func TestNoOrderWithoutStoredIntent(t *testing.T) {
	b := newBench(t)
	b.takeOver()
	b.target.mu.Lock()
	b.target.resident = []model.AdapterVersion{first}
	b.target.mu.Unlock()
	reply := b.acquire(context.Background(), "r1", first)
	b.Expect(reply.Err).To(gomega.BeNil())
	b.manager.Release(rpcapi.ReleaseRequest{Group: groupID, Release: core.PermitReleased{ID: "r1", Target: target.Name, Outcome: core.OutcomeDone}})
	before := b.target.sent()
	b.store.Inject(memstore.Rule{Fault: memstore.Unavailable, Op: memstore.OpWrite, Count: 1})
	reply = b.acquire(context.Background(), "r2", second)
	b.Expect(reply.Err).To(gomega.BeNil())
	b.Expect(b.target.sent()).To(gomega.BeNumerically(">", before))
	for _, intent := range b.target.orders {
		b.Expect(intent.Epoch).To(gomega.Equal(reply.Permit.Epoch))
	}
}

// Guards against a former owner that goes on granting after another VM has
// taken its group over in the store.
func TestLostGroupIsGivenUp(t *testing.T) {
	b := newBench(t)
	b.takeOver()
	object, err := b.store.Get(context.Background(), "groups/"+groupID, 0)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = b.store.Update(context.Background(), object.Key, []byte(`{"group":"`+groupID+`","epoch":7,"owner":{"VM":"vm-2","Incarnation":1}}`), object.Version)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	reply := b.acquire(context.Background(), "r1", first)
	b.Expect(reply.Err).NotTo(gomega.BeNil())
	b.Expect(reply.Err.Code).To(gomega.Equal(errs.NotOwner))
	b.Expect(reply.Err.Ran).To(gomega.Equal(errs.RanNo))
	b.Expect(b.target.sent()).To(gomega.BeZero())
}
