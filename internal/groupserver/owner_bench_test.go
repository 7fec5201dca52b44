package groupserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/placer"
)

// promptEngines load an adapter in loadTime and have no other faults.
type promptEngines struct {
	mu       sync.Mutex
	sequence map[string]int64
	readyAt  map[string]time.Time
}

const loadTime = 250 * time.Millisecond

func (e *promptEngines) Order(_ context.Context, o placer.Order, _ string, _ int64) placer.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := o.Target + "/" + o.Adapter.Name
	ready, present := e.readyAt[key]
	switch {
	case o.Operation == placer.Unload:
		delete(e.readyAt, key)
		e.sequence[o.Target]++
		return placer.AlreadyApplied
	case present && time.Now().After(ready):
		return placer.AlreadyApplied
	case !present:
		e.readyAt[key] = time.Now().Add(loadTime)
		e.sequence[o.Target]++
	}
	return placer.Accepted
}

func (e *promptEngines) Report(context.Context, string, string) (*placer.Report, error) {
	return &placer.Report{Models: map[string]int64{"base": 1}}, nil
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for this process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOwner measures the processor time of an owner for each request, without the
// network: a grant, a first event and an end, and the syncs of 79 VMs, at 250 requests
// a second for 15 targets with 10 adapter slots each and 400 adapters in demand.
func BenchmarkOwner(b *testing.B) {
	const targets, adapters, vms, requestsPerSecond, syncsPerSecond = 15, 400, 79, 250, 160
	store := memstore.New()
	engines := &promptEngines{sequence: map[string]int64{}, readyAt: map[string]time.Time{}}
	m := New(Options{
		VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: store, Engines: engines, Observer: nopObserver{}, SettleDelay: time.Millisecond,
		TargetsCheckFences: true, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
	})
	m.Replace(nil, 0)
	var all []fleet.Target
	for i := range targets {
		all = append(all, fleet.Target{ID: fmt.Sprintf("t%d", i), Service: "llm", Slots: 24, DataCentre: "a", Models: []fleet.ResidentModel{{Name: "base", Version: 1}}})
	}
	m.SetFleet(map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{
		AdapterSlots: 10, CacheTokens: 200000, EventTokens: 8, Models: []fleet.BaseModel{{Name: "base"}},
	}}}, all)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	for len(m.OwnedGroups()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	group := GroupName("llm", 0)
	random := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(random, 1.1, 20, adapters-1)
	serve := func(id string, adapter uint64) {
		r := placer.Request{
			ID: id, Holder: "vm1", DataCentre: "a", Adapter: placer.Adapter{Model: "base", Name: fmt.Sprint("a", adapter)},
			PromptTokens: 650, OutputTokens: 50, Objective: time.Second, Deadline: 5 * time.Second,
			Parts: []placer.Part{{ID: fmt.Sprint(adapter), Tokens: 155}, {ID: id, Tokens: 491}},
		}
		reply := m.Acquire(ctx, grouprpc.AcquireRequest{Group: group, Epoch: 1, Request: r})
		if reply.Err != nil {
			return
		}
		time.Sleep(60 * time.Millisecond)
		m.Events(grouprpc.EventsRequest{Group: group, Events: []grouprpc.Event{{ID: id, Kind: grouprpc.EventStarted, Slowness: 1}}})
		time.Sleep(200 * time.Millisecond)
		m.Events(grouprpc.EventsRequest{Group: group, Events: []grouprpc.Event{{ID: id, Kind: grouprpc.EventReleased, Outcome: placer.Done}}})
	}
	since := make([]uint64, vms)
	var wait sync.WaitGroup
	syncs := 0
	b.ResetTimer()
	began, usedBefore := time.Now(), cpuTime()
	for n := range b.N {
		id, adapter := fmt.Sprint("r", n), zipf.Uint64()
		wait.Go(func() { serve(id, adapter) })
		for ; float64(syncs) < float64(n)*syncsPerSecond/requestsPerSecond; syncs++ {
			vm := syncs % vms
			since[vm] = m.Sync(grouprpc.SyncRequest{Group: group, Epoch: 1, VM: fmt.Sprint("vm", vm), Since: since[vm]}).Version
		}
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / requestsPerSecond)))
	}
	wait.Wait()
	b.ReportMetric(float64((cpuTime()-usedBefore).Microseconds())/float64(b.N), "cpu-µs/request")
}
