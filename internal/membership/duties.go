package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/model"
)

// tier orders VMs by how well they suit a duty. Only the best tier that is not
// empty is used, so that duties leave VMs that drain but always have an owner
// while any VM is reachable.
type tier int

const (
	tierReady tier = iota
	tierNotReady
	tierDraining
	tierCount
)

// Reachable reports whether calls to the VM can be expected to arrive.
func (s State) Reachable() bool { return s == Alive || s == Suspect }

func tierOf(entry Entry) tier {
	switch {
	case entry.Digest.Draining || entry.Leaving:
		return tierDraining
	case !entry.Digest.Ready:
		return tierNotReady
	}
	return tierReady
}

// bestTier returns the VMs that are eligible for duties: registered, reachable
// and of the best tier.
func (t *Table) bestTier() []model.VM {
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

// Owner returns the VM that has a duty by rendezvous hashing, among the VMs of a
// data centre if any is eligible there, else among all. An empty data centre
// means no preference. It reports false when no VM is eligible. Owner and Ranked
// use the states and digests of the last Advance.
func (t *Table) Owner(duty, dataCentre string) (model.VM, bool) {
	owner, found := best(duty, t.eligible, func(vm model.VM) bool { return vm.DataCentre == dataCentre })
	if !found {
		owner, found = best(duty, t.eligible, func(model.VM) bool { return true })
	}
	return owner, found
}

// best returns the VM with the greatest weight among those that are allowed.
func best(duty string, vms []model.VM, allowed func(model.VM) bool) (model.VM, bool) {
	var owner candidate
	found := false
	for _, vm := range vms {
		if c := newCandidate(duty, vm); allowed(vm) && (!found || c.before(owner)) {
			owner, found = c, true
		}
	}
	return owner.vm, found
}

// Ranked returns up to n eligible VMs for a duty, the owner first.
func (t *Table) Ranked(duty string, n int) []model.VM { return ranked(duty, n, t.eligible) }

// RankedIn returns up to n eligible VMs of one data centre for a duty.
func (t *Table) RankedIn(duty, dataCentre string, n int) []model.VM {
	var local []model.VM
	for _, vm := range t.eligible {
		if vm.DataCentre == dataCentre {
			local = append(local, vm)
		}
	}
	return ranked(duty, n, local)
}

func ranked(duty string, n int, vms []model.VM) []model.VM {
	candidates := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		candidates = append(candidates, newCandidate(duty, vm))
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].before(candidates[j]) })
	result := make([]model.VM, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		result = append(result, c.vm)
	}
	return result
}

// candidate is a VM with its weight for a duty. The weight depends on the name
// and not on the incarnation, so that a VM that restarts has its duties again.
type candidate struct {
	vm     model.VM
	weight uint64
}

func newCandidate(duty string, vm model.VM) candidate {
	return candidate{vm: vm, weight: xxhash.Sum64String(duty + "\x00" + vm.Name)}
}

func (c candidate) before(other candidate) bool {
	if c.weight != other.weight {
		return c.weight > other.weight
	}
	return c.vm.Name < other.vm.Name
}
