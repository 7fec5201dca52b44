package owner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/owner"
	"cicadaslip/internal/permit"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

var (
	selfVM        = model.Holder{VM: "vm-1", Incarnation: 2}
	otherVM       = model.Holder{VM: "vm-2", Incarnation: 1}
	target        = model.Target{Name: "runner", Class: model.ClassRunner, DataCentre: "riga", BaseModel: "base", Slots: 1, Concurrency: 4}
	groupID       = group.Name(target, 1)
	firstAdapter  = model.AdapterVersion{Organisation: "o", Adapter: "first", Version: "1"}
	secondAdapter = model.AdapterVersion{Organisation: "o", Adapter: "second", Version: "1"}
)

// fakeTarget is the only target of the group. It executes orders at once unless
// they are blocked.
type fakeTarget struct {
	mu       sync.Mutex
	resident []model.AdapterVersion
	blocked  chan struct{} // when set, orders wait until it is closed
	orders   []core.Intent
}

func (f *fakeTarget) Execute(_ context.Context, _ model.Target, intent core.Intent) core.Event {
	f.mu.Lock()
	f.orders = append(f.orders, intent)
	blocked := f.blocked
	f.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resident = nil
	if intent.Kind == core.IntentLoad {
		f.resident = []model.AdapterVersion{intent.Adapter}
	}
	return core.OrderDone{ID: intent.ID}
}

func (f *fakeTarget) State(context.Context, model.Target, model.Epoch) (core.TargetState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return core.TargetState{Instance: "1", Resident: append([]model.AdapterVersion(nil), f.resident...)}, nil
}

func (f *fakeTarget) Cancel(context.Context, model.Target, model.RequestID) error { return nil }

func (f *fakeTarget) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// fakeEnvironment implements all other ports of a manager.
type fakeEnvironment struct {
	mu            sync.Mutex
	manager       *owner.Manager
	gone          map[model.Holder]bool
	otherConfirms bool // whether otherVM confirms epochs
	given         []core.RecordGiven
}

func (e *fakeEnvironment) ConfirmEpoch(_ context.Context, vm string, request rpcapi.ConfirmEpochRequest) (rpcapi.ConfirmEpochReply, error) {
	if vm == selfVM.VM {
		return e.manager.ConfirmEpoch(request), nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.otherConfirms {
		return rpcapi.ConfirmEpochReply{}, errs.New(errs.PeerUnavailable, "peer did not reply")
	}
	return rpcapi.ConfirmEpochReply{Holder: otherVM}, nil
}

func (e *fakeEnvironment) Hedge(context.Context, string, core.HedgeRequest) error { return nil }

func (e *fakeEnvironment) Request(_ string, request core.RequestLoadPermit, _ time.Duration, granted func(model.AdapterVersion)) {
	go granted(request.Adapter)
}

func (e *fakeEnvironment) Cancel(string, model.AdapterVersion) {}

func (e *fakeEnvironment) RecordGiven(given core.RecordGiven) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, given)
}

func (e *fakeEnvironment) Gone(holder model.Holder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone[holder]
}

type harness struct {
	gomega.Gomega
	store       *memstore.Store
	target      *fakeTarget
	environment *fakeEnvironment
	manager     *owner.Manager
}

// newHarness registers both VMs in the store and creates a manager for selfVM
// that knows the group but does not own it yet.
func newHarness(t *testing.T) *harness {
	h := &harness{
		Gomega: gomega.NewWithT(t), store: memstore.New(), target: &fakeTarget{},
		environment: &fakeEnvironment{gone: map[model.Holder]bool{}, otherConfirms: true},
	}
	for name, value := range map[string]string{
		"vms/vm-1": `{"name":"vm-1","incarnation":2}`, "vms/vm-2": `{"name":"vm-2","incarnation":1}`,
	} {
		_, err := h.store.Create(context.Background(), name, []byte(value))
		h.Expect(err).NotTo(gomega.HaveOccurred())
	}
	ports := owner.Ports{
		Orders: h.target, Peers: h.environment, LoadPermits: h.environment, Accounting: h.environment, Liveness: h.environment,
		Events: timeline.Discard{}, Log: zerolog.Nop(),
	}
	h.manager = owner.NewManager(selfVM, h.store, permit.NewHoldings(), ports, func(name string) core.Decider {
		return core.New(core.Params{Group: name, StateRequestInterval: 10 * time.Millisecond}, 1)
	})
	h.environment.manager = h.manager
	t.Cleanup(h.manager.Stop)
	h.manager.SetGroups(group.FromListing([]model.Target{target}, 1))
	return h
}

// takeOver makes the manager the owner of the group.
func (h *harness) takeOver() {
	h.Eventually(func() bool {
		h.manager.TakeOver(groupID)
		return h.manager.Owns(groupID)
	}).WithTimeout(waitLimit).Should(gomega.BeTrue())
}

const waitLimit = 30 * time.Second // fails a test that hangs

// acquire requests a permit for the adapter and waits for the reply.
func (h *harness) acquire(ctx context.Context, id string, adapter model.AdapterVersion) rpcapi.AcquireReply {
	return h.manager.Acquire(ctx, rpcapi.AcquireRequest{Group: groupID, Request: core.Request{
		ID: model.RequestID(id), Organisation: "o", Adapter: adapter, Class: model.ClassRunner, BaseModel: "base",
		PredictedTokens: 8, Deadline: waitLimit, Worth: 1, Holder: selfVM,
	}})
}
