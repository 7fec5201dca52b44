package advisory_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/ratelimit"
)

// fleetTargets is the number of targets of the deployment that is planned for.
const fleetTargets = 950

// targetName returns an ID of the length that targets have.
func targetName(n int) string { return fmt.Sprintf("i-%010x", n) }

// observeAll records an answer of each target.
func observeAll(table *advisory.Table, s advisory.Statement) {
	for n := range fleetTargets {
		table.Observe(advisory.Incarnation{Target: targetName(n), Born: 1796435215784}, s, ratelimit.Position{VMs: 350})
	}
}

// heap returns the bytes of live heap.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// encoded returns the bytes that a delta adds to a call whose types the receiver knows.
func encoded(b *testing.B, d advisory.Delta) int {
	var out bytes.Buffer
	e := gob.NewEncoder(&out)
	for range 2 {
		out.Reset()
		if err := e.Encode(d); err != nil {
			b.Fatal(err)
		}
	}
	return out.Len()
}

// BenchmarkStatements measures what the statements of all targets cost a VM: the time for the head
// of an answer, the state, and the bytes that tell another VM which targets leave.
func BenchmarkStatements(b *testing.B) {
	leaving := advisory.Statement{Leaving: true, SentAt: time.Second, HeardAt: 2 * time.Second}
	b.Run("answer", func(b *testing.B) {
		table := advisory.NewTable()
		observeAll(table, advisory.Statement{})
		i := advisory.Incarnation{Target: targetName(7), Born: 1796435215784}
		for n := 0; b.Loop(); n++ {
			table.Observe(i, advisory.Statement{SentAt: time.Duration(n), HeardAt: time.Duration(n + 1)}, ratelimit.Position{VMs: 350})
		}
	})
	b.Run("state", func(b *testing.B) {
		names := make([]string, fleetTargets)
		for n := range names {
			names[n] = targetName(n)
		}
		var table *advisory.Table
		var before, after uint64
		for b.Loop() {
			table = nil
			before = heap()
			table = advisory.NewTable()
			for _, name := range names {
				table.Observe(advisory.Incarnation{Target: name, Born: 1796435215784}, leaving, ratelimit.Position{VMs: 350})
			}
			after = heap()
		}
		runtime.KeepAlive(table)
		runtime.KeepAlive(names)
		b.ReportMetric(float64(after-before)/fleetTargets, "heap-B/target")
	})
	b.Run("told", func(b *testing.B) {
		one, all := advisory.NewTable(), advisory.NewTable()
		one.Observe(advisory.Incarnation{Target: targetName(7), Born: 1796435215784}, leaving, ratelimit.Position{VMs: 350})
		observeAll(all, leaving)
		var first, rest int
		for b.Loop() {
			first, rest = encoded(b, one.Since(3*time.Second, 0, true)), encoded(b, all.Since(3*time.Second, 0, true))
		}
		b.ReportMetric(float64(first), "B/one-target")
		b.ReportMetric(float64(rest), "B/all-targets")
	})
}
