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

func benchAdapter(n int) model.AdapterVersion {
	return model.AdapterVersion{Organisation: fmt.Sprintf("org%d", n%8), Adapter: fmt.Sprintf("a%d", n), Version: "1"}
}

// benchCore returns a core whose targets hold adapters and that has seen others.
func benchCore(targets, adapters int) (*core.Core, core.Time) {
	now := time.Second
	c := core.New(core.Params{Group: "g", Policies: core.ProductPolicies()}, 1)
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
		state := core.TargetState{Target: t.Name, Instance: "i", AskedAt: now}
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

func forSizes(b *testing.B, run func(b *testing.B, targets, adapters int)) {
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
	forSizes(b, func(b *testing.B, targets, adapters int) {
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
	forSizes(b, func(b *testing.B, targets, adapters int) {
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
			granted := find[core.GrantPermit](c.Tick(now))
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
	forSizes(b, func(b *testing.B, targets, adapters int) {
		c, now := benchCore(targets, adapters)
		for n := range core.DefaultQueueBound {
			r := request(fmt.Sprintf("r%d", n), benchAdapter(targets*benchSlots+n%1000))
			r.Deadline = time.Hour
			c.Apply(now, core.RequestQueued{Request: r})
		}
		c.Tick(now)
		b.ReportAllocs()
		for b.Loop() {
			now += core.DefaultBusyInterval
			c.Tick(now)
		}
	})
}

// BenchmarkMemory reports the heap of a core with its targets and the adapters
// that it has seen.
func BenchmarkMemory(b *testing.B) {
	forSizes(b, func(b *testing.B, targets, adapters int) {
		for b.Loop() {
			before := heap()
			c, _ := benchCore(targets, adapters)
			b.ReportMetric(float64(heap()-before), "heap_B")
			runtime.KeepAlive(c)
		}
	})
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
