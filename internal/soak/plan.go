package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"cicadaslip/internal/standin/engine"
)

// Longest and shortest silences of sound targets, and the time between two of one target.
const (
	minSilence  = time.Second
	maxSilence  = 3 * time.Second
	silenceRest = 500 * time.Millisecond
)

// terms are the parts of a configuration that change.
type terms struct {
	timeout     time.Duration // of all routes
	otherWeight int           // percentage of plain requests that the second service gets
	idle        time.Duration // of callers' connections
}

func firstTerms(r *run) terms {
	return terms{timeout: r.leastTimeout() + 500*time.Millisecond, idle: 15 * time.Second}
}

// leastTimeout is the shortest timeout of routes in this run.
func (r *run) leastTimeout() time.Duration {
	if r.options.Planned {
		return 6 * time.Second
	}
	return 2500 * time.Millisecond
}

// changeTerms draws new terms.
func (r *run) changeTerms(rng *rand.Rand) {
	r.terms = terms{
		timeout:     r.leastTimeout() + time.Duration(rng.IntN(2000))*time.Millisecond,
		otherWeight: []int{0, 10, 50, 100}[rng.IntN(4)],
		idle:        time.Duration(2+rng.IntN(14)) * time.Second,
	}
}

// plannedFaults are those that end no request of a sound system.
var plannedFaults = []fault{
	{"silence", (*run).silenceTargets},
	{"silence", (*run).silenceTargets},
	{"silence", (*run).silenceTargets},
	{"silence", (*run).silenceTargets},
	restart("planned_term", syscall.SIGTERM),
	{"planned_hup", func(r *run, rng *rand.Rand) func() { r.anyVM(rng).signal(syscall.SIGHUP); return nil }},
	{"terms", func(r *run, rng *rand.Rand) func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changeTerms(rng)
		_ = r.configure() // cannot fail on a value of this package
		return nil
	}},
}

// silenceTargets lets some targets fall silent, one in four times all of them.
func (r *run) silenceTargets(rng *rand.Rand) func() {
	all := r.living()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + rng.IntN(len(all))
	if rng.IntN(4) == 0 {
		n = len(all)
	}
	d := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	for _, t := range all[:n] {
		if time.Since(t.SilentUntil()) > silenceRest {
			t.FallSilent(d)
		}
	}
	return nil
}

// addOther starts a target of the second plain service.
func (r *run) addOther(i int) error {
	t, err := engine.Start(engine.Settings{
		ID: fmt.Sprintf("b%d", i), Service: otherService, Zone: zones[i%3], Slots: 6, Pause: 10 * time.Millisecond,
	}, r.store)
	if err != nil {
		return err
	}
	r.others = append(r.others, t)
	return nil
}

func (r *run) allTargets() []*engine.Target {
	return append(append([]*engine.Target(nil), r.targets...), r.others...)
}
