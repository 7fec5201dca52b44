package groupserver

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/ratelimit"
	"cicadaslip/internal/tenure"
)

// recordingEngines record the time of each call.
type recordingEngines struct {
	promptEngines
	mu    sync.Mutex
	calls []time.Time
}

func (e *recordingEngines) record() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, time.Now())
}

func (e *recordingEngines) Order(ctx context.Context, o placer.Order, holder string, token int64) placer.OrderResult {
	e.record()
	return e.promptEngines.Order(ctx, o, holder, token)
}

func (e *recordingEngines) Report(ctx context.Context, target, address string) (*placer.Report, error) {
	e.record()
	return e.promptEngines.Report(ctx, target, address)
}

// Guards against orders and reports that reach a target which wants nothing from the owner's
// VM, and against orders that are lost because of that; and against a grant to another VM
// that has told the owner of a pause.
func TestOwnerLeavesAPausedTargetAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	const pause = 1500 * time.Millisecond
	engines := &recordingEngines{promptEngines: promptEngines{sequence: map[string]int64{}, readyAt: map[string]time.Time{}}}
	end := time.Now().Add(pause)
	m := New(Options{
		VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: memstore.New(), Engines: engines, Observer: &panicCounter{}, SettleDelay: time.Millisecond,
		TargetsCheckFences: true, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
		PausedFor: func(string) time.Duration { return time.Until(end) },
	})
	m.Replace(nil, 0)
	m.SetFleet(map[string]fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{AdapterSlots: 2, Models: []fleet.BaseModel{{Name: "base"}}}}},
		[]fleet.Target{{ID: "t", Service: "s", Slots: 8, Models: []fleet.ResidentModel{{Name: "base", Version: 1}}}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	g.Eventually(m.OwnedGroups).WithTimeout(30 * time.Second).Should(gomega.HaveLen(1))
	request := grouprpc.AcquireRequest{Group: GroupName("s", 0), Epoch: 1, Request: placer.Request{
		ID: "r", Holder: "vm1", Adapter: placer.Adapter{Model: "base", Name: "a"}, PromptTokens: 100, OutputTokens: 10, Objective: 10 * time.Second, Deadline: 30 * time.Second,
	}}
	g.Expect(m.Acquire(ctx, request).Err).To(gomega.BeNil())
	engines.mu.Lock()
	g.Expect(engines.calls).NotTo(gomega.BeEmpty())
	g.Expect(engines.calls[0]).NotTo(gomega.BeTemporally("<", end))
	engines.mu.Unlock()

	request.Request.ID, request.Pauses = "paused", []advisory.Pause{{Target: "t", Left: time.Minute}}
	g.Expect(m.Acquire(ctx, request).Err).NotTo(gomega.BeNil())
	request.Request.ID, request.Request.Holder, request.Pauses = "other", "vm2", nil
	g.Expect(m.Acquire(ctx, request).Err).To(gomega.BeNil())
}

// reportingEngines report an adapter that a former owner has loaded, and count calls.
type reportingEngines struct {
	promptEngines
	orders, reports atomic.Int64
	fails           bool // reports fail
}

func (e *reportingEngines) Order(ctx context.Context, o placer.Order, holder string, token int64) placer.OrderResult {
	e.orders.Add(1)
	return e.promptEngines.Order(ctx, o, holder, token)
}

func (e *reportingEngines) Report(context.Context, string, string) (*placer.Report, error) {
	e.reports.Add(1)
	if e.fails {
		return nil, errs.New(errs.TargetRefused, "turned away")
	}
	return &placer.Report{Models: map[string]int64{"base": 1}, Ready: map[placer.Adapter]int64{{Model: "base", Name: "a"}: 1}}, nil
}

// Guards against a target that is out of use for all VMs because it wants nothing from the VM
// that has become the owner of its group, and against more than one call to it for that.
func TestPauseOfTheOwnersVMDoesNotBindOthers(t *testing.T) {
	for name, fails := range map[string]bool{"the report arrives": false, "the report fails": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			engines := &reportingEngines{promptEngines: promptEngines{sequence: map[string]int64{}, readyAt: map[string]time.Time{}}, fails: fails}
			statements := advisory.NewTable()
			var mu sync.Mutex
			began, i := time.Now(), advisory.Incarnation{Target: "t"}
			statements.Observe(i, advisory.Statement{Pause: time.Hour}, ratelimit.Position{})
			store := memstore.New()
			record, err := json.Marshal(tenure.Record{Owner: "vm9", Epoch: 1, Released: true, Closed: true})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			former, err := store.Create(t.Context(), Kind+"/"+GroupName("s", 0), record)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			m := New(Options{
				VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: store, Engines: engines, Observer: &panicCounter{}, SettleDelay: time.Millisecond,
				TargetsCheckFences: true, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
				PausedFor: func(string) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					return statements.PausedFor(time.Since(began), i)
				},
				TakeCall: func(string) bool {
					mu.Lock()
					defer mu.Unlock()
					return statements.TakeCall(time.Since(began), i)
				},
			})
			m.Replace([]objectstore.Object{former}, 0)
			m.SetFleet(map[string]fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{AdapterSlots: 2, Models: []fleet.BaseModel{{Name: "base"}}}}},
				[]fleet.Target{{ID: "t", Service: "s", Slots: 8, Models: []fleet.ResidentModel{{Name: "base", Version: 1}}}})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go m.Run(ctx)
			g.Eventually(m.OwnedGroups).WithTimeout(30 * time.Second).Should(gomega.HaveLen(1))
			ask := func(id, vm, adapter string) *errs.Error {
				return m.Acquire(ctx, grouprpc.AcquireRequest{Group: GroupName("s", 0), Epoch: 1, Request: placer.Request{
					ID: id, Holder: vm, Adapter: placer.Adapter{Model: "base", Name: adapter}, PromptTokens: 100, OutputTokens: 10, Objective: time.Second, Deadline: 2 * time.Second,
				}}).Err
			}
			for n := range 3 {
				failure := ask(fmt.Sprint("r", n), "vm1", "a")
				g.Expect(failure == nil).To(gomega.Equal(!fails), "%v", failure)
			}
			g.Expect(ask("load", "vm1", "b")).NotTo(gomega.BeNil(), "a load would need an order")
			g.Expect(engines.reports.Load()).To(gomega.Equal(int64(1)))
			g.Expect(engines.orders.Load()).To(gomega.BeZero())
		})
	}
}

// refusingEngines refuse all calls with a pause.
type refusingEngines struct {
	pause time.Duration
	mu    sync.Mutex
	calls []time.Time // when each was answered
}

func (e *refusingEngines) refuse(ctx context.Context) {
	e.mu.Lock()
	e.calls = append(e.calls, time.Now())
	e.mu.Unlock()
	advisory.HeardInCall(ctx, advisory.CallStatement{Pause: e.pause})
}

func (e *refusingEngines) Order(ctx context.Context, _ placer.Order, _ string, _ int64) placer.OrderResult {
	e.refuse(ctx)
	return placer.Unanswered
}

func (e *refusingEngines) Report(ctx context.Context, _, _ string) (*placer.Report, error) {
	e.refuse(ctx)
	return nil, errs.New(errs.TargetRefused, "refused")
}

// Guards against orders and reports that are repeated although the target has refused the last
// one and asked the owner's VM to pause.
func TestRefusedOrdersAndReportsAreNotRepeatedDuringThePause(t *testing.T) {
	for name, record := range map[string]tenure.Record{
		"first owner, orders": {}, "later owner, reports": {Owner: "vm9", Epoch: 1, Released: true, Closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			const born = 7
			engines := &refusingEngines{pause: time.Hour}
			statements := advisory.NewTable()
			var mu sync.Mutex
			began, i := time.Now(), advisory.Incarnation{Target: "t", Born: born}
			store := memstore.New()
			var former []objectstore.Object
			if record.Epoch > 0 {
				value, err := json.Marshal(record)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				object, err := store.Create(t.Context(), Kind+"/"+GroupName("s", 0), value)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				former = []objectstore.Object{object}
			}
			m := New(Options{
				VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: store, Engines: engines, Observer: &panicCounter{}, SettleDelay: time.Millisecond,
				TargetsCheckFences: true, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
				PausedFor: func(string) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					return statements.PausedFor(time.Since(began), i)
				},
				TakeCall: func(string) bool {
					mu.Lock()
					defer mu.Unlock()
					return statements.TakeCall(time.Since(began), i)
				},
				Heard: func(target string, from int64, s advisory.CallStatement) {
					mu.Lock()
					defer mu.Unlock()
					statements.ObservePause(time.Since(began), advisory.Incarnation{Target: target, Born: from}, s.Pause)
				},
			})
			m.Replace(former, 0)
			m.SetFleet(map[string]fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{AdapterSlots: 2, Models: []fleet.BaseModel{{Name: "base"}}}}},
				[]fleet.Target{{ID: "t", Service: "s", Slots: 8, Born: born, Models: []fleet.ResidentModel{{Name: "base", Version: 1}}}})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go m.Run(ctx)
			g.Eventually(m.OwnedGroups).WithTimeout(30 * time.Second).Should(gomega.HaveLen(1))
			for n := range 2 {
				g.Expect(m.Acquire(ctx, grouprpc.AcquireRequest{Group: GroupName("s", 0), Epoch: 1, Request: placer.Request{
					ID: fmt.Sprint("r", n), Holder: "vm1", Adapter: placer.Adapter{Model: "base", Name: "a"}, PromptTokens: 100, OutputTokens: 10, Objective: time.Second, Deadline: 2 * time.Second,
				}}).Err).NotTo(gomega.BeNil())
			}
			engines.mu.Lock()
			defer engines.mu.Unlock()
			g.Expect(engines.calls).NotTo(gomega.BeEmpty())
			g.Expect(len(engines.calls)-1).To(gomega.BeNumerically("<=", 1), "calls after the first one, which has begun the pause")
		})
	}
}
