package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/membership"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

const (
	suspectAfter     = membership.DefaultSuspectAfter
	unreachableAfter = membership.DefaultUnreachableAfter
	listLag          = membership.DefaultListLag
)

func vm(i int, incarnation model.Incarnation) model.VM {
	return model.VM{Name: fmt.Sprintf("vm-%d", i), Incarnation: incarnation, DataCentre: fmt.Sprintf("dc-%d", i%3)}
}

func holder(v model.VM) model.Holder { return model.Holder{VM: v.Name, Incarnation: v.Incarnation} }

func listing(vms ...model.VM) []model.ListedVM {
	var listed []model.ListedVM
	for _, v := range vms {
		listed = append(listed, model.ListedVM{Name: v.Name})
	}
	return listed
}

// beat is a heartbeat that acknowledges sequence of vm-0's first incarnation.
func beat(v model.VM, sequence uint64) rpcapi.Digest {
	return rpcapi.Digest{
		From: holder(v), DataCentre: v.DataCentre, Sequence: sequence, Ready: true,
		Heard: rpcapi.Acknowledgement{Incarnation: 1, Sequence: sequence},
	}
}

// pair is the table of vm-0 that knows vm-1.
func pair(t *testing.T) (*gomega.WithT, *membership.Table, model.VM) {
	self, peer := vm(0, 1), vm(1, 1)
	table := membership.New(0, self, membership.Settings{})
	table.SetRegistrations(0, []model.VM{self, peer})
	table.SetListing(listing(self, peer))
	return gomega.NewWithT(t), table, peer
}

// Guards against a silent VM that keeps its duties, and one that is declared
// gone while the platform still lists it.
func TestSilenceMakesSuspectThenUnreachableButNotGone(t *testing.T) {
	g, table, peer := pair(t)
	table.Advance(0)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Suspect), "never heard")
	g.Expect(table.Heartbeat(0, beat(peer, 1))).To(gomega.Succeed())
	g.Expect(table.Advance(1)).To(gomega.ConsistOf(
		membership.Transition{Holder: holder(peer), From: membership.Suspect, To: membership.Alive}))
	for _, step := range []struct {
		at    core.Time
		state membership.State
	}{
		{suspectAfter - 1, membership.Alive},
		{suspectAfter, membership.Suspect},
		{unreachableAfter, membership.Unreachable},
		{10 * listLag, membership.Unreachable},
	} {
		table.Advance(step.at)
		g.Expect(table.State(holder(peer))).To(gomega.Equal(step.state), step.at.String())
	}
}

// Guards against a one-way cut that leaves duties on a VM that can't hear us.
func TestOneWayCutCountsAsSilence(t *testing.T) {
	g, table, peer := pair(t)
	for at := core.Time(0); at < unreachableAfter; at += suspectAfter / 4 {
		g.Expect(table.Heartbeat(at, beat(peer, 1))).To(gomega.Succeed())
		table.Advance(at)
	}
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Suspect))
	g.Expect(table.Heartbeat(unreachableAfter, beat(peer, 1))).To(gomega.Succeed())
	table.Advance(unreachableAfter)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Unreachable))
	g.Expect(table.Heartbeat(unreachableAfter, beat(peer, 2))).To(gomega.Succeed())
	table.Advance(unreachableAfter)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Alive))
}

// Guards against an old incarnation that is heard after a newer one.
func TestNewerIncarnationReplacesTheOld(t *testing.T) {
	g, table, peer := pair(t)
	newer := vm(1, 2)
	g.Expect(table.Heartbeat(0, beat(peer, 1))).To(gomega.Succeed())
	g.Expect(table.Heartbeat(0, beat(newer, 1))).To(gomega.Succeed())
	table.Advance(0)
	g.Expect(errs.Is(table.Heartbeat(0, beat(peer, 2)), errs.StaleEpoch)).To(gomega.BeTrue())
	g.Expect(table.IsGone(holder(peer))).To(gomega.BeFalse(), "only heard, not registered")
	table.SetRegistrations(0, []model.VM{vm(0, 1), newer})
	table.SetRegistrations(0, []model.VM{vm(0, 1), peer}) // stale read
	table.Advance(0)
	g.Expect(table.IsGone(holder(peer))).To(gomega.BeTrue())
	g.Expect(table.State(holder(newer))).To(gomega.Equal(membership.Alive))
	table.SetRegistrations(0, []model.VM{vm(0, 2)})
	table.Advance(0)
	g.Expect(table.State(holder(vm(0, 1)))).To(gomega.Equal(membership.Gone), "own VM was replaced")
}

// Guards against a VM that is declared gone because the list lags, because it
// is missing for a moment, or never.
func TestGoneNeedsAbsenceAndSilence(t *testing.T) {
	g, table, peer := pair(t)
	g.Expect(table.Heartbeat(0, beat(peer, 1))).To(gomega.Succeed())
	table.SetListing(listing(vm(0, 1)))
	late := vm(2, 1) // registered and never listed
	table.SetRegistrations(0, []model.VM{vm(0, 1), peer, late})
	table.Advance(unreachableAfter - 1)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Suspect))
	table.Advance(unreachableAfter)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Gone))
	g.Expect(table.State(holder(late))).To(gomega.Equal(membership.Unreachable))
	table.Advance(listLag)
	g.Expect(table.State(holder(late))).To(gomega.Equal(membership.Gone))
	g.Expect(errs.Is(table.Heartbeat(listLag, beat(peer, 9)), errs.StaleEpoch)).To(gomega.BeTrue())
	g.Expect(table.Refused()).To(gomega.BeNumerically("==", 1))

	table.SetRegistrations(listLag, []model.VM{vm(0, 1)})
	table.Advance(listLag + 24*time.Hour)
	g.Expect(table.Entries()).To(gomega.HaveLen(1), "gone rows are forgotten")
}

// Guards against a former owner's digest that hides the new owner.
func TestGroupsShowTheGreatestEpoch(t *testing.T) {
	g, table, peer := pair(t)
	other := vm(2, 1)
	announce := func(v model.VM, epoch model.Epoch) {
		d := beat(v, 1)
		d.ConfigVersion = uint64(epoch)
		d.Groups = []rpcapi.GroupDigest{{Group: "g", Epoch: epoch}}
		g.Expect(table.Heartbeat(0, d)).To(gomega.Succeed())
	}
	announce(peer, 2)
	announce(other, 1)
	table.Advance(0)
	view, ok := table.Group("g")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(view.Owner).To(gomega.Equal(holder(peer)))
	version, from := table.NewestConfig()
	g.Expect(version).To(gomega.BeNumerically("==", 2))
	g.Expect(from).To(gomega.Equal([]model.Holder{holder(peer)}))
	table.Advance(unreachableAfter)
	_, ok = table.Group("g")
	g.Expect(ok).To(gomega.BeFalse())
}

// cluster is a table of vm-self over n VMs that all are ready.
func cluster(t *rapid.T, self, n int, draining map[int]bool) *membership.Table {
	table := membership.New(0, vm(self, 1), membership.Settings{})
	var vms []model.VM
	for i := range n {
		vms = append(vms, vm(i, 1))
	}
	table.SetRegistrations(0, vms)
	table.SetListing(listing(vms...))
	for i := range n {
		d := beat(vm(i, 1), 1)
		d.Draining = draining[i]
		if i == self {
			table.SetSelf(d)
		} else if err := table.Heartbeat(0, d); err != nil {
			t.Fatal(err)
		}
	}
	table.Advance(0)
	return table
}

// Guards against duties that move although their owner stays, against VMs that
// disagree, and against gone or draining VMs that own duties.
func TestDutiesMoveOnlyFromTheVMThatLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "VMs")
		leaver := rapid.IntRange(1, n-1).Draw(t, "leaver")
		self := rapid.IntRange(0, n-1).Filter(func(i int) bool { return i != leaver }).Draw(t, "self")
		before, after := cluster(t, 0, n, nil), cluster(t, self, n, nil)
		drained := cluster(t, self, n, map[int]bool{leaver: true})
		var rest []model.VM
		for i := range n {
			if i != leaver {
				rest = append(rest, vm(i, 1))
			}
		}
		for i := range 30 {
			duty, dataCentre := fmt.Sprintf("duty-%d", i), fmt.Sprintf("dc-%d", i%4)
			a, _ := before.Owner(duty, dataCentre)
			b, _ := after.Owner(duty, dataCentre)
			if a != b {
				t.Fatalf("%s: vm-0 says %s, vm-%d says %s", duty, a.Name, self, b.Name)
			}
			if ranked := before.Ranked(duty, n); len(ranked) != n {
				t.Fatalf("%s: %d of %d VMs are ranked", duty, len(ranked), n)
			}
		}
		after.SetListing(listing(rest...))
		for _, v := range rest {
			if v != vm(self, 1) {
				_ = after.Heartbeat(unreachableAfter, beat(v, 2))
			}
		}
		after.Advance(unreachableAfter)
		for i := range 30 {
			duty, dataCentre := fmt.Sprintf("duty-%d", i), fmt.Sprintf("dc-%d", i%4)
			a, _ := before.Owner(duty, dataCentre)
			b, found := after.Owner(duty, dataCentre)
			c, _ := drained.Owner(duty, dataCentre)
			switch {
			case !found || b == vm(leaver, 1) || c != b:
				t.Fatalf("%s: owner %q after the VM left, %q when it drains", duty, b.Name, c.Name)
			case a != b && a != vm(leaver, 1):
				t.Fatalf("%s moved from %s to %s", duty, a.Name, b.Name)
			}
		}
	})
}

// Guards against a preference for a data centre that is not applied.
func TestOwnerPrefersTheDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := cluster(t, 0, rapid.IntRange(3, 20).Draw(t, "VMs"), nil)
		duty := rapid.String().Draw(t, "duty")
		owner, _ := table.Owner(duty, "dc-1")
		if owner.DataCentre != "dc-1" || table.RankedIn(duty, "dc-1", 1)[0] != owner {
			t.Fatalf("owner of %q is %s in %s", duty, owner.Name, owner.DataCentre)
		}
		anywhere, _ := table.Owner(duty, "")
		if anywhere != table.Ranked(duty, 1)[0] {
			t.Fatalf("owner of %q is not the first of its ranking", duty)
		}
	})
}
