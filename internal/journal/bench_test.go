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

// benchRecords returns n pairs of a claim and its outcome, with a response body of
// 200 bytes.
func benchRecords(first, n int) []Record {
	records := make([]Record, 0, 2*n)
	holder := model.Holder{VM: "entry-vm-3", Incarnation: 1_700_000_000_000_000_000}
	for i := first; i < first+n; i++ {
		var key KeyHash
		binary.BigEndian.PutUint64(key[:], uint64(i)*0x9e3779b97f4a7c15)
		id := rpcapi.ClaimID{Holder: holder, Number: uint64(i)}
		response := rpcapi.StoredResponse{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}
		records = append(records, Record{Kind: RecordClaim, Key: key, ID: id},
			Record{Kind: RecordOutcome, Key: key, ID: id, Response: response})
	}
	return records
}

// heapBytes returns the bytes of the heap in use after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIndexMemory reports the heap and the estimated bytes per claim, without
// and with an outcome, and the time to apply the records.
func BenchmarkIndexMemory(b *testing.B) {
	const claims = 100_000
	for _, kind := range []RecordKind{RecordClaim, RecordOutcome} {
		b.Run(map[RecordKind]string{RecordClaim: "running", RecordOutcome: "finished_200B"}[kind], func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				x := NewIndex()
				for i := range claims {
					pair := benchRecords(i, 1)
					_ = x.Apply(&Batch{Position: x.Position() + 1, Records: pair[:kind], RetentionMS: 1000})
				}
				b.ReportMetric(float64(heapBytes()-before)/claims, "heap_B/claim")
				b.ReportMetric(float64(x.Bytes())/claims, "accounted_B/claim")
			}
		})
	}
}

// BenchmarkClaim measures a claim from the call to the answer, in batches of
// different sizes and with a store that takes no time. It reports the bytes per
// record in the store.
func BenchmarkClaim(b *testing.B) {
	for _, size := range []int{1, 10, 200} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			f := newShardFixture(b, func(s *Settings) { s.MaxIndexBytes, s.CompactionThreshold = 1<<40, 1<<40 })
			b.ReportAllocs()
			bytes, records := 0, 0
			for n := 0; n < b.N; n += size {
				for i := range size {
					f.shard.Claim(newClaimRequest(fmt.Sprint(n+i), uint64(n+i)))
				}
				f.runSteps(1)
				object, _ := f.store.objectAt(positionKey(0, f.shard.index.Position()), f.store.revision)
				bytes, records = bytes+len(object.Value), records+size
			}
			b.ReportMetric(float64(bytes)/float64(records), "store_B/record")
		})
	}
}

// BenchmarkTakeover measures a takeover that reads the records of claims with
// outcomes, from the positions or from a snapshot.
func BenchmarkTakeover(b *testing.B) {
	for _, records := range []int{10_000, 100_000, 500_000} {
		for _, compacted := range []bool{false, true} {
			b.Run(fmt.Sprintf("records=%d/snapshot=%v", records, compacted), func(b *testing.B) {
				f := newFilledFixture(b, records, compacted)
				b.ResetTimer()
				for range b.N {
					b.StopTimer()
					next := f.newShard("vm2", nil)
					next.SetAssigned(true)
					calls := f.store.calls
					b.StartTimer()
					next.Step(context.Background())
					b.ReportMetric(float64(f.store.calls-calls), "store_calls")
					f.g.Expect(next.Owned()).To(gomega.BeTrue())
				}
			})
		}
	}
}

// BenchmarkSnapshot measures the encoding of a snapshot, during which the shard
// cannot commit a batch.
func BenchmarkSnapshot(b *testing.B) {
	for _, records := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			f := newFilledFixture(b, records, false)
			for b.Loop() {
				_, err := EncodeSnapshot(f.shard.index, 0)
				f.g.Expect(err).To(gomega.Succeed())
			}
		})
	}
}

// newFilledFixture returns a fixture whose store holds the records in batches of
// 250, with or without a snapshot.
func newFilledFixture(b *testing.B, records int, compacted bool) *shardFixture {
	const pairsPerBatch = 125
	f := newShardFixture(b, nil)
	index := f.shard.index
	for i := 0; i < records/2; i += pairsPerBatch {
		batch := &Batch{
			Position: index.Position() + 1, WriteID: WriteID{Writer: f.shard.settings.Self},
			TimeMS: f.now.UnixMilli(), RetentionMS: 86_400_000, Records: benchRecords(i, pairsPerBatch),
		}
		data, err := EncodeBatch(batch)
		f.g.Expect(err).To(gomega.Succeed())
		_, err = f.store.create(positionKey(0, batch.Position), data)
		f.g.Expect(err).To(gomega.Succeed())
		f.g.Expect(index.Apply(batch)).To(gomega.Succeed())
	}
	for compacted && f.shard.deps.Counters.Compactions.Load() == 0 {
		f.shard.settings.CompactionThreshold = 1
		f.runSteps(1)
	}
	return f
}

// BenchmarkStoreCalls reports the store calls of busy shards per second of virtual
// time, for several commit intervals.
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

// storeCallRate returns the store calls per second of virtual time of one shard
// that gets a claim each virtual millisecond. Store calls take no time. Short
// compactions make their share of the calls steady over the time span.
func storeCallRate(b *testing.B, interval time.Duration) (writes, reads float64) {
	const span = 60 * time.Second
	f := newShardFixture(b, func(s *Settings) { s.CommitInterval, s.MaxIndexBytes, s.CompactionThreshold = interval, 1<<40, 200 })
	start, calls, written := f.now, f.store.calls, f.store.writes
	for n := 0; f.now.Sub(start) < span; n++ {
		f.shard.Claim(newClaimRequest(fmt.Sprint(n), uint64(n)))
		f.shard.Step(context.Background())
		f.now = f.now.Add(time.Millisecond)
	}
	calls, written = f.store.calls-calls, f.store.writes-written
	return float64(written) / span.Seconds(), float64(calls-written) / span.Seconds()
}
