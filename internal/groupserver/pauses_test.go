package groupserver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/placer"
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
	m.Replace(nil)
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
