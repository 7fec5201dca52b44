package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadaslip/internal/membership"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// benchVMs holds the numbers of VMs for which the benchmarks run.
var benchVMs = []int{7, 70, 350}

const benchDataCentres = 5

func benchVM(n int) model.VM {
	return model.VM{
		Name: fmt.Sprintf("entry-vm-%03d", n), Incarnation: 1_700_000_000_000_000_000,
		DataCentre: fmt.Sprintf("dc-%d", n%benchDataCentres), Region: "region-1",
		CallerAddr: "10.0.0.1:8080", PeerRPCAddr: "10.0.0.1:8081", PeerUDPAddr: "10.0.0.1:8082",
	}
}

func benchDigest(vm model.VM, sequence uint64) rpcapi.Digest {
	return rpcapi.Digest{
		From: model.Holder{VM: vm.Name, Incarnation: vm.Incarnation}, To: "entry-vm-000", DataCentre: vm.DataCentre,
		Heard:    rpcapi.Acknowledgement{Incarnation: benchVM(0).Incarnation, Sequence: sequence},
		Sequence: sequence, Ready: true, ConfigVersion: 1,
		Groups: []rpcapi.GroupDigest{{Group: "dc-1/base-7b/" + vm.Name, Epoch: 1, ResidentVersion: 1}},
	}
}

// benchTable returns a table in which all VMs are registered, listed and alive.
func benchTable(b *testing.B, vms int) (*membership.Table, time.Duration) {
	now := time.Second
	t := membership.New(now, benchVM(0), membership.Settings{})
	var registered []model.VM
	var listed []model.ListedVM
	for n := range vms {
		registered = append(registered, benchVM(n))
		listed = append(listed, model.ListedVM{Name: benchVM(n).Name})
	}
	t.SetRegistrations(now, registered)
	t.SetListing(listed)
	for n := 1; n < vms; n++ {
		if err := t.RecordHeartbeat(now, benchDigest(benchVM(n), 1)); err != nil {
			b.Fatal(err)
		}
	}
	t.Advance(now)
	if got := len(t.Entries()); got != vms {
		b.Fatal("the table has ", got, " VMs")
	}
	return t, now
}

// runPerVMCount runs a benchmark for each number of VMs in benchVMs.
func runPerVMCount(b *testing.B, run func(b *testing.B, vms int)) {
	for _, vms := range benchVMs {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			run(b, vms)
		})
	}
}

// BenchmarkAdvance measures computing all states, which happens at each heartbeat
// interval.
func BenchmarkAdvance(b *testing.B) {
	runPerVMCount(b, func(b *testing.B, vms int) {
		t, now := benchTable(b, vms)
		for b.Loop() {
			t.Advance(now)
		}
	})
}

// BenchmarkHeartbeat measures recording one received digest with one group.
func BenchmarkHeartbeat(b *testing.B) {
	runPerVMCount(b, func(b *testing.B, vms int) {
		t, now := benchTable(b, vms)
		digest := benchDigest(benchVM(1), 1)
		for b.Loop() {
			digest.Sequence++
			digest.Heard.Sequence++
			if err := t.RecordHeartbeat(now, digest); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkOwner measures choosing the owner of one duty.
func BenchmarkOwner(b *testing.B) {
	runPerVMCount(b, func(b *testing.B, vms int) {
		t, _ := benchTable(b, vms)
		for b.Loop() {
			if _, found := t.Owner("group/dc-1/base-7b/0", "dc-1"); !found {
				b.Fatal("no owner")
			}
		}
	})
}

// BenchmarkEntries measures copying the table, as the check of one group's owner
// does.
func BenchmarkEntries(b *testing.B) {
	runPerVMCount(b, func(b *testing.B, vms int) {
		t, _ := benchTable(b, vms)
		for b.Loop() {
			_ = t.Entries()
		}
	})
}

// BenchmarkMemory measures the heap of one table. heap_B is its size in bytes.
func BenchmarkMemory(b *testing.B) {
	runPerVMCount(b, func(b *testing.B, vms int) {
		for b.Loop() {
			before := heapBytes()
			t, _ := benchTable(b, vms)
			b.ReportMetric(float64(heapBytes()-before), "heap_B")
			runtime.KeepAlive(t)
		}
	})
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
