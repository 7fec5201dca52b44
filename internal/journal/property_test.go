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

// check reads only what the targets ran and what the callers were told.
func check(runs []*job, attempts []*attempt) error {
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
			return fmt.Errorf("claim id %v for key %s was told %q: %w", a.id, a.key.Key, a.said, err)
		}
	}
	return nil
}

func checkAttempt(a *attempt, jobs []*job, bodies [2]int) error {
	own := len(jobs) == 1 && jobs[0].attempt == a
	others := bodies[0]+bodies[1] > 1
	switch a.said {
	case "not_run":
		if own {
			return fmt.Errorf("but it ran")
		}
	case "answer":
		if len(jobs) != 1 || !bytes.Equal(jobs[0].response, a.got) {
			return fmt.Errorf("but the answer %q is not the first one", a.got)
		}
		if jobs[0].attempt.body != a.body {
			return fmt.Errorf("but the answer is for another body")
		}
	case string(rpcapi.ClaimRunning):
		if !others {
			return fmt.Errorf("but no other call of the key exists")
		}
	case string(rpcapi.ClaimReused):
		if bodies[1-a.body] == 0 {
			return fmt.Errorf("but no call had another body")
		}
	case string(rpcapi.ClaimUnknown):
		if !others && !a.sent {
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

// checkOwner compares the settled owner with the store and the runs. It guards
// against forgotten claims that no caller happened to repeat, and against an
// index that is not a function of the records.
func checkOwner(w *world) error {
	owner := w.living()[0].shard
	if !owner.Owned() || !w.fresh {
		return fmt.Errorf("no owner that grants a fresh key after all faults ended")
	}
	for _, j := range w.runs {
		if state := owner.index.Lookup(KeyIDOf(j.attempt.key)); state.State == rpcapi.ClaimAbsent {
			return fmt.Errorf("key %s ran but the journal does not hold it", j.attempt.key.Key)
		}
	}
	deps := owner.deps
	deps.Store = &faultyStore{store: w.store, faults: &vmFaults{world: w, pauseNow: func() {}}}
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
		if err := reader.followChain(context.Background(), index); err != nil {
			return err
		}
	}
	if a, b := describeIndex(index), describeIndex(owner.index); !maps.Equal(a, b) {
		return fmt.Errorf("index from the store %v differs from the owner's %v", a, b)
	}
	return checkBeyond(w, owner, index.Position()+1)
}

// checkBeyond allows two objects above the owner's position: its batch in
// flight, and the takeover record of a VM that was told in the middle of its
// takeover that it no longer should own the shard.
func checkBeyond(w *world, owner *Shard, position uint64) error {
	object, err := w.store.get(positionKey(0, position), w.store.revision)
	if err != nil {
		return nil
	}
	batch, err := DecodeBatch(object.Value, 0, position)
	if err != nil {
		return err
	}
	foreign := batch.Identity.Writer != owner.settings.Self
	takeover := len(batch.Records) == 1 && batch.Records[0].Kind == RecordTakeover
	if owner.inDoubt != nil || (foreign && takeover) {
		return nil
	}
	return fmt.Errorf("the store holds position %d, which the owner does not know", position)
}

func describeIndex(x *Index) map[KeyID]string {
	all := make(map[KeyID]string)
	for key := range x.entries {
		if e, live := x.live(key); live {
			all[key] = fmt.Sprint(x.idOf(e), e.state, e.body, e.expiresMS, x.Lookup(key).Response)
		}
	}
	return all
}

func verdict(w *world) error {
	if err := check(w.runs, w.attempts); err != nil {
		return err
	}
	return checkOwner(w)
}

// totals shows what the runs of a test covered.
type totals struct {
	worlds, steps, runs, attempts, calls int
	said                                 map[string]int
	schedules                            map[uint64]bool
	takeovers, lost, compactions         int64
}

func (t *totals) add(w *world) {
	if t.said == nil {
		t.said, t.schedules = make(map[string]int), make(map[uint64]bool)
	}
	t.worlds++
	t.steps += stepsPerRun
	t.runs += len(w.runs)
	t.attempts += len(w.attempts)
	t.calls += w.store.calls
	for _, a := range w.attempts {
		t.said[a.said]++
	}
	t.schedules[w.trace] = true
	t.takeovers += w.counters.Takeovers.Load()
	t.lost += w.counters.Lost.Load()
	t.compactions += w.counters.Compactions.Load()
}

func (t *totals) log(tb testing.TB) {
	tb.Logf("%d seeds, %d different schedules, %d steps under faults, %d store calls, %d attempts, %d runs, %d takeovers, %d losses, %d compactions, callers told %v",
		t.worlds, len(t.schedules), t.steps, t.calls, t.attempts, t.runs, t.takeovers, t.lost, t.compactions, t.said)
}

// drawSeed mixes two draws, because rapid prefers small numbers and would
// repeat many schedules.
func drawSeed(rt *rapid.T) uint64 {
	return rapid.Uint64().Draw(rt, "seed")*0x9e3779b97f4a7c15 ^ rapid.Uint64().Draw(rt, "seed2")
}

// Guards against a second run of a key, a wrong answer and a forgotten claim
// under paused owners, lost and delayed writes, stale reads, outages and deaths.
func TestAtMostOnceUnderFaults(t *testing.T) {
	var sum totals
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(drawSeed(rt), none)
		w.run()
		if err := verdict(w); err != nil {
			rt.Fatal(err)
		}
		sum.add(w)
	})
	sum.log(t)
	if sum.runs == 0 || sum.takeovers == 0 || sum.compactions == 0 || sum.said["not_run"] == 0 {
		t.Fatal("the schedules do not cover the mechanisms")
	}
}

// Guards against a checker that passes whatever happens: with a mechanism
// switched off it must find a violation.
func TestCheckerFindsSwitchedOffMechanisms(t *testing.T) {
	const seeds = 400
	for _, off := range []mechanism{claimBeforeStored, releaseAfterSend, dispatchOnError, repeatInProgress} {
		var found error
		for seed := uint64(0); seed < seeds && found == nil; seed++ {
			w := newWorld(seed, off)
			w.run()
			if found = check(w.runs, w.attempts); found != nil {
				t.Logf("switched off: %s: seed %d: %v", off, seed, found)
			}
		}
		if found == nil {
			t.Errorf("switched off: %s: not found in %d seeds", off, seeds)
		}
	}
}
