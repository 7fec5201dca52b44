package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/model"
)

// tier orders VMs by their suitability for duties. Only the VMs of the best non-empty
// tier are eligible. Duties therefore move away from draining VMs, but always have an
// owner while any registered VM is reachable.
type tier int

const (
	tierReady tier = iota
	tierNotReady
	tierDraining
	tierCount // number of tiers
)

// Reachable reports whether calls to a VM in this state are expected to arrive.
func (s State) Reachable() bool { return s == Alive || s == Suspect }

// tierOf returns the tier of a VM from its last heartbeat and the platform's list.
func tierOf(entry Entry) tier {
	switch {
	case entry.Digest.Draining || entry.Leaving:
		return tierDraining
	case !entry.Digest.Ready:
		return tierNotReady
	}
	return tierReady
}

// findEligible returns the VMs that are eligible for duties: the registered and
// reachable VMs of the best tier.
func (t *Table) findEligible() []model.VM {
	var tiers [tierCount][]model.VM
	for _, r := range t.rows {
		if r.Registered && r.State.Reachable() {
			tiers[tierOf(r.Entry)] = append(tiers[tierOf(r.Entry)], r.VM)
		}
	}
	for _, vms := range tiers {
		if len(vms) > 0 {
			return vms
		}
	}
	return nil
}

// Owner returns the VM that owns a duty, chosen by rendezvous hashing among the
// eligible VMs of the data centre or, if it has none, among all eligible VMs. An empty
// data centre means no preference. Owner reports false if no VM is eligible. Owner,
// Ranked and RankedIn use the states and digests of the last Advance.
func (t *Table) Owner(duty, dataCentre string) (model.VM, bool) {
	owner, found := bestVM(duty, t.eligible, func(vm model.VM) bool { return vm.DataCentre == dataCentre })
	if !found {
		owner, found = bestVM(duty, t.eligible, func(model.VM) bool { return true })
	}
	return owner, found
}

// bestVM returns the VM with the greatest weight for a duty among those that allowed
// accepts. It reports false if there is none.
func bestVM(duty string, vms []model.VM, allowed func(model.VM) bool) (model.VM, bool) {
	var owner candidate
	found := false
	for _, vm := range vms {
		if c := newCandidate(duty, vm); allowed(vm) && (!found || c.ranksBefore(owner)) {
			owner, found = c, true
		}
	}
	return owner.vm, found
}

// Ranked returns up to n eligible VMs by descending weight for a duty. The first is
// the owner if the duty prefers no data centre.
func (t *Table) Ranked(duty string, n int) []model.VM { return ranked(duty, n, t.eligible) }

// RankedIn returns up to n eligible VMs of one data centre by descending weight for a
// duty.
func (t *Table) RankedIn(duty, dataCentre string, n int) []model.VM {
	var local []model.VM
	for _, vm := range t.eligible {
		if vm.DataCentre == dataCentre {
			local = append(local, vm)
		}
	}
	return ranked(duty, n, local)
}

// ranked returns up to n of the VMs by descending weight for a duty.
func ranked(duty string, n int, vms []model.VM) []model.VM {
	candidates := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		candidates = append(candidates, newCandidate(duty, vm))
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ranksBefore(candidates[j]) })
	result := make([]model.VM, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		result = append(result, c.vm)
	}
	return result
}

// candidate is a VM with its weight for a duty. The weight depends on the name of the
// VM and not on its incarnation, so that a restarted VM gets its duties back.
type candidate struct {
	vm     model.VM
	weight uint64
}

func newCandidate(duty string, vm model.VM) candidate {
	return candidate{vm: vm, weight: xxhash.Sum64String(duty + "\x00" + vm.Name)}
}

// ranksBefore orders candidates by descending weight, then by name.
func (c candidate) ranksBefore(other candidate) bool {
	if c.weight != other.weight {
		return c.weight > other.weight
	}
	return c.vm.Name < other.vm.Name
}
