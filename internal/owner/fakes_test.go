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
	self    = model.Holder{VM: "vm-1", Incarnation: 2}
	other   = model.Holder{VM: "vm-2", Incarnation: 1}
	target  = model.Target{Name: "runner", Class: model.ClassRunner, DataCentre: "riga", BaseModel: "base", Slots: 1, Concurrency: 4}
	groupID = group.Name(target, 1)
	first   = model.AdapterVersion{Organisation: "o", Adapter: "first", Version: "1"}
	second  = model.AdapterVersion{Organisation: "o", Adapter: "second", Version: "1"}
)

// fakeTarget plays the only target: it carries orders out unless they are held.
type fakeTarget struct {
	mu       sync.Mutex
	resident []model.AdapterVersion
	held     chan struct{} // when set, orders wait until it is closed
	orders   []core.Intent
}

func (f *fakeTarget) Execute(_ context.Context, _ model.Target, intent core.Intent) core.Event {
	f.mu.Lock()
	f.orders = append(f.orders, intent)
	held := f.held
	f.mu.Unlock()
	if held != nil {
		<-held
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

func (f *fakeTarget) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// fakeWorld is everything else outside a manager.
type fakeWorld struct {
	mu       sync.Mutex
	manager  *owner.Manager
	gone     map[model.Holder]bool
	confirms bool // the other VM confirms epochs
	given    []core.RecordGiven
}

func (w *fakeWorld) ConfirmEpoch(_ context.Context, vm string, request rpcapi.ConfirmEpochRequest) (rpcapi.ConfirmEpochReply, error) {
	if vm == self.VM {
		return w.manager.ConfirmEpoch(request), nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.confirms {
		return rpcapi.ConfirmEpochReply{}, errs.New(errs.PeerUnavailable, "silent")
	}
	return rpcapi.ConfirmEpochReply{Holder: other}, nil
}

func (w *fakeWorld) Hedge(context.Context, string, core.HedgeRequest) error { return nil }

func (w *fakeWorld) Ask(_ string, ask core.RequestLoadPermit, _ time.Duration, granted func(model.AdapterVersion)) {
	go granted(ask.Adapter)
}

func (w *fakeWorld) Cancel(string, model.AdapterVersion) {}

func (w *fakeWorld) RecordGiven(given core.RecordGiven) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.given = append(w.given, given)
}

func (w *fakeWorld) Gone(holder model.Holder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone[holder]
}

type bench struct {
	gomega.Gomega
	store   *memstore.Store
	target  *fakeTarget
	world   *fakeWorld
	manager *owner.Manager
}

// newBench registers both VMs and takes the group over.
func newBench(t *testing.T) *bench {
	b := &bench{
		Gomega: gomega.NewWithT(t), store: memstore.New(), target: &fakeTarget{},
		world: &fakeWorld{gone: map[model.Holder]bool{}, confirms: true},
	}
	for name, value := range map[string]string{
		"vms/vm-1": `{"name":"vm-1","incarnation":2}`, "vms/vm-2": `{"name":"vm-2","incarnation":1}`,
	} {
		_, err := b.store.Create(context.Background(), name, []byte(value))
		b.Expect(err).NotTo(gomega.HaveOccurred())
	}
	ports := owner.Ports{
		Orders: b.target, Peers: b.world, Loads: b.world, Accounts: b.world, Liveness: b.world,
		Events: timeline.Discard{}, Log: zerolog.Nop(),
	}
	b.manager = owner.NewManager(self, b.store, permit.NewHoldings(), ports, func(name string) core.Decider {
		return core.New(core.Params{Group: name, StateRequestInterval: 10 * time.Millisecond}, 1)
	})
	b.world.manager = b.manager
	t.Cleanup(b.manager.Stop)
	b.manager.SetGroups(group.FromListing([]model.Target{target}, 1))
	return b
}

func (b *bench) takeOver() {
	b.Eventually(func() bool {
		b.manager.TakeOver(groupID)
		return b.manager.Owns(groupID)
	}).WithTimeout(waitLimit).Should(gomega.BeTrue())
}

const waitLimit = 30 * time.Second // ends a test that hangs

func (b *bench) acquire(ctx context.Context, id string, adapter model.AdapterVersion) rpcapi.AcquireReply {
	return b.manager.Acquire(ctx, rpcapi.AcquireRequest{Group: groupID, Request: core.Request{
		ID: model.RequestID(id), Organisation: "o", Adapter: adapter, Class: model.ClassRunner, BaseModel: "base",
		PredictedTokens: 8, Deadline: waitLimit, Worth: 1, Holder: self,
	}})
}
