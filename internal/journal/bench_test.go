package journal

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// benchRecords returns n claims and outcomes of 200 bytes, as pairs.
func benchRecords(first, n int) []Record {
	records := make([]Record, 0, 2*n)
	holder := model.Holder{VM: "entry-vm-3", Incarnation: 1_700_000_000_000_000_000}
	for i := first; i < first+n; i++ {
		var key KeyID
		binary.BigEndian.PutUint64(key[:], uint64(i)*0x9e3779b97f4a7c15)
		id := rpcapi.ClaimID{Holder: holder, Number: uint64(i)}
		response := rpcapi.StoredResponse{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}
		records = append(records, Record{Kind: RecordClaim, Key: key, ID: id},
			Record{Kind: RecordOutcome, Key: key, ID: id, Response: response})
	}
	return records
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIndexMemory reports the heap per claim without and with an outcome,
// and the time to apply a record.
func BenchmarkIndexMemory(b *testing.B) {
	const claims = 100_000
	for _, kind := range []RecordKind{RecordClaim, RecordOutcome} {
		b.Run(map[RecordKind]string{RecordClaim: "running", RecordOutcome: "finished_200B"}[kind], func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				x := NewIndex()
				for i := range claims {
					pair := benchRecords(i, 1)
					_ = x.Apply(&Batch{Position: x.Position() + 1, Records: pair[:kind], Retention: 1000})
				}
				b.ReportMetric(float64(heapBytes()-before)/claims, "heap_B/claim")
				b.ReportMetric(float64(x.Bytes())/claims, "accounted_B/claim")
			}
		})
	}
}

// BenchmarkClaim measures a claim from the call to the answer, in batches, with
// a store that costs nothing, and the bytes per record.
func BenchmarkClaim(b *testing.B) {
	for _, size := range []int{1, 10, 200} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			w := newBench(b, func(s *Settings) { s.IndexLimit, s.CompactPositions = 1<<40, 1<<40 })
			b.ReportAllocs()
			bytes, records := 0, 0
			for n := 0; n < b.N; n += size {
				for i := range size {
					w.shard.Claim(claimOf(fmt.Sprint(n+i), uint64(n+i)))
				}
				w.steps(1)
				object, _ := w.store.at(positionKey(0, w.shard.index.Position()), w.store.revision)
				bytes, records = bytes+len(object.Value), records+size
			}
			b.ReportMetric(float64(bytes)/float64(records), "store_B/record")
		})
	}
}

// BenchmarkTakeover measures reading back records of claims with outcomes, from
// the positions and from a snapshot.
func BenchmarkTakeover(b *testing.B) {
	for _, records := range []int{10_000, 100_000, 500_000} {
		for _, compacted := range []bool{false, true} {
			b.Run(fmt.Sprintf("records=%d/snapshot=%v", records, compacted), func(b *testing.B) {
				w := filled(b, records, compacted)
				b.ResetTimer()
				for range b.N {
					b.StopTimer()
					next := w.newShard("vm2", nil)
					next.SetWanted(true)
					calls := w.store.calls
					b.StartTimer()
					next.Step(context.Background())
					b.ReportMetric(float64(w.store.calls-calls), "store_calls")
					w.g.Expect(next.Owned()).To(gomega.BeTrue())
				}
			})
		}
	}
}

// BenchmarkSnapshot measures the encoding of a snapshot, during which the shard
// commits no batch.
func BenchmarkSnapshot(b *testing.B) {
	for _, records := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			w := filled(b, records, false)
			for b.Loop() {
				_, err := EncodeSnapshot(w.shard.index, 0)
				w.g.Expect(err).To(gomega.Succeed())
			}
		})
	}
}

// filled returns a store with the records in batches of 250.
func filled(b *testing.B, records int, compacted bool) *bench {
	const perBatch = 125
	w := newBench(b, nil)
	index := w.shard.index
	for i := 0; i < records/2; i += perBatch {
		batch := &Batch{
			Position: index.Position() + 1, Identity: Identity{Writer: w.shard.settings.Self},
			TimeMS: w.now.UnixMilli(), Retention: 86_400_000, Records: benchRecords(i, perBatch),
		}
		data, err := EncodeBatch(batch)
		w.g.Expect(err).To(gomega.Succeed())
		_, err = w.store.create(positionKey(0, batch.Position), data)
		w.g.Expect(err).To(gomega.Succeed())
		w.g.Expect(index.Apply(batch)).To(gomega.Succeed())
	}
	for compacted && w.shard.deps.Counters.Compactions.Load() == 0 {
		w.shard.settings.CompactPositions = 1
		w.steps(1)
	}
	return w
}

// BenchmarkStoreCalls reports the store calls per second of virtual time for
// busy shards against the commit interval.
func BenchmarkStoreCalls(b *testing.B) {
	for _, shards := range []int{4, 8, 16} {
		for _, interval := range []time.Duration{20, 40, 100} {
			b.Run(fmt.Sprintf("shards=%d/interval=%dms", shards, interval), func(b *testing.B) {
				for range b.N {
					writes, reads := storeCallRate(b, interval*time.Millisecond)
					b.ReportMetric(float64(shards)*writes, "writes/s")
					b.ReportMetric(float64(shards)*reads, "reads/s")
				}
			})
		}
	}
}

// storeCallRate drives one shard with a claim each virtual millisecond. Store
// calls take no time. Short compactions make their share steady in the span.
func storeCallRate(b *testing.B, interval time.Duration) (writes, reads float64) {
	const span = 60 * time.Second
	w := newBench(b, func(s *Settings) { s.CommitInterval, s.IndexLimit, s.CompactPositions = interval, 1<<40, 200 })
	start, calls, written := w.now, w.store.calls, w.store.writes
	for n := 0; w.now.Sub(start) < span; n++ {
		w.shard.Claim(claimOf(fmt.Sprint(n), uint64(n)))
		w.shard.Step(context.Background())
		w.now = w.now.Add(time.Millisecond)
	}
	calls, written = w.store.calls-calls, w.store.writes-written
	return float64(written) / span.Seconds(), float64(calls-written) / span.Seconds()
}
