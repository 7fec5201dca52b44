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

// vm returns an incarnation of the i-th VM, which is in one of three data centres.
func vm(i int, incarnation model.Incarnation) model.VM {
	return model.VM{Name: fmt.Sprintf("vm-%d", i), Incarnation: incarnation, DataCentre: fmt.Sprintf("dc-%d", i%3)}
}

func holder(v model.VM) model.Holder { return model.Holder{VM: v.Name, Incarnation: v.Incarnation} }

// listing returns the platform's list with the given VMs.
func listing(vms ...model.VM) []model.ListedVM {
	var listed []model.ListedVM
	for _, v := range vms {
		listed = append(listed, model.ListedVM{Name: v.Name})
	}
	return listed
}

// heartbeat returns a heartbeat of v that has the given sequence and acknowledges the
// heartbeat with the same sequence of vm-0's first incarnation.
func heartbeat(v model.VM, sequence uint64) rpcapi.Digest {
	return rpcapi.Digest{
		From: holder(v), DataCentre: v.DataCentre, Sequence: sequence, Ready: true,
		Heard: rpcapi.Acknowledgement{Incarnation: 1, Sequence: sequence},
	}
}

// newTableWithPeer returns the table of vm-0, in which vm-1 is registered and listed,
// and vm-1.
func newTableWithPeer(t *testing.T) (*gomega.WithT, *membership.Table, model.VM) {
	self, peer := vm(0, 1), vm(1, 1)
	table := membership.New(0, self, membership.Settings{})
	table.SetRegistrations(0, []model.VM{self, peer})
	table.SetListing(listing(self, peer))
	return gomega.NewWithT(t), table, peer
}

// Guards against a VM that keeps its duties although it sends no heartbeats, and
// against declaring a VM gone while the platform still lists it.
func TestSilentVMBecomesSuspectThenUnreachableButNotGone(t *testing.T) {
	g, table, peer := newTableWithPeer(t)
	table.Advance(0)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Suspect), "no heartbeat was received")
	g.Expect(table.RecordHeartbeat(0, heartbeat(peer, 1))).To(gomega.Succeed())
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

// Guards against a network fault in one direction that leaves duties on a VM that
// does not receive the heartbeats of this VM.
func TestMissingAcknowledgementsCountAsSilence(t *testing.T) {
	g, table, peer := newTableWithPeer(t)
	for at := core.Time(0); at < unreachableAfter; at += suspectAfter / 4 {
		g.Expect(table.RecordHeartbeat(at, heartbeat(peer, 1))).To(gomega.Succeed())
		table.Advance(at)
	}
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Suspect))
	g.Expect(table.RecordHeartbeat(unreachableAfter, heartbeat(peer, 1))).To(gomega.Succeed())
	table.Advance(unreachableAfter)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Unreachable))
	g.Expect(table.RecordHeartbeat(unreachableAfter, heartbeat(peer, 2))).To(gomega.Succeed())
	table.Advance(unreachableAfter)
	g.Expect(table.State(holder(peer))).To(gomega.Equal(membership.Alive))
}

// Guards against accepting heartbeats of an incarnation after those of a newer one.
func TestNewerIncarnationSupersedesOlder(t *testing.T) {
	g, table, peer := newTableWithPeer(t)
	newer := vm(1, 2)
	g.Expect(table.RecordHeartbeat(0, heartbeat(peer, 1))).To(gomega.Succeed())
	g.Expect(table.RecordHeartbeat(0, heartbeat(newer, 1))).To(gomega.Succeed())
	table.Advance(0)
	g.Expect(errs.Is(table.RecordHeartbeat(0, heartbeat(peer, 2)), errs.StaleEpoch)).To(gomega.BeTrue())
	g.Expect(table.IsGone(holder(peer))).To(gomega.BeFalse(), "the newer incarnation sent a heartbeat but is not registered")
	table.SetRegistrations(0, []model.VM{vm(0, 1), newer})
	table.SetRegistrations(0, []model.VM{vm(0, 1), peer}) // stale read
	table.Advance(0)
	g.Expect(table.IsGone(holder(peer))).To(gomega.BeTrue())
	g.Expect(table.State(holder(newer))).To(gomega.Equal(membership.Alive))
	table.SetRegistrations(0, []model.VM{vm(0, 2)})
	table.Advance(0)
	g.Expect(table.State(holder(vm(0, 1)))).To(gomega.Equal(membership.Gone), "a newer incarnation of this VM is registered")
}

// Guards against declaring a VM gone because the list lags or because the VM was
// missing for less than the limits, and against never declaring it gone.
func TestGoneRequiresAbsenceFromListAndSilence(t *testing.T) {
	g, table, peer := newTableWithPeer(t)
	g.Expect(table.RecordHeartbeat(0, heartbeat(peer, 1))).To(gomega.Succeed())
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
	g.Expect(errs.Is(table.RecordHeartbeat(listLag, heartbeat(peer, 9)), errs.StaleEpoch)).To(gomega.BeTrue())
	g.Expect(table.RefusedHeartbeats()).To(gomega.BeNumerically("==", 1))

	table.SetRegistrations(listLag, []model.VM{vm(0, 1)})
	table.Advance(listLag + 24*time.Hour)
	g.Expect(table.Entries()).To(gomega.HaveLen(1), "rows of gone incarnations are removed")
}

// Guards against a digest of a former owner that replaces the new owner's.
func TestGroupKeepsGreatestEpoch(t *testing.T) {
	g, table, peer := newTableWithPeer(t)
	other := vm(2, 1)
	announce := func(v model.VM, epoch model.Epoch) {
		d := heartbeat(v, 1)
		d.ConfigVersion = uint64(epoch)
		d.Groups = []rpcapi.GroupDigest{{Group: "g", Epoch: epoch}}
		g.Expect(table.RecordHeartbeat(0, d)).To(gomega.Succeed())
	}
	announce(peer, 2)
	announce(other, 1)
	table.Advance(0)
	announcement, ok := table.Group("g")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(announcement.Owner).To(gomega.Equal(holder(peer)))
	version, holders := table.NewestConfig()
	g.Expect(version).To(gomega.BeNumerically("==", 2))
	g.Expect(holders).To(gomega.Equal([]model.Holder{holder(peer)}))
	table.Advance(unreachableAfter)
	_, ok = table.Group("g")
	g.Expect(ok).To(gomega.BeFalse())
}

// newClusterTable returns the table of vm-self with n registered and listed VMs. All
// are ready, and vm-i is draining if draining[i] is set.
func newClusterTable(t *rapid.T, self, n int, draining map[int]bool) *membership.Table {
	table := membership.New(0, vm(self, 1), membership.Settings{})
	var vms []model.VM
	for i := range n {
		vms = append(vms, vm(i, 1))
	}
	table.SetRegistrations(0, vms)
	table.SetListing(listing(vms...))
	for i := range n {
		d := heartbeat(vm(i, 1), 1)
		d.Draining = draining[i]
		if i == self {
			table.SetSelf(d)
		} else if err := table.RecordHeartbeat(0, d); err != nil {
			t.Fatal(err)
		}
	}
	table.Advance(0)
	return table
}

// Guards against duties that move although their owner stays, against VMs that
// assign a duty to different owners, and against gone or draining VMs that own duties.
func TestOnlyDutiesOfLeavingVMMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "VMs")
		leavingVM := rapid.IntRange(1, n-1).Draw(t, "leavingVM")
		self := rapid.IntRange(0, n-1).Filter(func(i int) bool { return i != leavingVM }).Draw(t, "self")
		before, after := newClusterTable(t, 0, n, nil), newClusterTable(t, self, n, nil)
		drained := newClusterTable(t, self, n, map[int]bool{leavingVM: true})
		var remaining []model.VM
		for i := range n {
			if i != leavingVM {
				remaining = append(remaining, vm(i, 1))
			}
		}
		for i := range 30 {
			duty, dataCentre := fmt.Sprintf("duty-%d", i), fmt.Sprintf("dc-%d", i%4)
			ownerBefore, _ := before.Owner(duty, dataCentre)
			ownerAfter, _ := after.Owner(duty, dataCentre)
			if ownerBefore != ownerAfter {
				t.Fatalf("%s: owner in the table of vm-0 is %s, in the table of vm-%d it is %s", duty, ownerBefore.Name, self, ownerAfter.Name)
			}
			if ranked := before.Ranked(duty, n); len(ranked) != n {
				t.Fatalf("%s: Ranked returned %d of %d VMs", duty, len(ranked), n)
			}
		}
		after.SetListing(listing(remaining...))
		for _, v := range remaining {
			if v != vm(self, 1) {
				_ = after.RecordHeartbeat(unreachableAfter, heartbeat(v, 2))
			}
		}
		after.Advance(unreachableAfter)
		for i := range 30 {
			duty, dataCentre := fmt.Sprintf("duty-%d", i), fmt.Sprintf("dc-%d", i%4)
			ownerBefore, _ := before.Owner(duty, dataCentre)
			ownerAfter, found := after.Owner(duty, dataCentre)
			ownerDrained, _ := drained.Owner(duty, dataCentre)
			switch {
			case !found || ownerAfter == vm(leavingVM, 1) || ownerDrained != ownerAfter:
				t.Fatalf("%s: owner is %q after the VM left and %q while it drains", duty, ownerAfter.Name, ownerDrained.Name)
			case ownerBefore != ownerAfter && ownerBefore != vm(leavingVM, 1):
				t.Fatalf("%s moved from %s to %s", duty, ownerBefore.Name, ownerAfter.Name)
			}
		}
	})
}

// Guards against ignoring the preferred data centre of a duty.
func TestOwnerPrefersTheDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newClusterTable(t, 0, rapid.IntRange(3, 20).Draw(t, "VMs"), nil)
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
