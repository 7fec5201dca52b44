package permit_test

import (
	"fmt"
	"runtime"
	"testing"

	"cicadaslip/internal/core"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/permit"
	"cicadaslip/internal/rpcapi"
)

const (
	benchResident   = 256 // adapters per group: 16 targets with 16 slots each
	benchModels     = 3
	benchPerGroup   = 16
	benchHeldGroups = 60
)

var (
	benchGroups = []int{6, 60, 300}
	benchHeld   = []int{10, 100, 1_000}
	benchOwner  = model.Holder{VM: "entry-vm-001", Incarnation: 1}
)

func benchAdapter(n int) model.AdapterVersion {
	return model.AdapterVersion{Organisation: "organisation-1", Adapter: fmt.Sprintf("shop-%06d", n), Version: "v1"}
}

func benchName(n int) string { return fmt.Sprintf("dc-%d/base-%d/%d", n%5, n%benchModels, n) }

// benchTable returns a routing table with the given number of groups, each with an
// owner and a resident set.
func benchTable(groups int) *permit.RoutingTable {
	t := permit.NewRoutingTable()
	var all []group.Group
	for n := range groups {
		g := group.Group{Name: benchName(n), Class: model.ClassRunner, BaseModel: fmt.Sprintf("base-%d", n%benchModels), DataCentre: fmt.Sprintf("dc-%d", n%5), Region: "r"}
		for i := range benchPerGroup {
			g.Targets = append(g.Targets, model.Target{Name: fmt.Sprintf("runner-%04d", n*benchPerGroup+i), Class: model.ClassRunner})
		}
		all = append(all, g)
	}
	t.SetGroups(all)
	for n := range groups {
		t.ApplyDigest(benchOwner, rpcapi.GroupDigest{Group: benchName(n), Epoch: 1, ResidentVersion: 1})
		t.SetResident(benchName(n), 1, residentOf(n))
	}
	return t
}

func residentOf(n int) []model.AdapterVersion {
	var resident []model.AdapterVersion
	for i := range benchResident {
		resident = append(resident, benchAdapter(n*benchResident+i))
	}
	return resident
}

func forGroups(b *testing.B, run func(b *testing.B, groups int)) {
	for _, groups := range benchGroups {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			b.ReportAllocs()
			run(b, groups)
		})
	}
}

// BenchmarkCandidates measures finding the candidate groups of one request, which
// are a third of all groups.
func BenchmarkCandidates(b *testing.B) {
	forGroups(b, func(b *testing.B, groups int) {
		t := benchTable(groups)
		request := core.Request{Class: model.ClassRunner, BaseModel: "base-1", Adapter: benchAdapter(300)}
		for b.Loop() {
			if len(t.Candidates(request)) != groups/benchModels {
				b.Fatal("unexpected number of candidates")
			}
		}
	})
}

// BenchmarkSetResident measures replacing the resident set of one group.
func BenchmarkSetResident(b *testing.B) {
	forGroups(b, func(b *testing.B, groups int) {
		t, resident := benchTable(groups), residentOf(0)
		for b.Loop() {
			t.SetResident(benchName(0), 1, resident)
		}
	})
}

// BenchmarkTableMemory reports the heap size of a routing table.
func BenchmarkTableMemory(b *testing.B) {
	forGroups(b, func(b *testing.B, groups int) {
		for b.Loop() {
			before := heap()
			t := benchTable(groups)
			b.ReportMetric(float64(heap()-before), "heap_B")
			runtime.KeepAlive(t)
		}
	})
}

func benchHoldings(held int) *permit.Holdings {
	h := permit.NewHoldings()
	for n := range held {
		_ = h.Accept(core.Permit{Request: model.RequestID(fmt.Sprint("request-", n)), Group: benchName(n % benchHeldGroups), Epoch: 1, Adapter: benchAdapter(n)})
	}
	return h
}

// BenchmarkHold measures accepting and removing one permit while others are held.
func BenchmarkHold(b *testing.B) {
	for _, held := range benchHeld {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			h := benchHoldings(held)
			one := core.Permit{Request: "one", Group: benchName(0), Epoch: 1}
			b.ReportAllocs()
			for b.Loop() {
				if err := h.Accept(one); err != nil {
					b.Fatal(err)
				}
				h.Remove(one.Request)
			}
		})
	}
}

// BenchmarkConfirm measures confirming one epoch, which happens at each takeover.
func BenchmarkConfirm(b *testing.B) {
	for _, held := range benchHeld {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			h := benchHoldings(held)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := h.ConfirmEpoch(benchName(0), 1); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// heap returns the heap size in bytes after a garbage collection.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHoldingsMemory reports the heap size of the held permits.
func BenchmarkHoldingsMemory(b *testing.B) {
	for _, held := range benchHeld {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				h := benchHoldings(held)
				b.ReportMetric(float64(heap()-before), "heap_B")
				runtime.KeepAlive(h)
			}
		})
	}
}
