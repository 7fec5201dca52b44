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

var benchVMs = []int{7, 70, 350}

const benchCentres = 5

func benchVM(n int) model.VM {
	return model.VM{
		Name: fmt.Sprintf("entry-vm-%03d", n), Incarnation: 1_700_000_000_000_000_000,
		DataCentre: fmt.Sprintf("dc-%d", n%benchCentres), Region: "region-1",
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
		if err := t.Heartbeat(now, benchDigest(benchVM(n), 1)); err != nil {
			b.Fatal(err)
		}
	}
	t.Advance(now)
	if got := len(t.Entries()); got != vms {
		b.Fatal("the table has ", got, " VMs")
	}
	return t, now
}

func forVMs(b *testing.B, run func(b *testing.B, vms int)) {
	for _, vms := range benchVMs {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			run(b, vms)
		})
	}
}

// BenchmarkAdvance measures the computation of all states, done at each beat.
func BenchmarkAdvance(b *testing.B) {
	forVMs(b, func(b *testing.B, vms int) {
		t, now := benchTable(b, vms)
		for b.Loop() {
			t.Advance(now)
		}
	})
}

// BenchmarkHeartbeat measures the entry of one received digest with one group.
func BenchmarkHeartbeat(b *testing.B) {
	forVMs(b, func(b *testing.B, vms int) {
		t, now := benchTable(b, vms)
		digest := benchDigest(benchVM(1), 1)
		for b.Loop() {
			digest.Sequence++
			digest.Heard.Sequence++
			if err := t.Heartbeat(now, digest); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkOwner measures the choice of one duty's owner.
func BenchmarkOwner(b *testing.B) {
	forVMs(b, func(b *testing.B, vms int) {
		t, _ := benchTable(b, vms)
		for b.Loop() {
			if _, found := t.Owner("group/dc-1/base-7b/0", "dc-1"); !found {
				b.Fatal("no owner")
			}
		}
	})
}

// BenchmarkEntries measures the copy of the table that the check of one group's
// owner makes.
func BenchmarkEntries(b *testing.B) {
	forVMs(b, func(b *testing.B, vms int) {
		t, _ := benchTable(b, vms)
		for b.Loop() {
			_ = t.Entries()
		}
	})
}

// BenchmarkMemory reports the heap of a table per VM.
func BenchmarkMemory(b *testing.B) {
	forVMs(b, func(b *testing.B, vms int) {
		for b.Loop() {
			before := heap()
			t, _ := benchTable(b, vms)
			b.ReportMetric(float64(heap()-before), "heap_B")
			runtime.KeepAlive(t)
		}
	})
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
