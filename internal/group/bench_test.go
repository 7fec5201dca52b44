package group_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"cicadaslip/internal/core"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
)

// BenchmarkListing measures decoding one response of the platform's list and
// dividing its targets into groups. list_B is the size of the response in bytes.
func BenchmarkListing(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{7, 9}, {7, 18}, {70, 190}, {350, 950}} {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			data, err := json.Marshal(benchListing(size.vms, size.targets))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var listing model.Listing
				if err := json.Unmarshal(data, &listing); err != nil {
					b.Fatal(err)
				}
				_ = group.FromListing(listing.Targets, 5)
			}
			b.ReportMetric(float64(len(data)), "list_B")
		})
	}
}

// benchListing returns a listing with the given numbers of VMs and targets.
func benchListing(vms, targets int) model.Listing {
	var listing model.Listing
	for n := range vms {
		listing.VMs = append(listing.VMs, model.ListedVM{Name: fmt.Sprintf("entry-vm-%03d", n)})
	}
	for n := range targets {
		listing.Targets = append(listing.Targets, model.Target{
			Name: fmt.Sprintf("runner-%04d", n), Class: model.ClassRunner, Address: "10.0.100.100:8000", DataCentre: fmt.Sprintf("dc-%d", n%5),
			Region: "region-1", BaseModel: fmt.Sprintf("base-%d", n%3), Slots: 16, Concurrency: 32, ChecksFencing: true,
		})
	}
	return listing
}

// BenchmarkRecord measures encoding a group's record with unresolved intents.
// record_B is the size of the record in bytes.
func BenchmarkRecord(b *testing.B) {
	for _, intents := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("intents=%d", intents), func(b *testing.B) {
			record := group.Record{Group: "dc-1/base-7b/0", Owner: model.Holder{VM: "entry-vm-001", Incarnation: 1_700_000_000_000_000_000}, Epoch: 30}
			for n := range intents {
				record.Intents = append(record.Intents, core.Intent{
					ID: uint64(n), Kind: core.IntentLoad, Target: fmt.Sprintf("runner-%04d", n), Epoch: 30,
					Adapter: model.AdapterVersion{Organisation: "organisation-1", Adapter: fmt.Sprintf("shop-%06d", n), Version: "v1"},
				})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := json.Marshal(record)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "record_B")
		})
	}
}

// BenchmarkRegistration measures decoding all registrations, which each VM does at
// least every 20 s. values_B is the size of all registrations in bytes.
func BenchmarkRegistration(b *testing.B) {
	for _, count := range []int{7, 70, 350, 4_000} {
		b.Run(fmt.Sprintf("registrations=%d", count), func(b *testing.B) {
			value, err := json.Marshal(model.VM{
				Name: "entry-vm-001", Incarnation: 1_700_000_000_000_000_000, DataCentre: "dc-1", Region: "region-1",
				CallerAddr: "10.0.100.100:8080", PeerRPCAddr: "10.0.100.100:8081", PeerUDPAddr: "10.0.100.100:8082",
			})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				for range count {
					var vm model.VM
					if err := json.Unmarshal(value, &vm); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(count*len(value)), "values_B")
		})
	}
}
