package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

const (
	benchSlots       = 16
	benchConcurrency = 32
)

var (
	benchTargets  = []int{9, 16, 18, 64}
	benchAdapters = []int{3_000, 30_000, 200_000}
)

// benchAdapter returns adapter n; its organisation is one of eight.
func benchAdapter(n int) model.AdapterVersion {
	return model.AdapterVersion{Organisation: fmt.Sprintf("org%d", n%8), Adapter: fmt.Sprintf("a%d", n), Version: "1"}
}

// benchCore returns a core whose targets have their slots full, after one request
// for each of the adapters.
func benchCore(targets, adapters int) (*core.Core, core.Time) {
	now := time.Second
	c := core.New(core.Params{Group: "g", Policies: core.ProductionPolicies()}, 1)
	var list core.TargetsChanged
	for i := range targets {
		t := runner(fmt.Sprintf("t%02d", i), benchSlots)
		t.Concurrency = benchConcurrency
		list.Targets = append(list.Targets, t)
	}
	c.Apply(now, list)
	c.Apply(now, core.TakenOver{Epoch: 1})
	c.Tick(now)
	now += time.Second
	for i, t := range list.Targets {
		state := core.TargetState{Target: t.Name, Instance: "i", RequestedAt: now}
		for s := range benchSlots {
			state.Resident = append(state.Resident, benchAdapter((i*benchSlots+s)%adapters))
		}
		c.Apply(now, state)
	}
	for n := range adapters {
		r := request("seen", benchAdapter(n))
		c.Apply(now, core.RequestQueued{Request: r})
		c.Apply(now, core.RequestCancelled{ID: r.ID})
	}
	c.Tick(now)
	return c, now
}

// benchmarkSizes runs a benchmark for each number of targets and adapters.
func benchmarkSizes(b *testing.B, run func(b *testing.B, targets, adapters int)) {
	for _, targets := range benchTargets {
		for _, adapters := range benchAdapters {
			b.Run(fmt.Sprintf("targets=%d/adapters=%d", targets, adapters), func(b *testing.B) {
				run(b, targets, adapters)
			})
		}
	}
}

// BenchmarkTick measures a tick while nothing changes.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, targets, adapters int) {
		c, now := benchCore(targets, adapters)
		b.ReportAllocs()
		for b.Loop() {
			now += time.Microsecond
			c.Tick(now)
		}
	})
}

// BenchmarkRoute measures one routing decision: queue, grant, release.
func BenchmarkRoute(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, targets, adapters int) {
		c, now := benchCore(targets, adapters)
		var requests []core.Request
		for n := range targets * benchSlots {
			requests = append(requests, request("r", benchAdapter(n%adapters)))
		}
		next := 0
		b.ReportAllocs()
		for b.Loop() {
			now += time.Microsecond
			next = (next + 1) % len(requests)
			r := requests[next]
			c.Apply(now, core.RequestQueued{Request: r})
			granted := commandsOf[core.GrantPermit](c.Tick(now))
			if len(granted) != 1 {
				b.Fatal("the request was not granted")
			}
			c.Apply(now, core.PermitReleased{
				ID: r.ID, Target: granted[0].Permit.Target.Name, Outcome: core.OutcomeDone,
				FirstToken: 50 * time.Millisecond, TokenGap: 10 * time.Millisecond,
			})
		}
	})
}

// BenchmarkTickBacklog measures a tick while a full queue waits for loads.
func BenchmarkTickBacklog(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, targets, adapters int) {
		c, now := benchCore(targets, adapters)
		for n := range core.DefaultMaxQueued {
			r := request(fmt.Sprintf("r%d", n), benchAdapter(targets*benchSlots+n%1000))
			r.Deadline = time.Hour
			c.Apply(now, core.RequestQueued{Request: r})
		}
		c.Tick(now)
		b.ReportAllocs()
		for b.Loop() {
			now += core.DefaultBusyTickInterval
			c.Tick(now)
		}
	})
}

// BenchmarkMemory reports the heap in bytes of a core with its targets and the
// adapters that were requested.
func BenchmarkMemory(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, targets, adapters int) {
		for b.Loop() {
			before := heapBytes()
			c, _ := benchCore(targets, adapters)
			b.ReportMetric(float64(heapBytes()-before), "heap_B")
			runtime.KeepAlive(c)
		}
	})
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
