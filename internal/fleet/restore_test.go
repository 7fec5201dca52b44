package fleet_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/objectstore"
)

// at returns a position in the history of the store.
func at(era, revision int64) objectstore.Position {
	p, err := objectstore.NewPosition(era, revision)
	if err != nil {
		panic(err)
	}
	return p
}

// leaseTime is the time after which the entry of a target that has ended is removed.
const leaseTime = 3600 * time.Millisecond

// Guards against targets that are kept, or not taken in, because the revisions of a restored
// store are lower than those of the lost history.
func TestTableFollowsARestoredStore(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	r := fleet.NewRegistry()
	r.Replace(now, []fleet.StoredTarget{stored(target("a", 1, 1, false), at(1, 80)), stored(target("b", 1, 1, false), at(1, 81))}, at(1, 90))
	r.Replace(now, []fleet.StoredTarget{stored(target("a", 1, 1, false), at(2, 40))}, at(2, 60))
	g.Expect(r.AsOf()).To(gomega.Equal(at(2, 60)))
	g.Expect(ids(r.Targets(now))).To(gomega.Equal([]string{"a", "b"}), "b has time to register again")
	now = now.Add(3 * time.Second)
	g.Expect(ids(r.Targets(now))).To(gomega.Equal([]string{"a"}))
	r.Put(now, stored(target("b", 1, 2, false), at(2, 61)))
	r.Put(now, stored(target("c", 1, 1, false), at(2, 62)))
	r.Put(now, stored(target("a", 1, 2, true), at(2, 63)))
	g.Expect(ids(r.Targets(now))).To(gomega.Equal([]string{"a", "b", "c"}))
	g.Expect(r.Targets(now)[0].Leaving).To(gomega.BeTrue())
	r.Remove(now, "c", at(2, 64))
	g.Expect(ids(r.Targets(now))).To(gomega.Equal([]string{"a", "b"}))
}

// Guards against a target that has left, or whose entry was removed, and that is used again
// because a restored store has its entry as it was before.
func TestTargetThatWasGoneStaysGoneAfterARestore(t *testing.T) {
	for name, c := range map[string]struct {
		leaving  bool
		restored fleet.Target
		used     bool // at once
		later    bool // while the entry stays
	}{
		"left":                         {true, target("a", 1, 3, false), false, false},
		"left, listed as leaving":      {true, target("a", 1, 5, true), false, false},
		"removed":                      {false, target("a", 1, 3, false), false, true},
		"removed, the same entry":      {false, target("a", 1, 5, false), false, true},
		"removed, a newer entry":       {false, target("a", 1, 6, false), true, true},
		"left, started again":          {true, target("a", 2, 1, false), true, true},
		"left, an earlier start of it": {true, target("a", 0, 9, false), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Unix(100, 0)
			r, other := fleet.NewRegistry(), fleet.NewRegistry()
			r.Replace(now, []fleet.StoredTarget{stored(target("a", 1, 5, c.leaving), at(1, 80))}, at(1, 80))
			r.Remove(now, "a", at(1, 85))
			r.AdvanceTo(at(1, 85))
			other.Apply(now, r.ChangesSince(now, 0))
			restored := []fleet.StoredTarget{stored(c.restored, at(2, 40))}
			r.Replace(now, restored, at(2, 60))
			g.Expect(len(r.Targets(now)) == 1).To(gomega.Equal(c.used))
			now = now.Add(leaseTime)
			g.Expect(len(r.Targets(now)) == 1).To(gomega.Equal(c.used))
			now = now.Add(leaseTime)
			g.Expect(len(r.Targets(now)) == 1).To(gomega.Equal(c.later))
			other.Apply(now, r.ChangesSince(now, other.AsOf()))
			g.Expect(len(other.Targets(now)) == 1).To(gomega.Equal(c.later), "at another VM")
			if !c.later {
				return
			}
			r.Remove(now, "a", at(2, 70))
			g.Expect(r.Targets(now)).To(gomega.BeEmpty())
		})
	}
}

// Guards against a VM that started after a restore and makes the others use a target again that
// has left in the lost history, and against one that is not told that it leaves.
func TestNewVMDoesNotBringBackWhatWasLost(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	old, fresh := fleet.NewRegistry(), fleet.NewRegistry()
	old.Replace(now, []fleet.StoredTarget{
		stored(target("gone", 1, 5, true), at(1, 80)), stored(target("leaving", 1, 5, true), at(1, 81)),
	}, at(1, 81))
	old.Remove(now, "gone", at(1, 85))
	copied := []fleet.StoredTarget{stored(target("gone", 1, 3, false), at(2, 40)), stored(target("leaving", 1, 3, false), at(2, 41))}
	fresh.Replace(now, copied, at(2, 60))
	old.Apply(now, fresh.ChangesSince(now, old.AsOf()))
	g.Expect(ids(old.Targets(now))).To(gomega.Equal([]string{"leaving"}))
	g.Expect(old.Targets(now)[0].Leaving).To(gomega.BeTrue())
	old.Replace(now, copied, at(2, 61))
	fresh.Apply(now, old.ChangesSince(now, fresh.AsOf()))
	for _, t := range fresh.Targets(now) {
		if t.ID == "leaving" {
			g.Expect(t.Leaving).To(gomega.BeTrue())
		}
	}
}

// Guards against VMs whose tables differ for good after restores of the store, against a target
// that leaves and is used again, and against one that is listed and never used.
func TestTablesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		type state struct {
			targets  map[string]fleet.StoredTarget
			revision int64
		}
		era, born := int64(1), int64(0)
		store := state{targets: map[string]fleet.StoredTarget{}, revision: 1}
		copies := []state{store}
		latest := map[string]fleet.Target{} // as each target last described itself
		vms := make([]*fleet.Registry, 3)
		left := make([]map[string]int64, 3) // incarnations that each VM knows to leave, by target
		for i := range vms {
			vms[i], left[i] = fleet.NewRegistry(), map[string]int64{}
		}
		write := func(id string) {
			next := state{targets: map[string]fleet.StoredTarget{}, revision: store.revision + 1}
			for k, v := range store.targets {
				next.targets[k] = v
			}
			if d, found := latest[id]; found {
				next.targets[id] = stored(d, at(era, next.revision))
			} else {
				delete(next.targets, id)
			}
			store = next
			copies = append(copies, store)
		}
		// inEra returns the objects with positions in the current era.
		inEra := func() []fleet.StoredTarget {
			var all []fleet.StoredTarget
			for _, d := range store.targets {
				all = append(all, stored(d.Target, at(era, d.Revision.Revision())))
			}
			return all
		}
		list := func(r *fleet.Registry) { r.Replace(now, inEra(), at(era, store.revision)) }
		check := func() {
			for i, r := range vms {
				for _, got := range r.Targets(now) {
					if born, found := left[i][got.ID]; found && got.Born == born && !got.Leaving {
						t.Fatalf("vm%d uses %s, which leaves, again", i, got.ID)
					}
					if got.Leaving {
						left[i][got.ID] = got.Born
					}
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "time")) * time.Millisecond)
			r := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			other := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "other")]
			id := rapid.SampledFrom([]string{"t0", "t1", "t2", "t3"}).Draw(t, "target")
			switch d, alive := latest[id]; rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1: // starts, or describes itself anew
				if !alive {
					born++
					d = target(id, born, 0, false)
				}
				d.Sequence++
				d.Leaving = d.Leaving || rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				latest[id] = d
				write(id)
			case 2: // ends
				delete(latest, id)
				write(id)
			case 3:
				era++
				store = copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]
				copies = []state{store}
			case 4, 5:
				list(r)
			case 6:
				r.Apply(now, other.ChangesSince(now, r.AsOf()))
			case 7: // an answer to an earlier question
				r.Apply(now, other.ChangesSince(now, 0))
			}
			check()
		}
		// Targets that live write their entries again, and those of others lapse.
		for _, id := range []string{"t0", "t1", "t2", "t3"} {
			if d, alive := latest[id]; alive && rapid.Bool().Draw(t, "newer sequence") {
				d.Sequence++
				latest[id] = d
			}
			write(id)
		}
		for range 4 {
			now = now.Add(2 * leaseTime)
			for i, r := range vms {
				if i == 0 || rapid.Bool().Draw(t, "lists") {
					list(r)
				} else {
					r.Apply(now, vms[0].ChangesSince(now, r.AsOf()))
				}
			}
			check()
		}
		for i, r := range vms {
			got := map[string]fleet.Target{}
			for _, g := range r.Targets(now) {
				got[g.ID] = g
			}
			for id, d := range latest {
				if _, used := got[id]; !used && !d.Leaving && left[i][id] != d.Born {
					t.Fatalf("vm%d never uses %s, which is listed", i, id)
				}
			}
			for id := range got {
				if _, alive := latest[id]; !alive {
					t.Fatalf("vm%d uses %s, which is gone", i, id)
				}
			}
		}
	})
}
