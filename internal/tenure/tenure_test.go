package tenure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/tenure"
)

// vm is one candidate with its links.
type vm struct {
	name    string
	machine *tenure.Machine
	version int64 // of the record that it knows
	frozen  bool
	blind   bool // cut off from the store
	cut     bool // cut off from the other VMs
}

// world is a store with one group and VMs that follow it.
type world struct {
	now     time.Duration
	record  tenure.Record
	version int64
	vms     []*vm
	owners  []ownership
}

type ownership struct {
	vm    string
	epoch int64
	at    time.Duration
}

func newWorld(n int) *world {
	w := &world{now: time.Second}
	for i := range n {
		name := fmt.Sprintf("vm%d", i)
		w.vms = append(w.vms, &vm{name: name, machine: tenure.New(tenure.Self{
			VM: name, Incarnation: 1, Jitter: float64(i) / float64(n),
		})})
	}
	return w
}

const step = 25 * time.Millisecond

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, v := range w.vms {
			if !v.frozen {
				w.watch(v)
				w.call(v)
				w.act(v)
			}
		}
	}
}

// watch tells a VM that reaches the store what is there.
func (w *world) watch(v *vm) {
	if v.blind || v.version == w.version && w.version > 0 {
		return
	}
	v.version = w.version
	if w.version == 0 {
		v.machine.Absent(w.now)
		return
	}
	v.machine.SetRecord(w.now, w.record)
}

// call lets a VM ask the owner that it knows.
func (w *world) call(v *vm) {
	record, exists := v.machine.Record()
	if !exists || record.Owner == v.name {
		return
	}
	for _, owner := range w.vms {
		if owner.name == record.Owner && owner.machine.Owns() && !owner.frozen && !owner.cut && !v.cut {
			owner.machine.Heard(w.now)
			v.machine.Contact(w.now, owner.blind)
			return
		}
	}
	v.machine.Missed(w.now)
}

func (w *world) act(v *vm) {
	action := v.machine.Next(w.now, !v.blind)
	if action == tenure.Nothing || v.version != w.version {
		return
	}
	w.record = v.machine.Apply(action, v.name)
	w.version++
	v.version = w.version
	v.machine.SetRecord(w.now, w.record)
	if action == tenure.TakeOver {
		w.owners = append(w.owners, ownership{v.name, w.record.Epoch, w.now})
	}
}

func (w *world) vm(name string) *vm {
	for _, v := range w.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (w *world) owner() string {
	if w.record.Released {
		return ""
	}
	return w.record.Owner
}

// takeoverLimit is the longest time without an owner that callers are to see.
const takeoverLimit = 3 * time.Second

// Guards against a group that stays without an owner after the owner has died, is
// paused, is cut off from the store or from all other VMs.
func TestATroubledOwnerIsReplacedInSeconds(t *testing.T) {
	for name, trouble := range map[string]func(*vm){
		"frozen":             func(v *vm) { v.frozen = true },
		"cut from the store": func(v *vm) { v.blind = true },
		"cut from the VMs":   func(v *vm) { v.cut = true },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newWorld(7)
			w.run(2 * time.Second)
			first := w.owner()
			g.Expect(first).NotTo(gomega.BeEmpty())
			trouble(w.vm(first))
			w.run(takeoverLimit)
			g.Expect(w.owner()).NotTo(gomega.BeElementOf("", first))
			g.Expect(w.owners).To(gomega.HaveLen(2))
		})
	}
}

// Guards against an owner that is replaced because one VM does not hear it.
func TestAVMThatIsCutOffDoesNotTakeTheGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(7)
	w.run(2 * time.Second)
	first := w.owner()
	for _, v := range w.vms {
		if v.name != first {
			v.cut = true
			break
		}
	}
	w.run(12 * time.Second)
	g.Expect(w.owner()).To(gomega.Equal(first))
	g.Expect(w.owners).To(gomega.HaveLen(1))
}

// Guards against an owner that gives up because it is the only VM.
func TestTheOnlyVMKeepsTheGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1)
	w.run(20 * time.Second)
	g.Expect(w.owners).To(gomega.HaveLen(1))
	g.Expect(w.owner()).To(gomega.Equal("vm0"))
}

// Guards against a process that waits for its own former incarnation.
func TestARestartedOwnerTakesItsGroupAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	m := tenure.New(tenure.Self{VM: "a", Incarnation: 2, Jitter: 1})
	m.SetRecord(0, tenure.Record{Owner: "a", Incarnation: 1, Epoch: 4})
	g.Expect(m.Next(0, true)).To(gomega.Equal(tenure.TakeOver))
	g.Expect(m.Apply(tenure.TakeOver, "x").Epoch).To(gomega.Equal(int64(5)))
	g.Expect(m.Next(0, false)).To(gomega.Equal(tenure.Nothing), "without the store nothing can be taken")
}

// lease is the time in which two owners must not take turns.
const lease = 3 * time.Second

// Guards against a VM that counts its pause from the release of the group and so
// takes it soon after another has.
func TestAnOwnerThatReleasedWaitsFromTheTakeover(t *testing.T) {
	g := gomega.NewWithT(t)
	m := tenure.New(tenure.Self{VM: "a", Incarnation: 1})
	m.SetRecord(0, tenure.Record{Owner: "a", Incarnation: 1, Epoch: 1})
	m.SetRecord(time.Second, tenure.Record{Owner: "a", Incarnation: 1, Epoch: 1, Released: true})
	taken := 4 * time.Second
	m.SetRecord(taken, tenure.Record{Owner: "b", Incarnation: 1, Epoch: 2})
	m.SetRecord(taken+100*time.Millisecond, tenure.Record{Owner: "b", Incarnation: 1, Epoch: 2, Released: true})
	g.Expect(m.Next(taken+lease, true)).To(gomega.Equal(tenure.Nothing))
	g.Expect(m.Next(taken+2*lease, true)).To(gomega.Equal(tenure.TakeOver))
}

// Guards against a pause that fits the usual lease only.
func TestThePauseFollowsTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	long := 3 * lease
	m := tenure.New(tenure.Self{VM: "a", Incarnation: 1, Lease: long})
	m.SetRecord(0, tenure.Record{Owner: "a", Incarnation: 1, Epoch: 1})
	m.SetRecord(time.Second, tenure.Record{Owner: "b", Incarnation: 1, Epoch: 2})
	m.SetRecord(2*time.Second, tenure.Record{Owner: "b", Incarnation: 1, Epoch: 2, Released: true})
	g.Expect(m.Next(time.Second+long, true)).To(gomega.Equal(tenure.Nothing))
	g.Expect(m.Next(time.Second+2*long, true)).To(gomega.Equal(tenure.TakeOver))
}

// Guards against two VMs that take a group from each other by turns, epochs that
// do not rise, and two VMs that act as owner under one epoch, while VMs freeze and
// lose their links at random.
func TestOwnersTakeNoTurnsWithinALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 7).Draw(t, "vms"))
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "owner") && w.owner() != "" {
				v = w.vm(w.owner())
			}
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				v.frozen = !v.frozen
			case 1:
				v.blind = !v.blind
			case 2:
				v.cut = !v.cut
			default:
				for _, v := range w.vms {
					v.frozen, v.blind, v.cut = false, false, false
				}
			}
			w.run(time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond)
		}
		last := map[string]time.Duration{}
		for i, o := range w.owners {
			if i > 0 && o.epoch <= w.owners[i-1].epoch {
				t.Fatalf("epoch %d after %d", o.epoch, w.owners[i-1].epoch)
			}
			if i > 0 && w.owners[i-1].vm != o.vm {
				last[w.owners[i-1].vm] = o.at
			}
			if lost, had := last[o.vm]; had && o.at-lost < lease && w.owners[i-1].vm != o.vm {
				t.Fatalf("%s took the group again after %v", o.vm, o.at-lost)
			}
		}
		for _, v := range w.vms {
			v.frozen, v.blind, v.cut = false, false, false
		}
		w.run(8 * time.Second)
		if w.owner() == "" {
			t.Fatal("the group has no owner")
		}
	})
}
