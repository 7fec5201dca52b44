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
// being called, so the whole simulation is single threaded and deterministic.
type actor struct {
	next            func() (struct{}, bool)
	stop            func()
	pausedUntilStep int // scheduler step before which the actor is paused
}

// actorStopped is the panic value that unwinds the coroutine of a crashed VM.
type actorStopped struct{}

// newActor returns an actor that runs body, which calls pause to return control
// to the scheduler.
func newActor(body func(pause func())) *actor {
	a := &actor{}
	a.next, a.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			if r := recover(); r != nil && r != any(actorStopped{}) {
				panic(r)
			}
		}()
		body(func() {
			if !yield(struct{}{}) {
				panic(actorStopped{})
			}
		})
	})
	return a
}

// simVM is one incarnation of a VM.
type simVM struct {
	holder model.Holder
	shard  *Shard
	actors []*actor // the shard first, then the running front-end calls
	dead   bool     // crashed
	gone   bool     // confirmed gone by the membership
}

// simulation runs several VMs with one shard, its store, callers and targets.
// Faults and the order of the actors depend on the seed only.
type simulation struct {
	rng             *rand.Rand
	store           *fakeStore
	now             time.Time
	step            int
	faultsEnded     bool // no faults are injected any more
	storeDown       bool
	faultRate       float64 // share of store calls with a fault
	disabled        mechanism
	vms             []*simVM
	pendingJobs     []*job
	runs            []*job
	delayedWrites   []func()
	attempts        []*attempt
	scheduleHash    uint64 // identifies the sequence of resumed actors and store revisions
	counters        Counters
	freshKeyGranted bool // a fresh key was granted after all faults ended
	seen            map[string]int
}

func newSimulation(seed uint64, disabled mechanism) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), store: newFakeStore(), now: time.UnixMilli(1_700_000_000_000),
		disabled: disabled, seen: make(map[string]int),
	}
	sim.faultRate = []float64{0, 0.05, 0.2, 0.4}[sim.rng.IntN(4)]
	for range 2 {
		sim.startVM()
	}
	return sim
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// Gone implements Liveness.
func (sim *simulation) Gone(holder model.Holder) bool {
	for _, vm := range sim.vms {
		if vm.holder == holder {
			return vm.gone
		}
	}
	return false
}

func (sim *simulation) startVM() {
	number := len(sim.vms) + 1
	vm := &simVM{holder: model.Holder{VM: fmt.Sprintf("vm%d", number%5), Incarnation: model.Incarnation(number)}}
	settings := DefaultSettings(vm.holder)
	settings.CompactionThreshold = 1 + sim.rng.IntN(6)
	settings.CommitInterval = time.Millisecond
	faultSource := &vmFaults{simulation: sim, pauseActor: func() {}}
	vm.shard = NewShard(0, settings, Dependencies{
		Store: &faultyStore{store: sim.store, faults: faultSource}, Liveness: sim, Now: func() time.Time { return sim.now },
		Rand: sim.rng, Recorder: timeline.Discard{}, Log: zerolog.New(io.Discard), Counters: &sim.counters,
	})
	vm.shard.SetAssigned(sim.chance(0.7))
	sim.vms = append(sim.vms, vm)
	vm.actors = append(vm.actors, newActor(func(pause func()) {
		faultSource.pauseActor = pause
		for {
			vm.shard.Step(context.Background())
			pause()
		}
	}))
}

func (sim *simulation) liveVMs() []*simVM {
	var liveVMs []*simVM
	for _, vm := range sim.vms {
		if !vm.dead {
			liveVMs = append(liveVMs, vm)
		}
	}
	return liveVMs
}

// pickVM returns a live VM, preferably one that owns the shard.
func (sim *simulation) pickVM() *simVM {
	liveVMs := sim.liveVMs()
	for _, vm := range liveVMs {
		if vm.shard.Owned() && sim.chance(0.5) {
			return vm
		}
	}
	return liveVMs[sim.rng.IntN(len(liveVMs))]
}

// runPendingJob runs a random pending job at its target, possibly long after it was
// sent.
func (sim *simulation) runPendingJob() {
	if len(sim.pendingJobs) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.pendingJobs))
	j := sim.pendingJobs[i]
	sim.pendingJobs = append(sim.pendingJobs[:i], sim.pendingJobs[i+1:]...)
	if !j.lost {
		j.response = fmt.Appendf(nil, "run %d", len(sim.runs))
		j.ran = true
		sim.runs = append(sim.runs, j)
	}
}

// resumeRandomActor resumes an actor of a live VM until it pauses.
func (sim *simulation) resumeRandomActor() {
	liveVMs := sim.liveVMs()
	vm := liveVMs[sim.rng.IntN(len(liveVMs))]
	i := sim.rng.IntN(len(vm.actors))
	a := vm.actors[i]
	if a.pausedUntilStep > sim.step && !sim.faultsEnded {
		return
	}
	sim.addToScheduleHash(uint64(vm.holder.Incarnation)<<16 | uint64(i))
	if _, more := a.next(); !more {
		vm.actors = slices.Delete(vm.actors, i, i+1)
	}
	if sim.chance(0.01) {
		a.pausedUntilStep = sim.step + sim.rng.IntN(500) // a long pause, before or after a store call
	}
}

func (sim *simulation) addToScheduleHash(choice uint64) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, sim.scheduleHash, choice, sim.store.revision)
	sim.scheduleHash = h.Sum64()
}

// crashRandomVM crashes a VM and starts another, unless only one is live.
func (sim *simulation) crashRandomVM() {
	liveVMs := sim.liveVMs()
	if len(liveVMs) < 2 {
		return
	}
	vm := liveVMs[sim.rng.IntN(len(liveVMs))]
	vm.dead = true
	for _, a := range vm.actors {
		a.stop()
	}
	sim.startVM()
}

// applyDelayedWrite lets a random delayed write take effect.
func (sim *simulation) applyDelayedWrite() {
	if len(sim.delayedWrites) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.delayedWrites))
	write := sim.delayedWrites[i]
	sim.delayedWrites = append(sim.delayedWrites[:i], sim.delayedWrites[i+1:]...)
	write()
}

// injectEvent makes one random thing happen besides the steps of the actors: a new
// call, a job run, a late write, a change of assignment, a crash, a VM that is
// confirmed gone, an outage or a new VM.
func (sim *simulation) injectEvent() {
	vm := sim.vms[sim.rng.IntN(len(sim.vms))]
	switch pick := sim.rng.IntN(100); {
	case pick < 25 && len(sim.attempts) < maxAttempts:
		sim.newAttempt()
	case pick < 60:
		sim.runPendingJob()
	case pick < 75:
		sim.applyDelayedWrite()
	case pick < 82 && !vm.dead:
		vm.shard.SetAssigned(sim.chance(0.75))
	case pick < 84:
		sim.crashRandomVM()
	case pick < 93 && (vm.dead || sim.chance(0.2)):
		vm.gone = true // possibly a VM that is only paused and later acts again
	case pick < 96:
		sim.storeDown = sim.chance(0.3)
	case len(sim.liveVMs()) < maxLiveVMs:
		sim.startVM()
	}
}

func (sim *simulation) run() {
	defer sim.stop()
	for sim.step = range stepsPerRun {
		sim.now = sim.now.Add(time.Duration(sim.rng.IntN(8)) * time.Millisecond)
		if sim.chance(0.12) {
			sim.injectEvent()
		}
		sim.resumeRandomActor()
	}
	sim.endFaultsAndFinish()
}

// endFaultsAndFinish ends all faults, assigns the shard to one VM and lets all
// calls finish.
func (sim *simulation) endFaultsAndFinish() {
	sim.faultsEnded, sim.storeDown = true, false
	for len(sim.delayedWrites) > 0 {
		sim.applyDelayedWrite()
	}
	for i, vm := range sim.liveVMs() {
		vm.shard.SetAssigned(i == 0)
	}
	sim.runUntilIdle()
	// A fresh key must be granted. The first claim may fail, because a former owner
	// that has not written since detects only by this claim that it was replaced.
	owner := sim.liveVMs()[0]
	for number := uint64(1); number <= maxClaimTries && !sim.freshKeyGranted; number++ {
		call := owner.shard.Claim(rpcapi.ClaimRequest{
			Key: rpcapi.ClaimKey{Key: "fresh"}, ID: rpcapi.ClaimID{Holder: owner.holder, Number: firstFreshClaimNumber + number},
		})
		sim.runUntilIdle()
		sim.freshKeyGranted = call.Reply().State == rpcapi.ClaimGranted
	}
}

// runUntilIdle resumes actors until every call at a live VM has ended, or up to a
// maximum number of steps.
func (sim *simulation) runUntilIdle() {
	for steps := range 20 * stepsPerRun {
		if steps > stepsPerRun/4 && !sim.hasRunningFrontEnd() {
			return
		}
		sim.now = sim.now.Add(5 * time.Millisecond)
		sim.runPendingJob()
		sim.resumeRandomActor()
	}
}

// hasRunningFrontEnd reports whether a live VM has an actor besides its shard.
func (sim *simulation) hasRunningFrontEnd() bool {
	return slices.ContainsFunc(sim.liveVMs(), func(vm *simVM) bool { return len(vm.actors) > 1 })
}

func (sim *simulation) stop() {
	for _, vm := range sim.vms {
		for _, a := range vm.actors {
			a.stop()
		}
	}
}
