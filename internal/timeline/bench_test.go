package timeline_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

var benchLengths = []int{4_096, 65_536, 262_144}

func benchEvent(n int) timeline.Event {
	return timeline.Event{
		Kind: timeline.PermitGranted, Request: model.RequestID(fmt.Sprintf("entry-vm-001/17000000/%08d", n)),
		Organisation: "organisation-1", Target: "runner-0001", Group: "dc-1/base-7b/0",
	}
}

// BenchmarkRecord measures one event and reports the heap of a full ring.
func BenchmarkRecord(b *testing.B) {
	for _, length := range benchLengths {
		b.Run(fmt.Sprintf("length=%d", length), func(b *testing.B) {
			before := liveHeap()
			ring := timeline.NewRing(length, "entry-vm-001", timeline.NewClock(time.Now))
			for n := range length {
				ring.Record(benchEvent(n))
			}
			held := liveHeap() - before
			event := benchEvent(0)
			b.ReportAllocs()
			for b.Loop() {
				ring.Record(event)
			}
			b.ReportMetric(float64(held), "heap_B")
		})
	}
}

// BenchmarkSelect measures a query for one request over a full ring.
func BenchmarkSelect(b *testing.B) {
	for _, length := range benchLengths {
		b.Run(fmt.Sprintf("length=%d", length), func(b *testing.B) {
			ring := timeline.NewRing(length, "entry-vm-001", timeline.NewClock(time.Now))
			for n := range length {
				ring.Record(benchEvent(n))
			}
			for b.Loop() {
				_ = ring.Select(timeline.Filter{Request: "entry-vm-001/17000000/00000001"})
			}
		})
	}
}

func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
