package journal

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// actor is a coroutine that the scheduler resumes. It runs only while next is
// being called, so the whole world is single threaded and deterministic.
type actor struct {
	next  func() (struct{}, bool)
	stop  func()
	sleep int // scheduler step before which the actor is paused
}

// stopped unwinds the coroutine of a VM that died.
type stopped struct{}

func newActor(body func(pause func())) *actor {
	a := &actor{}
	a.next, a.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			if r := recover(); r != nil && r != any(stopped{}) {
				panic(r)
			}
		}()
		body(func() {
			if !yield(struct{}{}) {
				panic(stopped{})
			}
		})
	})
	return a
}

type simVM struct {
	holder model.Holder
	shard  *Shard
	actors []*actor // shard and front end
	dead   bool
	gone   bool
}

type world struct {
	rng      *rand.Rand
	store    *fakeStore
	now      time.Time
	step     int
	calm     bool // no faults any more
	down     bool
	fault    float64 // share of store calls with a fault
	off      mechanism
	vms      []*simVM
	jobs     []*job
	runs     []*job
	delayed  []func()
	attempts []*attempt
	trace    uint64 // hash of the schedule
	counters Counters
	fresh    bool // a fresh key was granted after all faults ended
	seen     map[string]int
}

func newWorld(seed uint64, off mechanism) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), store: newFakeStore(), now: time.UnixMilli(1_700_000_000_000),
		off: off, seen: make(map[string]int),
	}
	w.fault = []float64{0, 0.05, 0.2, 0.4}[w.rng.IntN(4)]
	for range 2 {
		w.startVM()
	}
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// Gone implements Liveness.
func (w *world) Gone(holder model.Holder) bool {
	for _, vm := range w.vms {
		if vm.holder == holder {
			return vm.gone
		}
	}
	return false
}

func (w *world) startVM() {
	number := len(w.vms) + 1
	vm := &simVM{holder: model.Holder{VM: fmt.Sprintf("vm%d", number%5), Incarnation: model.Incarnation(number)}}
	settings := DefaultSettings(vm.holder)
	settings.CompactPositions = 1 + w.rng.IntN(6)
	settings.CommitInterval = time.Millisecond
	conn := &vmFaults{world: w, pauseNow: func() {}}
	vm.shard = NewShard(0, settings, Dependencies{
		Store: &faultyStore{store: w.store, faults: conn}, Liveness: w, Now: func() time.Time { return w.now },
		Rand: w.rng, Recorder: timeline.Discard{}, Log: zerolog.New(io.Discard), Counters: &w.counters,
	})
	vm.shard.SetWanted(w.chance(0.7))
	w.vms = append(w.vms, vm)
	vm.actors = append(vm.actors, newActor(func(pause func()) {
		conn.pauseNow = pause
		for {
			vm.shard.Step(context.Background())
			pause()
		}
	}))
}

func (w *world) living() []*simVM {
	var living []*simVM
	for _, vm := range w.vms {
		if !vm.dead {
			living = append(living, vm)
		}
	}
	return living
}

func (w *world) pickVM() *simVM {
	living := w.living()
	for _, vm := range living {
		if vm.shard.Owned() && w.chance(0.5) {
			return vm
		}
	}
	return living[w.rng.IntN(len(living))]
}

// runTarget lets one job reach its target, possibly long after it was sent.
func (w *world) runTarget() {
	if len(w.jobs) == 0 {
		return
	}
	i := w.rng.IntN(len(w.jobs))
	j := w.jobs[i]
	w.jobs = append(w.jobs[:i], w.jobs[i+1:]...)
	if !j.lost {
		j.response = fmt.Appendf(nil, "run %d", len(w.runs))
		j.ran = true
		w.runs = append(w.runs, j)
	}
}

func (w *world) resume() {
	living := w.living()
	vm := living[w.rng.IntN(len(living))]
	i := w.rng.IntN(len(vm.actors))
	a := vm.actors[i]
	if a.sleep > w.step && !w.calm {
		return
	}
	w.mix(uint64(vm.holder.Incarnation)<<16 | uint64(i))
	if _, more := a.next(); !more {
		vm.actors = slices.Delete(vm.actors, i, i+1)
	}
	if w.chance(0.01) {
		a.sleep = w.step + w.rng.IntN(500) // a pause before or after a write
	}
}

func (w *world) mix(choice uint64) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.trace, choice, w.store.revision)
	w.trace = h.Sum64()
}

func (w *world) crash() {
	living := w.living()
	if len(living) < 2 {
		return
	}
	vm := living[w.rng.IntN(len(living))]
	vm.dead = true
	for _, a := range vm.actors {
		a.stop()
	}
	w.startVM()
}

func (w *world) applyDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	i := w.rng.IntN(len(w.delayed))
	write := w.delayed[i]
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	write()
}

// event is everything that happens besides the actors' own steps.
func (w *world) event() {
	vm := w.vms[w.rng.IntN(len(w.vms))]
	switch pick := w.rng.IntN(100); {
	case pick < 25 && len(w.attempts) < maxAttempts:
		w.newAttempt()
	case pick < 60:
		w.runTarget()
	case pick < 75:
		w.applyDelayed()
	case pick < 82 && !vm.dead:
		vm.shard.SetWanted(w.chance(0.75))
	case pick < 84:
		w.crash()
	case pick < 93 && (vm.dead || w.chance(0.2)):
		vm.gone = true // also of a VM that is only paused and acts again
	case pick < 96:
		w.down = w.chance(0.3)
	case len(w.living()) < maxLivingVMs:
		w.startVM()
	}
}

func (w *world) run() {
	defer w.stop()
	for w.step = range stepsPerRun {
		w.now = w.now.Add(time.Duration(w.rng.IntN(8)) * time.Millisecond)
		if w.chance(0.12) {
			w.event()
		}
		w.resume()
	}
	w.settle()
}

// settle ends all faults and lets everything finish at one owner.
func (w *world) settle() {
	w.calm, w.down = true, false
	for len(w.delayed) > 0 {
		w.applyDelayed()
	}
	for i, vm := range w.living() {
		vm.shard.SetWanted(i == 0)
	}
	w.calmSteps()
	// A fresh key must be granted. The first claim can fail: a former owner that
	// did not write learns only from it that it was replaced.
	owner := w.living()[0]
	for number := uint64(1); number <= claimTries && !w.fresh; number++ {
		call := owner.shard.Claim(rpcapi.ClaimRequest{
			Key: rpcapi.ClaimKey{Key: "fresh"}, ID: rpcapi.ClaimID{Holder: owner.holder, Number: freshIDs + number},
		})
		w.calmSteps()
		w.fresh = call.Reply().State == rpcapi.ClaimGranted
	}
}

// calmSteps runs until every call at a living VM has ended, within a bound.
func (w *world) calmSteps() {
	for steps := range 20 * stepsPerRun {
		if steps > stepsPerRun/4 && !w.busy() {
			return
		}
		w.now = w.now.Add(5 * time.Millisecond)
		w.runTarget()
		w.resume()
	}
}

// busy reports whether a living VM has an actor besides its shard.
func (w *world) busy() bool {
	return slices.ContainsFunc(w.living(), func(vm *simVM) bool { return len(vm.actors) > 1 })
}

func (w *world) stop() {
	for _, vm := range w.vms {
		for _, a := range vm.actors {
			a.stop()
		}
	}
}
