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

// termsInForce are terms and the time at which the store got them.
type termsInForce struct {
	at    time.Time
	terms terms
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

// applyBound is the time in which VMs apply a configuration.
const applyBound = 2500 * time.Millisecond

// timeLimit returns the shortest time limit that a request may have had from its route and its
// caller. Beside disruptions, VMs may use older terms for any time.
func (r *run) timeLimit(a answer) time.Duration {
	if !r.options.Planned {
		return min(r.patience(), r.leastTimeout())
	}
	limit := r.patience()
	for i, t := range r.history {
		replaced := i+1 < len(r.history) && r.history[i+1].at.Add(applyBound).Before(a.sent)
		if t.at.Before(a.done) && !replaced {
			limit = min(limit, t.terms.timeout)
		}
	}
	return limit
}

// plannedFaults are those that end no request of a sound system.
var plannedFaults = []fault{
	{"silence", (*run).silenceTargets},
	{"silence", (*run).silenceTargets},
	{"silence", (*run).silenceTargets},
	{"silence", (*run).silenceTargets},
	restart("planned_term", syscall.SIGTERM),
	{"planned_hup", func(r *run, rng *rand.Rand) func() { r.anyVM(rng).signal(syscall.SIGHUP); return nil }},
	{"terms", func(r *run, rng *rand.Rand) func() { r.nextTerms(rng); return nil }},
}

var rollFaults = []fault{{"roll", (*run).roll}}

// rollTime is the time between the first and the last signal of a rolling restart.
const rollTime = 3 * time.Second

// roll terminates some VMs or all, one after another and without waiting for their ends.
// Between the signals come SIGHUP to VMs that may be stopping, and new configurations.
func (r *run) roll(rng *rand.Rand) func() {
	order := rng.Perm(len(r.vms))
	order = order[:1+rng.IntN(len(order))]
	own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	r.rolls.Go(func() {
		for _, i := range order {
			v := r.vms[i]
			r.rolls.Go(func() { _ = v.restart(syscall.SIGTERM) }) // the run shows that it is missing
			switch own.IntN(3) {
			case 0:
				r.anyVM(own).signal(syscall.SIGHUP)
			case 1:
				r.nextTerms(own)
			}
			time.Sleep(rollTime / time.Duration(len(order)))
		}
	})
	return nil
}

// nextTerms writes a configuration with new terms.
func (r *run) nextTerms(rng *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changeTerms(rng)
	_ = r.configure() // cannot fail on a value of this package
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

// addSlow starts a target of the slow service.
func (r *run) addSlow(i int) error {
	t, err := engine.Start(engine.Settings{
		ID: fmt.Sprintf("c%d", i), Service: slowService, Zone: zones[i%3], Slots: 200, Pause: longWork,
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
