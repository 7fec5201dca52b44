package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

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

	sim.core.SetPause(sim.now, "vm0", "t0", 2, 200*time.Millisecond)
	sim.core.SetPause(sim.now, "vm0", "t0", 1, time.Minute)
	id = sim.enqueue(adapter(0), from("vm0"))
	g.Expect(sim.granted).NotTo(gomega.HaveKey(id))
	sim.advance(250 * time.Millisecond)
	g.Expect(sim.granted).To(gomega.HaveKey(id), "the former incarnation wanted a longer pause")
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

// toldPause is a pause that an incarnation of a target has asked a VM for.
type toldPause struct {
	vm, target string
	born       int64
	until      time.Duration
}

// pauseMessage is a request on its way to the owner, with the pauses of its VM.
type pauseMessage struct {
	vm     string
	pauses []toldPause
	left   []time.Duration // of each, when the message was sent
}

// pauseWorld is a group whose owner hears of pauses in messages that are late, overtake each
// other and come twice.
type pauseWorld struct {
	sim      *simulation
	told     []toldPause
	messages []pauseMessage
	holders  map[string]string // VM by request
	checked  map[string]bool   // grants, by request
	// bound holds what the present owner has heard of the newest incarnations, with the end as
	// the owner must see it.
	bound []toldPause
	held  map[string]toldPause // orders, by target
	stale map[string]bool      // targets that have started anew since the owner was told of them
}

var pauseVMs = []string{"vm0", "vm1"}

func (w *pauseWorld) restart(target string) {
	w.sim.engines[target] = newEngine(target, w.sim.engines[target].born+1)
	delete(w.held, target)
	w.stale[target] = true
}

// list tells the owner of the present targets.
func (w *pauseWorld) list() {
	w.stale = map[string]bool{}
	w.sim.updateTargets()
}

// takeOver replaces the owner by one that knows nothing.
func (w *pauseWorld) takeOver() {
	w.sim.core = placer.New(placer.Params{MaxColdLoads: 8, Engine: placer.Engine{AdapterSlots: adapterSlots, Models: []placer.Model{{Name: modelName}}}})
	w.bound, w.held = nil, map[string]toldPause{}
	w.list()
}

func (w *pauseWorld) arrive(m pauseMessage) {
	w.sim.now++ // later than all grants so far
	for i, p := range m.pauses {
		w.sim.core.SetPause(w.sim.now, m.vm, p.target, p.born, m.left[i])
		p.until = w.sim.now + m.left[i]
		w.bound = append(w.bound, p)
		w.bound = slices.DeleteFunc(w.bound, func(old toldPause) bool { return old.vm == m.vm && old.target == p.target && old.born < p.born })
	}
	id := w.sim.enqueue(adapter(w.sim.random.IntN(4)), from(m.vm))
	w.holders[id] = m.vm
}

func (w *pauseWorld) check(t *rapid.T) {
	for id, at := range w.sim.grantedAt {
		if w.checked[id] {
			continue
		}
		w.checked[id] = true
		granted := w.sim.granted[id]
		for _, p := range w.bound {
			if p.vm == w.holders[id] && p.target == granted.Target && p.born >= granted.Born && at < p.until {
				t.Fatalf("%s of %s was granted %s at %v, which pauses until %v", id, p.vm, p.target, at, p.until)
			}
		}
	}
}

// Guards against grants, orders and reports during a pause that the owner has heard of, in any
// order of messages: late, repeated, about a former incarnation or one that the owner does not
// know yet, across restarts of the target and takeovers; and against pauses that outlast their
// end.
func TestOwnersObeyPausesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &pauseWorld{
			sim:     newSimulation(rapid.Uint64().Draw(t, "seed"), 2, placer.Params{}),
			holders: map[string]string{}, checked: map[string]bool{}, held: map[string]toldPause{}, stale: map[string]bool{},
		}
		w.sim.called = func(target string) {
			if held, found := w.held[target]; found && w.sim.now < held.until {
				t.Fatalf("an order or report was sent to %s at %v, before %v", target, w.sim.now, held.until)
			}
		}
		target := rapid.SampledFrom([]string{"t0", "t1"})
		vm := rapid.SampledFrom(pauseVMs)
		t.Repeat(map[string]func(*rapid.T){
			"VM is told": func(t *rapid.T) {
				id := target.Draw(t, "target")
				left := time.Duration(rapid.IntRange(1, 30).Draw(t, "left")) * 100 * time.Millisecond
				w.told = append(w.told, toldPause{vm.Draw(t, "VM"), id, w.sim.engines[id].born, w.sim.now + left})
			},
			"VM asks": func(t *rapid.T) {
				m := pauseMessage{vm: vm.Draw(t, "VM")}
				for _, p := range w.told {
					if left := p.until - w.sim.now; p.vm == m.vm && left > 0 {
						m.pauses, m.left = append(m.pauses, p), append(m.left, left)
					}
				}
				w.messages = append(w.messages, m)
			},
			"message arrives": func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip("no message")
				}
				n := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
				m := w.messages[n]
				if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
					w.messages = append(w.messages[:n:n], w.messages[n+1:]...)
				}
				w.arrive(m)
			},
			"orders are held": func(t *rapid.T) {
				id := target.Draw(t, "target")
				left := time.Duration(rapid.IntRange(1, 20).Draw(t, "left")) * 100 * time.Millisecond
				if w.stale[id] {
					t.Skip("the owner holds the orders of the former incarnation")
				}
				w.sim.core.HoldOrders(w.sim.now, id, left)
				w.held[id] = toldPause{until: max(w.held[id].until, w.sim.now+left)}
			},
			"target restarts": func(t *rapid.T) { w.restart(target.Draw(t, "target")) },
			"owner hears":     func(*rapid.T) { w.list() },
			"takeover":        func(*rapid.T) { w.takeOver() },
			"time passes": func(t *rapid.T) {
				w.sim.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * 10 * time.Millisecond)
			},
			"": w.check,
		})
		w.list()
		w.sim.advance(12 * time.Second)
		w.check(t)
		for _, vm := range pauseVMs {
			id := w.sim.enqueue(adapter(0), from(vm))
			w.sim.advance(3 * time.Second)
			if _, granted := w.sim.granted[id]; !granted {
				t.Fatalf("%s gets no target although all pauses have ended: %s", vm, fmt.Sprint(w.sim.refused[id].Err))
			}
		}
	})
}
