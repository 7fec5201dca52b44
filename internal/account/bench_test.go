package account

import (
	"fmt"
	"runtime"
	"testing"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

var (
	benchOrganisations = []int{10, 100, 1_000}
	benchOpen          = []int{1_000, 10_000, 50_000}
	benchHolder        = model.Holder{VM: "entry-vm-001", Incarnation: 1_700_000_000_000_000_000}
	benchUsage         = core.Usage{PromptTokens: 700, GeneratedTokens: 270}
)

func benchRequest(n int) model.RequestID {
	return model.RequestID(fmt.Sprintf("entry-vm-001/17000000/%08d", n))
}

// BenchmarkRecordBoth measures recording the used and the given side of one
// request.
func BenchmarkRecordBoth(b *testing.B) {
	for _, organisations := range benchOrganisations {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			ledger := NewLedger(benchHolder, Bounds{})
			var names []string
			for n := range organisations {
				names = append(names, fmt.Sprintf("org-%04d", n))
			}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				name := names[n%organisations]
				ledger.RecordUsed("request", name, "chat", core.OutcomeDone, benchUsage)
				ledger.RecordGiven(core.RecordGiven{ID: "request", Organisation: name, Holder: benchHolder, Outcome: core.OutcomeDone, Usage: benchUsage})
			}
			if ledger.OpenCount() != 0 {
				b.Fatal("open requests remain")
			}
		})
	}
}

// BenchmarkDocument measures copying and encoding the totals for one write to
// the store, and reports the size of the document in bytes.
func BenchmarkDocument(b *testing.B) {
	for _, organisations := range benchOrganisations {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			ledger := NewLedger(benchHolder, Bounds{})
			for n := range organisations {
				name := fmt.Sprintf("org-%04d", n)
				ledger.RecordUsed(benchRequest(n), name, "chat", core.OutcomeDone, benchUsage)
				ledger.RecordGiven(core.RecordGiven{ID: benchRequest(n), Organisation: name, Holder: benchHolder, Outcome: core.OutcomeDone, Usage: benchUsage})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				document, _ := ledger.changedSince(0)
				value, err := document.encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "document_B")
		})
	}
}

// BenchmarkOpenMemory reports the heap size in bytes of open requests.
func BenchmarkOpenMemory(b *testing.B) {
	for _, open := range benchOpen {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				ledger := NewLedger(benchHolder, Bounds{})
				for n := range open {
					ledger.RecordUsed(benchRequest(n), "org-0001", "chat", core.OutcomeDone, benchUsage)
				}
				b.ReportMetric(float64(heap()-before), "heap_B")
				runtime.KeepAlive(ledger)
			}
		})
	}
}

// heap returns the bytes of allocated heap objects after a garbage collection.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
