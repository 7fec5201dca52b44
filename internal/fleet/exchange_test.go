package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/fleet"
)

// Guards against a VM that knows less and makes another one use a target again that
// is gone (bench day fresh-8cd0 of the first site: a new owner that had been cut off).
func TestOlderKnowledgeReplacesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	list := []fleet.Described{described(target("a", 1, 1, false), 1), described(target("b", 1, 1, false), 2)}
	behind, ahead := fleet.NewRegistry(), fleet.NewRegistry()
	behind.Replace(now, list, 5)
	ahead.Replace(now, list, 5)
	ahead.Remove(now, "a", 8)
	ahead.Reached(8)
	ahead.Apply(now, behind.Since(now, ahead.AsOf()))
	ahead.Apply(now, behind.Since(now, 0))
	g.Expect(ids(ahead.Targets(now))).To(gomega.Equal([]string{"b"}))
	behind.Apply(now, ahead.Since(now, behind.AsOf()))
	g.Expect(ids(behind.Targets(now))).To(gomega.Equal([]string{"b"}))
	g.Expect(behind.AsOf()).To(gomega.Equal(int64(8)))
}

// Guards against a VM that lost the store once and keeps targets for ever that others
// see go.
func TestTargetsGoneForOthersAreGoneAfterAnOwnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	list := []fleet.Described{described(target("a", 1, 1, false), 1)}
	lost, other := fleet.NewRegistry(), fleet.NewRegistry()
	lost.Replace(now, list, 5)
	other.Replace(now, list, 5)
	lost.SetOutage(now, true)
	other.Remove(now, "a", 7)
	other.Reached(7)
	lost.Apply(now, other.Since(now, lost.AsOf()))
	g.Expect(lost.Targets(now)).To(gomega.BeEmpty())
}

// Guards against targets that lapsed in an outage of the store and are dropped at
// once by VMs that hear of it from others.
func TestOthersKeepLapsedTargetsForTheSameTime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	list := []fleet.Described{described(target("a", 1, 1, false), 1)}
	reader, other := fleet.NewRegistry(), fleet.NewRegistry()
	reader.Replace(now, list, 5)
	other.Replace(now, list, 5)
	reader.SetOutage(now, true)
	now = now.Add(10 * time.Second)
	reader.SetOutage(now, false)
	reader.Replace(now, nil, 9)
	now = now.Add(time.Second)
	other.Apply(now, reader.Since(now, other.AsOf()))
	g.Expect(ids(other.Targets(now))).To(gomega.Equal([]string{"a"}))
	now = now.Add(2 * time.Second)
	g.Expect(other.Targets(now)).To(gomega.BeEmpty())
}

// Guards against VMs that do not agree after they have told each other what they
// read, in any order and with lost messages.
func TestVMsAgreeHoweverTheyLearn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		store := map[string]fleet.Described{}
		removed := map[string]int64{}
		revision := int64(0)
		vms := make([]*fleet.Registry, 4)
		for i := range vms {
			vms[i] = fleet.NewRegistry()
		}
		write := func(t *rapid.T) {
			revision++
			id := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
			d, present := store[id]
			switch {
			case present && rapid.Bool().Draw(t, "remove"):
				delete(store, id)
				removed[id] = revision
			case present:
				d.Target.Sequence++
				d.Target.Leaving = d.Target.Leaving || rapid.Bool().Draw(t, "leaving")
				d.Revision = revision
				store[id] = d
			default:
				store[id] = described(target(id, revision, 1, false), revision)
				delete(removed, id)
			}
		}
		read := func(r *fleet.Registry, whole bool) {
			if whole {
				r.Replace(now, list(store), revision)
				return
			}
			since := r.AsOf()
			for _, d := range list(store) {
				if d.Revision > since {
					r.Put(d)
				}
			}
			for id, at := range removed {
				if at > since {
					r.Remove(now, id, revision)
				}
			}
			r.Reached(revision)
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			r := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			other := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "other")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				write(t)
			case 2:
				read(r, r.AsOf() == 0 || rapid.Bool().Draw(t, "whole"))
			case 3:
				r.Apply(now, other.Since(now, r.AsOf()))
			case 4: // a place that was told long ago
				r.Apply(now, other.Since(now, rapid.Int64Range(0, r.AsOf()).Draw(t, "place")))
			}
		}
		read(vms[0], true)
		for _, r := range vms[1:] {
			r.Apply(now, vms[0].Since(now, r.AsOf()))
			if !slices.Equal(ids(r.Targets(now)), ids(vms[0].Targets(now))) {
				t.Fatalf("%v after the last news, %v in the store", ids(r.Targets(now)), ids(vms[0].Targets(now)))
			}
			for i, known := range r.Targets(now) {
				if known.Leaving != vms[0].Targets(now)[i].Leaving || known.Born != vms[0].Targets(now)[i].Born {
					t.Fatalf("%+v after the last news", known)
				}
			}
		}
	})
}

func list(store map[string]fleet.Described) []fleet.Described {
	all := []fleet.Described{}
	for _, d := range store {
		all = append(all, d)
	}
	return all
}
