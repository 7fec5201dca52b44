package journal

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"cicadaslip/internal/rpcapi"
)

// checkAttempts checks only what the targets ran and what the callers received,
// without looking at the journal.
func checkAttempts(runs []*job, attempts []*attempt) error {
	ran := make(map[rpcapi.ClaimKey][]*job)
	bodies := make(map[rpcapi.ClaimKey][2]int)
	for _, j := range runs {
		ran[j.attempt.key] = append(ran[j.attempt.key], j)
	}
	for _, a := range attempts {
		count := bodies[a.key]
		count[a.body]++
		bodies[a.key] = count
	}
	for key, jobs := range ran {
		if len(jobs) > 1 {
			return fmt.Errorf("key %s ran %d times, for claim ids %v and %v", key.Key, len(jobs), jobs[0].attempt.id, jobs[1].attempt.id)
		}
	}
	for _, a := range attempts {
		if err := checkAttempt(a, ran[a.key], bodies[a.key]); err != nil {
			return fmt.Errorf("claim id %v for key %s was told %q: %w", a.id, a.key.Key, a.reported, err)
		}
	}
	return nil
}

func checkAttempt(a *attempt, jobs []*job, bodies [2]int) error {
	ranHere := len(jobs) == 1 && jobs[0].attempt == a
	hasOtherAttempts := bodies[0]+bodies[1] > 1
	switch a.reported {
	case "not_run":
		if ranHere {
			return fmt.Errorf("but it ran")
		}
	case "answer":
		if len(jobs) != 1 || !bytes.Equal(jobs[0].response, a.responseBody) {
			return fmt.Errorf("but the answer %q is not the first one", a.responseBody)
		}
		if jobs[0].attempt.body != a.body {
			return fmt.Errorf("but the answer is for another body")
		}
	case string(rpcapi.ClaimRunning):
		if !hasOtherAttempts {
			return fmt.Errorf("but no other call of the key exists")
		}
	case string(rpcapi.ClaimReused):
		if bodies[1-a.body] == 0 {
			return fmt.Errorf("but no call had another body")
		}
	case string(rpcapi.ClaimUnknown):
		if !hasOtherAttempts && !a.sent {
			return fmt.Errorf("but it was never sent")
		}
	case "":
		if !a.vm.dead {
			return fmt.Errorf("although its front end is alive")
		}
	default:
		return fmt.Errorf("which is not an allowed answer")
	}
	return nil
}

// checkOwner compares the owner after the end of all faults with the store and the
// runs. It finds lost claims that no caller happened to repeat, and an index that
// is not a function of the records.
func checkOwner(sim *simulation) error {
	owner := sim.liveVMs()[0].shard
	if !owner.Owned() || !sim.freshKeyGranted {
		return fmt.Errorf("no owner that grants a fresh key after all faults ended")
	}
	for _, j := range sim.runs {
		if state := owner.index.Lookup(HashKey(j.attempt.key)); state.State == rpcapi.ClaimAbsent {
			return fmt.Errorf("key %s ran but the journal does not hold it", j.attempt.key.Key)
		}
	}
	deps := owner.deps
	deps.Store = &faultyStore{store: sim.store, faults: &vmFaults{simulation: sim, pauseActor: func() {}}}
	reader := NewShard(0, owner.settings, deps)
	floor, err := reader.readFloor(context.Background(), 0)
	if err != nil {
		return err
	}
	index, err := reader.loadSnapshot(context.Background(), floor)
	if err != nil {
		return err
	}
	for index.Position() < owner.index.Position() {
		if err := reader.replayNextPosition(context.Background(), index); err != nil {
			return err
		}
	}
	if a, b := liveEntries(index), liveEntries(owner.index); !maps.Equal(a, b) {
		return fmt.Errorf("index from the store %v differs from the owner's %v", a, b)
	}
	return checkAboveOwner(sim, owner, index.Position()+1)
}

// checkAboveOwner returns an error if the store holds an object above the owner's
// position. Two are allowed: the owner's own batch in doubt, and the takeover
// record of a VM that lost its assignment in the middle of a takeover.
func checkAboveOwner(sim *simulation, owner *Shard, position uint64) error {
	object, err := sim.store.get(positionKey(0, position), sim.store.revision)
	if err != nil {
		return nil
	}
	batch, err := DecodeBatch(object.Value, 0, position)
	if err != nil {
		return err
	}
	foreign := batch.WriteID.Writer != owner.settings.Self
	takeover := len(batch.Records) == 1 && batch.Records[0].Kind == RecordTakeover
	if owner.pending != nil || (foreign && takeover) {
		return nil
	}
	return fmt.Errorf("the store holds position %d, which the owner does not know", position)
}

func liveEntries(x *Index) map[KeyHash]string {
	all := make(map[KeyHash]string)
	for key := range x.entries {
		if e, live := x.live(key); live {
			all[key] = fmt.Sprint(x.claimID(e), e.state, e.bodyHash, e.expiresMS, x.Lookup(key).Response)
		}
	}
	return all
}

func checkRun(sim *simulation) error {
	if err := checkAttempts(sim.runs, sim.attempts); err != nil {
		return err
	}
	return checkOwner(sim)
}

// coverage counts what the runs of a test covered.
type coverage struct {
	simulations, steps, runs, attempts, calls int
	reported                                  map[string]int
	schedules                                 map[uint64]bool
	takeovers, ownershipLosses, compactions   int64
}

func (t *coverage) add(sim *simulation) {
	if t.reported == nil {
		t.reported, t.schedules = make(map[string]int), make(map[uint64]bool)
	}
	t.simulations++
	t.steps += stepsPerRun
	t.runs += len(sim.runs)
	t.attempts += len(sim.attempts)
	t.calls += sim.store.calls
	for _, a := range sim.attempts {
		t.reported[a.reported]++
	}
	t.schedules[sim.scheduleHash] = true
	t.takeovers += sim.counters.Takeovers.Load()
	t.ownershipLosses += sim.counters.OwnershipLosses.Load()
	t.compactions += sim.counters.Compactions.Load()
}

func (t *coverage) log(tb testing.TB) {
	tb.Logf("%d seeds, %d different schedules, %d steps under faults, %d store calls, %d attempts, %d runs, %d takeovers, %d losses, %d compactions, callers told %v",
		t.simulations, len(t.schedules), t.steps, t.calls, t.attempts, t.runs, t.takeovers, t.ownershipLosses, t.compactions, t.reported)
}

// drawSeed combines two draws, because rapid prefers small numbers and would
// otherwise repeat many schedules.
func drawSeed(rt *rapid.T) uint64 {
	return rapid.Uint64().Draw(rt, "seed")*0x9e3779b97f4a7c15 ^ rapid.Uint64().Draw(rt, "seed2")
}

// Guards against a second run of a key, a wrong answer and a lost claim under
// paused owners, lost and delayed writes, stale reads, outages and crashes.
func TestAtMostOnceUnderFaults(t *testing.T) {
	var sum coverage
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(drawSeed(rt), noMechanism)
		sim.run()
		if err := checkRun(sim); err != nil {
			rt.Fatal(err)
		}
		sum.add(sim)
	})
	sum.log(t)
	if sum.runs == 0 || sum.takeovers == 0 || sum.compactions == 0 || sum.reported["not_run"] == 0 {
		t.Fatal("the schedules do not cover the mechanisms")
	}
}

// Guards against a checker that accepts every run: when a mechanism is switched
// off, it must find a violation.
func TestCheckerFindsSwitchedOffMechanisms(t *testing.T) {
	const seeds = 400
	for _, off := range []mechanism{claimBeforeStored, releaseAfterSend, dispatchOnError, repeatInProgress} {
		var found error
		for seed := uint64(0); seed < seeds && found == nil; seed++ {
			sim := newSimulation(seed, off)
			sim.run()
			if found = checkAttempts(sim.runs, sim.attempts); found != nil {
				t.Logf("switched off: %s: seed %d: %v", off, seed, found)
			}
		}
		if found == nil {
			t.Errorf("switched off: %s: not found in %d seeds", off, seeds)
		}
	}
}
