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

func benchAsk(n int) loadcoord.Ask {
	adapter := model.AdapterVersion{Organisation: "organisation-1", Adapter: fmt.Sprintf("shop-%06d", n), Version: "v1"}
	return loadcoord.Ask{Key: loadcoord.Key{Group: "dc-1/base-7b/0", Adapter: adapter}, Worth: float64(n%7 + 1), Due: time.Hour}
}

// BenchmarkTickStart measures one tick that starts one load and one new ask.
func BenchmarkTickStart(b *testing.B) {
	for _, waiting := range benchWaiting {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := loadcoord.New(loadcoord.Params{LoadsPerSecond: 1, Burst: 1})
			asks := make(map[loadcoord.Key]loadcoord.Ask, waiting)
			for n := range waiting {
				asks[benchAsk(n).Key] = benchAsk(n)
				c.Add(0, benchAsk(n))
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Second
				started := c.Tick(now)
				if len(started) != 1 {
					b.Fatal("started ", len(started))
				}
				ask := asks[started[0]]
				ask.Due += now
				c.Add(now, ask)
			}
		})
	}
}

// BenchmarkMemory reports the heap of the waiting loads.
func BenchmarkMemory(b *testing.B) {
	for _, waiting := range benchWaiting {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := loadcoord.New(loadcoord.Params{LoadsPerSecond: 1, Burst: 1})
				for n := range waiting {
					c.Add(0, benchAsk(n))
				}
				b.ReportMetric(float64(heap()-before), "heap_B")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
