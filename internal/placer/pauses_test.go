package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/placer"
)

func from(vm string) func(*placer.Request) {
	return func(r *placer.Request) { r.Holder = vm }
}

// pauseAll makes all targets of a simulation pause for a VM.
func (sim *simulation) pauseAll(vm string, left time.Duration) {
	for id, e := range sim.engines {
		sim.core.SetPause(sim.now, vm, id, e.born, left)
	}
}

// Guards against grants of a target that wants no request from the VM, now or while the request
// is queued; against a pause that binds other VMs; and against one that outlasts its end.
func TestPausedTargetsAreNotGrantedToTheirVM(t *testing.T) {
	for seed := range uint64(20) {
		g := gomega.NewWithT(t)
		sim := newSimulation(seed, 3, placer.Params{})
		type pause struct{ from, until time.Duration }
		pauses := map[string][]pause{} // by target
		vms := []string{"vm0", "vm1", "vm2"}
		holder := map[string]string{}
		var ids []string
		for range 300 {
			sim.advance(time.Duration(10+sim.random.IntN(80)) * time.Millisecond)
			if sim.random.IntN(20) == 0 {
				sim.now++ // later than all grants so far
				target, left := []string{"t0", "t1", "t2"}[sim.random.IntN(3)], time.Duration(1+sim.random.IntN(3))*time.Second
				sim.core.SetPause(sim.now, "vm0", target, 1, left)
				pauses[target] = append(pauses[target], pause{sim.now, sim.now + left})
			}
			vm := vms[sim.random.IntN(len(vms))]
			id := sim.enqueue(adapter(sim.random.IntN(9)), from(vm))
			holder[id], ids = vm, append(ids, id)
		}
		sim.advance(10 * time.Second)
		counts, refused := map[string]int{}, map[string]int{}
		for _, id := range ids {
			g.Expect(sim.answered(id)).To(gomega.BeTrue(), id)
			if _, found := sim.refused[id]; found {
				refused[holder[id]]++
			}
		}
		for id, at := range sim.grantedAt {
			target := sim.granted[id].Target
			if slices.ContainsFunc(pauses[target], func(p pause) bool { return at >= p.from && at < p.until }) {
				counts[holder[id]]++
			}
		}
		g.Expect(counts["vm0"]).To(gomega.BeZero(), "seed %d", seed)
		g.Expect(counts["vm1"]).To(gomega.BeNumerically(">", 0), "seed %d: a pause binds the VM that was told", seed)
		g.Expect(refused["vm1"]+refused["vm2"]).To(gomega.BeNumerically("<=", len(ids)/20), "seed %d", seed)
		g.Expect(sim.violations).To(gomega.BeEmpty())
		before := len(sim.granted)
		for range 10 {
			sim.enqueue(adapter(0), from("vm0"))
			sim.advance(50 * time.Millisecond)
		}
		g.Expect(len(sim.granted)-before).To(gomega.Equal(10), "seed %d: all pauses have ended", seed)
	}
}

// Guards against a request that is refused although a pause ends while it can still be on
// time, and against one that waits in vain while all targets pause, on arrival or in the queue.
func TestRequestsWaitOnlyForPausesThatEndInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 3, placer.Params{})
	sim.enqueue(adapter(0), from("vm0"))
	sim.advance(2 * time.Second)

	sim.pauseAll("vm0", 400*time.Millisecond)
	short := sim.enqueue(adapter(0), from("vm0"))
	sim.advance(390 * time.Millisecond)
	g.Expect(sim.answered(short)).To(gomega.BeFalse())
	sim.advance(20 * time.Millisecond)
	g.Expect(sim.granted).To(gomega.HaveKey(short))
	g.Expect(sim.heldByPause[short]).To(gomega.HaveField("Target", gomega.HavePrefix("t")))
	g.Expect(sim.heldByPause[short].Waited).To(gomega.And(gomega.BeNumerically(">=", 350*time.Millisecond), gomega.BeNumerically("<=", 420*time.Millisecond)))

	sim.advance(time.Second)
	sim.pauseAll("vm0", 2*time.Second)
	for id, e := range sim.engines {
		if id != "t1" {
			sim.core.SetPause(sim.now, "vm0", id, e.born, time.Minute)
		}
	}
	long := sim.enqueue(adapter(0), from("vm0"))
	g.Expect(sim.refused).To(gomega.HaveKey(long))
	g.Expect(sim.refused[long].Err.Code).To(gomega.Equal(errs.NoTarget))
	g.Expect(sim.refused[long].Err.Retry).To(gomega.Equal(2*time.Second), "the shortest pause")
	g.Expect(sim.refused[long].Pause).To(gomega.Equal(&placer.PauseHold{Target: "t1"}))
	other := sim.enqueue(adapter(0), from("vm1"))
	sim.advance(500 * time.Millisecond)
	g.Expect(sim.granted).To(gomega.HaveKey(other))
	excluded := sim.enqueue(adapter(0), func(r *placer.Request) { r.Holder, r.Exclude = "vm0", []string{"t0", "t1", "t2"} })
	g.Expect(sim.refused).To(gomega.HaveKey(excluded), "turned away by all of them")

	sim = newSimulation(1, 1, placer.Params{})
	sim.loadTime = 800 * time.Millisecond
	queued := sim.enqueue(adapter(0), from("vm0"))
	sim.advance(50 * time.Millisecond)
	sim.pauseAll("vm0", 4*time.Minute)
	sim.advance(50 * time.Millisecond)
	g.Expect(sim.refused).To(gomega.HaveKey(queued))
	g.Expect(sim.refused[queued].Err.Retry).To(gomega.Equal(5 * time.Second))
	g.Expect(sim.refused[queued].Pause.Target).To(gomega.Equal("t0"))
}

// Guards against a pause that keeps the next incarnation of its target out of use, or that a
// late message about the former one begins again.
func TestPauseEndsWithItsIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, placer.Params{})
	sim.pauseAll("vm0", time.Minute)
	sim.engines["t0"] = newEngine("t0", 2)
	sim.updateTargets()
	sim.core.SetPause(sim.now, "vm0", "t0", 1, time.Minute)
	id := sim.enqueue(adapter(0), from("vm0"))
	sim.advance(time.Second)
	g.Expect(sim.granted).To(gomega.HaveKey(id))
}

// Guards against orders and reports that reach a target that wants nothing from the owner's VM,
// and against requests that wait for such a load although another target has room.
func TestOrdersWaitForTheEndOfAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 2, placer.Params{})
	sim.core.HoldOrders(sim.now, "t0", 3*time.Second)
	for i := range 4 {
		sim.enqueue(adapter(i), nil)
	}
	sim.advance(2 * time.Second)
	g.Expect(sim.engines["t0"].acceptedOrders).To(gomega.BeZero())
	g.Expect(len(sim.granted)).To(gomega.BeNumerically(">=", adapterSlots))
	sim.advance(2 * time.Second)
	sim.core.HoldOrders(sim.now, "t1", 3*time.Second)
	for i := range 3 {
		sim.enqueue(adapter(10+i), nil)
	}
	sim.advance(time.Second)
	g.Expect(sim.engines["t0"].acceptedOrders).To(gomega.BeNumerically(">", 0))
}
