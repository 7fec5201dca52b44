package soak

import (
	"math/rand/v2"
	"time"

	"cicadaslip/internal/standin/engine"
)

const (
	// drain is drain_ms of the settings.
	drain = 2500 * time.Millisecond
	// farewell is the time from a target's first word of leaving until it ends.
	farewell = 8 * time.Second
	// maxReportDelay is the longest time between leaving in answers and in the store.
	maxReportDelay = 4 * time.Second
	// lastRuns is the time that a leaving target gives the requests that it still has.
	lastRuns = 10 * time.Second
)

// statementFaults are what targets say of themselves in answers.
var statementFaults = []fault{
	{"leaving_engine", func(r *run, rng *rand.Rand) func() { return r.leaveByAnswers(rng, &r.engines, r.addEngine) }},
	{"leaving_app", func(r *run, rng *rand.Rand) func() { return r.leaveByAnswers(rng, &r.apps, r.addApp) }},
}

// leaveByAnswers lets a target say in its answers that it leaves; the store hears of it
// later, at the same time or never. Another target comes in its place.
func (r *run) leaveByAnswers(rng *rand.Rand, from *[]*engine.Target, add func(int) error) func() {
	i := rng.IntN(len(*from))
	t := (*from)[i]
	delay := time.Duration(rng.Int64N(int64(maxReportDelay)))
	_ = add(i) // the run shows that it is missing
	*from = append((*from)[:i], (*from)[i+1:]...)
	t.SayLeaving("1")
	switch rng.IntN(3) {
	case 0:
		_ = t.Leave()
	case 1:
		time.AfterFunc(delay, func() { _ = t.Leave() })
	}
	time.AfterFunc(farewell, func() {
		r.store.Remove("servers", t.Settings.ID)
		t.End(lastRuns)
	})
	return nil
}

// checkLeaving checks that no request that was sent later than the drain time after a VM had
// passed on an answer of a leaving target reaches that target from that VM.
func (r *run) checkLeaving() {
	targets := r.allTargets()
	leaving := map[string]map[string]bool{} // runs whose answers said so, by target and request
	for _, t := range targets {
		leaving[t.Settings.ID] = map[string]bool{}
		for _, run := range t.Runs() {
			if run.Leaving {
				leaving[t.Settings.ID][run.ID] = true
			}
		}
	}
	arrivals := arrivalsByID(targets)
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	type pair struct {
		vm     *vm
		target string
	}
	passed := map[pair][]answer{}
	for _, a := range r.checker.answers {
		if !a.head.IsZero() && leaving[a.server][a.id] {
			passed[pair{a.vm, a.server}] = append(passed[pair{a.vm, a.server}], a)
		}
	}
	for _, a := range r.checker.answers {
		for _, at := range arrivals[a.id] {
			for _, before := range passed[pair{a.vm, at.target.Settings.ID}] {
				if a.sent.After(before.head.Add(drain)) && len(a.vm.timeline.between(before.head, at.At, restarted, frozen)) == 0 {
					r.checker.fail("DRAIN: %s %s reached %s, sent to %s at %s, %v after it had passed on the answer of %s",
						a.kind, a.id, at.target.Settings.ID, a.vm.name, a.sent.Format(clock), a.sent.Sub(before.head), before.id)
					break
				}
			}
		}
	}
}
