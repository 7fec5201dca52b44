package groupserver

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/placer"
)

// panickingEngines panic in the first calls of each kind.
type panickingEngines struct {
	promptEngines
	orders, reports atomic.Int32 // calls so far
}

const panickingCalls = 2

func (e *panickingEngines) Order(ctx context.Context, o placer.Order, holder string, token int64) placer.OrderResult {
	if e.orders.Add(1) <= panickingCalls {
		panic("unexpected in an order")
	}
	return e.promptEngines.Order(ctx, o, holder, token)
}

func (e *panickingEngines) Report(ctx context.Context, target, address string) (*placer.Report, error) {
	if e.reports.Add(1) <= panickingCalls {
		panic("unexpected in a report")
	}
	return e.promptEngines.Report(ctx, target, address)
}

// panicCounter counts panics.
type panicCounter struct {
	nopObserver
	panics atomic.Int32
}

func (c *panicCounter) Panicked(string, *errs.Error) { c.panics.Add(1) }

// Guards against an unexpected error in a call to a target that takes the owner's process
// down, or leaves the target without orders.
func TestPanicInACallToATargetDoesNotEndTheOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	engines := &panickingEngines{promptEngines: promptEngines{sequence: map[string]int64{}, readyAt: map[string]time.Time{}}}
	observer := &panicCounter{}
	m := New(Options{
		VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: memstore.New(), Engines: engines, Observer: observer, SettleDelay: time.Millisecond,
		TargetsCheckFences: true, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
	})
	m.Replace(nil, 0)
	m.SetFleet(map[string]fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{AdapterSlots: 2, Models: []fleet.BaseModel{{Name: "base"}}}}},
		[]fleet.Target{{ID: "t", Service: "s", Slots: 8, Models: []fleet.ResidentModel{{Name: "base", Version: 1}}}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	g.Eventually(m.OwnedGroups).WithTimeout(30 * time.Second).Should(gomega.HaveLen(1))
	reply := m.Acquire(ctx, grouprpc.AcquireRequest{Group: GroupName("s", 0), Epoch: 1, Request: placer.Request{
		ID: "r", Adapter: placer.Adapter{Model: "base", Name: "a"}, PromptTokens: 100, OutputTokens: 10, Objective: 10 * time.Second, Deadline: 30 * time.Second,
	}})
	g.Expect(reply.Err).To(gomega.BeNil())
	g.Expect(observer.panics.Load()).To(gomega.BeNumerically(">=", panickingCalls))
}

// panickingObserver panics when it is first told of certain events.
type panickingObserver struct {
	panicCounter
	in    string
	calls atomic.Int32
}

func (o *panickingObserver) maybePanic(in string) {
	if o.in == in && o.calls.Add(1) <= panickingCalls {
		panic("unexpected in " + in)
	}
}

func (o *panickingObserver) Granted(string, int64, placer.GrantRequest) { o.maybePanic("a grant") }
func (o *panickingObserver) Reported(string, string, error)             { o.maybePanic("a report") }
func (o *panickingObserver) ReportPartIgnored(string, error)            {}
func (o *panickingObserver) ObjectIgnored(objectstore.Object, error)    {}
func (o *panickingObserver) Ordered(string, int64, placer.Order, placer.OrderResult, time.Duration) {
	o.maybePanic("an order")
}

// Guards against an unexpected error in the decisions of an owner that takes its process down,
// or leaves it an owner that serves no request.
func TestPanicInADecisionDoesNotEndTheOwner(t *testing.T) {
	for _, in := range []string{"a grant", "an order", "a report"} {
		t.Run(in, func(t *testing.T) {
			g := gomega.NewWithT(t)
			observer := &panickingObserver{in: in}
			m := New(Options{
				VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: memstore.New(), Observer: observer, SettleDelay: time.Millisecond,
				Engines:            &panickingEngines{promptEngines: promptEngines{sequence: map[string]int64{}, readyAt: map[string]time.Time{}}},
				TargetsCheckFences: true, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
			})
			m.Replace(nil, 0)
			m.SetFleet(map[string]fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{AdapterSlots: 2, Models: []fleet.BaseModel{{Name: "base"}}}}},
				[]fleet.Target{{ID: "t", Service: "s", Slots: 8, Models: []fleet.ResidentModel{{Name: "base", Version: 1}}}})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go m.Run(ctx)
			g.Eventually(m.OwnedGroups).WithTimeout(30 * time.Second).Should(gomega.HaveLen(1))
			acquire := func() *errs.Error {
				return m.Acquire(ctx, grouprpc.AcquireRequest{Group: GroupName("s", 0), Epoch: 1, Request: placer.Request{
					ID: time.Now().String(), Adapter: placer.Adapter{Model: "base", Name: "a"}, PromptTokens: 100, OutputTokens: 10, Objective: 10 * time.Second, Deadline: 30 * time.Second,
				}}).Err
			}
			for range panickingCalls { // each may be refused after a panic
				if failure := acquire(); failure != nil {
					g.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
				}
			}
			g.Expect(acquire()).To(gomega.BeNil())
			g.Expect(observer.panics.Load()).To(gomega.BeNumerically(">", 0))
		})
	}
}
