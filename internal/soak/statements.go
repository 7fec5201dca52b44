package soak

import (
	"math/rand/v2"
	"strconv"
	"strings"
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
	// pauseNotice is the time after a refusal with Retry-After until the pause binds the VM,
	// and pauseRequests what may reach the target from that VM until the end of the pause.
	minPause       = time.Second
	maxCallerPause = 3 * time.Second
	pauseNotice    = 500 * time.Millisecond
	pauseRequests  = 2
)

// statementFaults are what targets say of themselves in answers.
var statementFaults = []fault{
	{"leaving_engine", func(r *run, rng *rand.Rand) func() { return r.leaveByAnswers(rng, &r.engines, r.addEngine) }},
	{"leaving_app", func(r *run, rng *rand.Rand) func() { return r.leaveByAnswers(rng, &r.apps, r.addApp) }},
	{"paused", (*run).pauseTargets},
	{"paused", (*run).pauseTargets},
}

// pauseTargets lets some targets refuse with Retry-After: all requests for one to three
// seconds, or a few requests only.
func (r *run) pauseTargets(rng *rand.Rand) func() {
	all := r.living()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	d := minPause + time.Duration(rng.Int64N(int64(maxCallerPause-minPause)))
	few := rng.IntN(3) == 0
	for _, t := range all[:1+rng.IntN(len(all)/2)] {
		if few {
			t.TurnAway(1+rng.IntN(3), strconv.Itoa(1+rng.IntN(3)))
		} else {
			t.PauseCallers(d)
		}
	}
	return nil
}

// living returns the targets that run.
func (r *run) living() []*engine.Target {
	return append(append(append([]*engine.Target(nil), r.engines...), r.apps...), r.others...)
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
		r.removeEntry(t)
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

// checkReportedLeaving checks that no request reaches a target later than the drain time after
// the store had acknowledged that the target leaves.
func (r *run) checkReportedLeaving() {
	arrivals := arrivalsByID(r.allTargets())
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for _, a := range r.checker.answers {
		for _, at := range arrivals[a.id] {
			if reported := at.target.ReportedLeaving(); !reported.IsZero() && r.afterReport(a, at.Arrival, reported) {
				r.checker.fail("DRAIN: %s %s, sent to %s at %s, reached %s %v after the store had acknowledged that it leaves",
					a.kind, a.id, a.vm.name, a.sent.Format(clock), at.target.Settings.ID, at.At.Sub(reported))
			}
		}
	}
}

// afterReport reports whether a request that reached a target which had reported to leave is
// a violation: only VMs in touch are bound, and only by what a stable store acknowledged.
func (r *run) afterReport(a answer, at engine.Arrival, reported time.Time) bool {
	return !at.Misdirected && at.At.After(reported.Add(drain)) &&
		len(r.storeTimeline.between(reported.Add(-stabilityWindow), reported)) == 0 && r.inTouch(a.vm, a.sent, at.At)
}

// checkPauses checks that targets get no more than pauseRequests from a VM between the notice
// after a refusal with Retry-After and the end of that time.
func (r *run) checkPauses() {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	senders := map[string]*vm{}
	for _, a := range r.checker.answers {
		senders[a.id] = a.vm
	}
	for _, t := range r.allTargets() {
		from := map[*vm][]engine.Arrival{}
		for _, a := range t.Arrivals() {
			if v := senders[a.ID]; v != nil {
				from[v] = append(from[v], a)
			}
		}
		for v, arrivals := range from {
			for _, refused := range arrivals {
				if ids, last := duringPause(refused, arrivals); len(ids) > pauseRequests &&
					len(v.timeline.between(refused.AnsweredAt, last, restarted, frozen, cut)) == 0 {
					r.checker.fail("BUDGET: %s got %d requests from %s between %v after it had refused %s at %s and the end of Retry-After %v: %s",
						t.Settings.ID, len(ids), v.name, pauseNotice, refused.ID, refused.AnsweredAt.Format(clock), refused.Pause, strings.Join(ids, " "))
					break // the refusals of one pause tell the same
				}
			}
		}
	}
}

// duringPause returns the requests that arrived while a pause bound their VM, and the time of
// the first one too many.
func duringPause(refused engine.Arrival, arrivals []engine.Arrival) (ids []string, tooMany time.Time) {
	for _, a := range arrivals {
		if refused.TurnedAway && a.At.After(refused.AnsweredAt.Add(pauseNotice)) && a.At.Before(refused.AnsweredAt.Add(refused.Pause)) {
			if ids = append(ids, a.ID); len(ids) == pauseRequests+1 {
				tooMany = a.At
			}
		}
	}
	return ids, tooMany
}
