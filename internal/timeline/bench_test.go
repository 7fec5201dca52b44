package timeline_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

var benchCapacities = []int{4_096, 65_536, 262_144}

func benchEvent(n int) timeline.Event {
	return timeline.Event{
		Kind: timeline.PermitGranted, Request: model.RequestID(fmt.Sprintf("entry-vm-001/17000000/%08d", n)),
		Organisation: "organisation-1", Target: "runner-0001", Group: "dc-1/base-7b/0",
	}
}

// BenchmarkRecord measures the recording of one event in a full ring and reports the
// bytes of heap that the ring takes.
func BenchmarkRecord(b *testing.B) {
	for _, capacity := range benchCapacities {
		b.Run(fmt.Sprintf("length=%d", capacity), func(b *testing.B) {
			before := liveHeapBytes()
			ring := timeline.NewRing(capacity, "entry-vm-001", timeline.NewClock(time.Now))
			for n := range capacity {
				ring.Record(benchEvent(n))
			}
			ringHeap := liveHeapBytes() - before
			event := benchEvent(0)
			b.ReportAllocs()
			for b.Loop() {
				ring.Record(event)
			}
			b.ReportMetric(float64(ringHeap), "heap_B")
		})
	}
}

// BenchmarkSelect measures a query for one request over a full ring.
func BenchmarkSelect(b *testing.B) {
	for _, capacity := range benchCapacities {
		b.Run(fmt.Sprintf("length=%d", capacity), func(b *testing.B) {
			ring := timeline.NewRing(capacity, "entry-vm-001", timeline.NewClock(time.Now))
			for n := range capacity {
				ring.Record(benchEvent(n))
			}
			for b.Loop() {
				_ = ring.Select(timeline.Filter{Request: "entry-vm-001/17000000/00000001"})
			}
		})
	}
}

// liveHeapBytes returns the bytes of heap in use after a garbage collection.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
