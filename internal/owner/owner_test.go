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

// Guards against a takeover barrier that never passes because a registered VM
// was known to be gone before the takeover. Without evictions, requests would
// wait until their deadline.
func TestBarrierPassesIfVMWasGoneBeforeTakeover(t *testing.T) {
	h := newHarness(t)
	h.environment.otherConfirms = false
	h.environment.gone[otherVM] = true
	h.takeOver()
	reply := h.acquire(context.Background(), "r1", firstAdapter)
	h.Expect(reply.Err).To(gomega.BeNil())
	h.manager.Release(rpcapi.ReleaseRequest{Group: groupID, Release: core.PermitReleased{ID: "r1", Target: target.Name, Outcome: core.OutcomeDone}})
	reply = h.acquire(context.Background(), "r2", secondAdapter)
	h.Expect(reply.Err).To(gomega.BeNil(), "the second adapter needs an eviction")
}

// Guards against an eviction before all VMs that may hold permits have confirmed
// the epoch.
func TestNoEvictionBeforeAllVMsConfirmEpoch(t *testing.T) {
	h := newHarness(t)
	h.environment.otherConfirms = false
	h.target.resident = []model.AdapterVersion{firstAdapter}
	h.takeOver()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan rpcapi.AcquireReply, 1)
	go func() { done <- h.acquire(ctx, "r1", secondAdapter) }()
	reply := h.acquire(context.Background(), "r2", firstAdapter)
	h.Expect(reply.Err).To(gomega.BeNil(), "a resident adapter is served during the barrier")
	h.Expect(h.target.orderCount()).To(gomega.BeZero())
	cancel()
	h.Expect((<-done).Err).NotTo(gomega.BeNil())
	h.environment.mu.Lock()
	h.environment.otherConfirms = true
	h.environment.mu.Unlock()
}

// Guards against a permit that keeps its adapter pinned indefinitely because its
// caller cancelled after the grant.
func TestCancelAfterGrantReleasesPermit(t *testing.T) {
	h := newHarness(t)
	h.takeOver()
	reply := h.acquire(context.Background(), "r1", firstAdapter)
	h.Expect(reply.Err).To(gomega.BeNil())
	h.manager.Cancel(rpcapi.CancelRequest{Group: groupID, ID: "r1"})
	reply = h.acquire(context.Background(), "r2", secondAdapter)
	h.Expect(reply.Err).To(gomega.BeNil(), "the first adapter can be evicted")
}

// Guards against granting a delayed Acquire that arrives after its Cancel.
func TestAcquireAfterCancelIsRefused(t *testing.T) {
	h := newHarness(t)
	h.takeOver()
	h.manager.Cancel(rpcapi.CancelRequest{Group: groupID, ID: "r1"})
	reply := h.acquire(context.Background(), "r1", firstAdapter)
	h.Expect(reply.Err).NotTo(gomega.BeNil())
	h.Expect(reply.Err.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a former owner that confirms an epoch while one of its orders is
// still in flight to the target.
func TestEpochConfirmationWaitsForOrders(t *testing.T) {
	h := newHarness(t)
	h.takeOver()
	h.target.mu.Lock()
	h.target.blocked = make(chan struct{})
	h.target.mu.Unlock()
	go h.acquire(context.Background(), "r1", firstAdapter)
	h.Eventually(h.target.orderCount).WithTimeout(waitLimit).Should(gomega.Equal(1))
	confirmed := make(chan rpcapi.ConfirmEpochReply, 2)
	for range 2 { // a repeated call must wait as well
		go func() {
			confirmed <- h.manager.ConfirmEpoch(rpcapi.ConfirmEpochRequest{Group: groupID, Epoch: 9})
		}()
	}
	h.Eventually(func() bool { return h.manager.Owns(groupID) }).WithTimeout(waitLimit).Should(gomega.BeFalse())
	h.Expect(confirmed).NotTo(gomega.Receive())
	close(h.target.blocked)
	h.Eventually(confirmed).WithTimeout(waitLimit).Should(gomega.Receive())
	h.Eventually(confirmed).WithTimeout(waitLimit).Should(gomega.Receive())
}

// Guards against sending an order whose intent is not stored, and against a group
// that does not resume placement when the store is available again.
func TestNoOrderWithoutStoredIntent(t *testing.T) {
	h := newHarness(t)
	h.takeOver()
	h.target.mu.Lock()
	h.target.resident = []model.AdapterVersion{firstAdapter}
	h.target.mu.Unlock()
	reply := h.acquire(context.Background(), "r1", firstAdapter)
	h.Expect(reply.Err).To(gomega.BeNil())
	h.manager.Release(rpcapi.ReleaseRequest{Group: groupID, Release: core.PermitReleased{ID: "r1", Target: target.Name, Outcome: core.OutcomeDone}})
	sentBefore := h.target.orderCount()
	h.store.Inject(memstore.Rule{Fault: memstore.Unavailable, Op: memstore.OpWrite, Count: 1})
	reply = h.acquire(context.Background(), "r2", secondAdapter)
	h.Expect(reply.Err).To(gomega.BeNil())
	h.Expect(h.target.orderCount()).To(gomega.BeNumerically(">", sentBefore))
	for _, intent := range h.target.orders {
		h.Expect(intent.Epoch).To(gomega.Equal(reply.Permit.Epoch))
	}
}

// Guards against a former owner that continues to grant permits after another VM
// has taken over its group in the store.
func TestOwnerStepsDownAfterLoss(t *testing.T) {
	h := newHarness(t)
	h.takeOver()
	object, err := h.store.Get(context.Background(), "groups/"+groupID, 0)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = h.store.Update(context.Background(), object.Key, []byte(`{"group":"`+groupID+`","epoch":7,"owner":{"VM":"vm-2","Incarnation":1}}`), object.Version)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	reply := h.acquire(context.Background(), "r1", firstAdapter)
	h.Expect(reply.Err).NotTo(gomega.BeNil())
	h.Expect(reply.Err.Code).To(gomega.Equal(errs.NotOwner))
	h.Expect(reply.Err.Ran).To(gomega.Equal(errs.RanNo))
	h.Expect(h.target.orderCount()).To(gomega.BeZero())
}
