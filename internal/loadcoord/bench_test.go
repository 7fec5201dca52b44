package loadcoord_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadaslip/internal/loadcoord"
	"cicadaslip/internal/model"
)

var benchWaiting = []int{10, 100, 1_000}

func benchRequest(n int) loadcoord.LoadRequest {
	adapter := model.AdapterVersion{Organisation: "organisation-1", Adapter: fmt.Sprintf("shop-%06d", n), Version: "v1"}
	return loadcoord.LoadRequest{Key: loadcoord.Key{Group: "dc-1/base-7b/0", Adapter: adapter}, Worth: float64(n%7 + 1), Due: time.Hour}
}

// BenchmarkTickStart measures one tick that starts one load, and adding that load
// again.
func BenchmarkTickStart(b *testing.B) {
	for _, waiting := range benchWaiting {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := loadcoord.New(loadcoord.Params{LoadsPerSecond: 1, Burst: 1})
			requests := make(map[loadcoord.Key]loadcoord.LoadRequest, waiting)
			for n := range waiting {
				requests[benchRequest(n).Key] = benchRequest(n)
				c.Add(0, benchRequest(n))
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Second
				started := c.Tick(now)
				if len(started) != 1 {
					b.Fatal("loads started, want 1: ", len(started))
				}
				request := requests[started[0]]
				request.Due += now
				c.Add(now, request)
			}
		})
	}
}

// BenchmarkMemory reports the heap size of the waiting loads.
func BenchmarkMemory(b *testing.B) {
	for _, waiting := range benchWaiting {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := loadcoord.New(loadcoord.Params{LoadsPerSecond: 1, Burst: 1})
				for n := range waiting {
					c.Add(0, benchRequest(n))
				}
				b.ReportMetric(float64(heap()-before), "heap_B")
				runtime.KeepAlive(c)
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
