package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

const killSignal = syscall.SIGKILL

// fault is one kind of disturbance. It returns how it is undone, nil if it need not be.
type fault struct {
	name string
	do   func(*run, *rand.Rand) (undo func())
}

func (r *run) anyVM(rng *rand.Rand) *vm { return r.vms[rng.IntN(len(r.vms))] }

// restart ends a process with a signal and starts it again, beside the other faults.
func restart(name string, s syscall.Signal) fault {
	return fault{name, func(r *run, rng *rand.Rand) func() {
		v := r.anyVM(rng)
		go func() { _ = v.restart(s) }()
		return nil
	}}
}

func storeFault(name string, f metastore.Fault) fault {
	return fault{name, func(r *run, rng *rand.Rand) func() {
		end := r.storeTimeline.begin(disrupted)
		r.store.SetFault(f)
		return func() { r.store.SetFault(metastore.None); end() }
	}}
}

func linkFault(name string, silent, oneWay bool, delay time.Duration) fault {
	return fault{name, func(r *run, rng *rand.Rand) func() {
		v := r.anyVM(rng)
		end := v.timeline.begin(cut)
		v.store.Set(silent, oneWay, delay)
		return func() { v.store.Set(false, false, 0); end() }
	}}
}

func answerFault(name string, f engine.Fault) fault {
	return fault{name, func(r *run, rng *rand.Rand) func() {
		t := r.targets[rng.IntN(len(r.targets))]
		t.SetFault(f, 3+rng.IntN(10))
		return nil
	}}
}

var faults = []fault{
	restart("kill", syscall.SIGKILL), restart("kill", syscall.SIGKILL), restart("term", syscall.SIGTERM),
	{"pause", func(r *run, rng *rand.Rand) func() {
		v := r.anyVM(rng)
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	}},
	{"hup", func(r *run, rng *rand.Rand) func() { r.anyVM(rng).signal(syscall.SIGHUP); return nil }},
	{"kill_all", func(r *run, rng *rand.Rand) func() {
		for _, v := range r.vms {
			go func() { _ = v.restart(syscall.SIGKILL) }()
		}
		return nil
	}},
	storeFault("store_refuses", metastore.Refuse), storeFault("store_silent", metastore.Silent), storeFault("store_loses", metastore.Lost),
	{"store_compacts", func(r *run, _ *rand.Rand) func() {
		r.storeTimeline.begin(disrupted)()
		r.store.Compact()
		return nil
	}},
	linkFault("link_silent", true, false, 0), linkFault("link_one_way", false, true, 0), linkFault("link_slow", false, false, 150*time.Millisecond),
	{"link_reset", func(r *run, rng *rand.Rand) func() { r.anyVM(rng).resetLink(); return nil }},
	answerFault("reset", engine.Reset), answerFault("cut", engine.Cut), answerFault("mute", engine.Mute), answerFault("failing", engine.Failing),
	answerFault("full", engine.Full), answerFault("foreign", engine.Foreign), answerFault("garbage", engine.Garbage), answerFault("extra", engine.Extra),
	{"orders_lost", func(r *run, rng *rand.Rand) func() {
		r.engines[rng.IntN(len(r.engines))].LoseOrders(1 + rng.IntN(4))
		return nil
	}},
	{"engine_crash", (*run).crashEngine},
	{"engine_leaves", (*run).retireEngine},
	{"config", func(r *run, rng *rand.Rand) func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.configure() // cannot fail on a value of this package
		return nil
	}},
	{"version", (*run).announce},
}

// crashEngine ends an engine; another one comes in its place.
func (r *run) crashEngine(rng *rand.Rand) func() {
	i := rng.IntN(len(r.engines))
	t := r.engines[i]
	t.Crash()
	r.engines = append(r.engines[:i], r.engines[i+1:]...)
	return func() {
		r.removeEntry(t)
		_ = r.addEngine(i) // the run shows that it is missing
	}
}

// retireEngine lets an engine leave as planned.
func (r *run) retireEngine(rng *rand.Rand) func() {
	i := rng.IntN(len(r.engines))
	t := r.engines[i]
	_ = r.addEngine(i)
	_ = t.Leave()
	r.engines = append(r.engines[:i], r.engines[i+1:]...)
	time.AfterFunc(5*time.Second, func() {
		r.removeEntry(t)
		t.Crash()
	})
	return nil
}

func (r *run) announce(rng *rand.Rand) func() {
	name := fmt.Sprintf("a%d", rng.IntN(adapters))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[name] = max(1, r.versions[name]) + 1
	for _, t := range r.engines {
		t.Announce(name, r.versions[name])
	}
	r.writeVersion(name)
	return nil
}

// writeVersion writes the newest version of an adapter. The caller holds the lock.
func (r *run) writeVersion(name string) {
	spec := map[string]any{"model": model, "adapter": name, "version": r.versions[name]}
	_ = r.store.Put("versions", model+"."+name, spec) // cannot fail on a value of this package
}

// series is a sequence of faults, with a schedule of its own.
type series struct {
	kinds []fault
	rng   *rand.Rand
	pause time.Duration // longest time between two faults
	next  time.Time
}

// maxPause is the longest time between two faults of a series.
const maxPause = 1200 * time.Millisecond

type pending struct {
	at   time.Time
	undo func()
}

// inject begins the next fault of the series.
func (s *series) inject(r *run) (undos []pending) {
	f := s.kinds[s.rng.IntN(len(s.kinds))]
	if len(r.engines) > 1 || f.name != "engine_crash" {
		r.faults[f.name]++
		if undo := f.do(r, s.rng); undo != nil {
			undos = append(undos, pending{time.Now().Add(time.Duration(300+s.rng.IntN(4000)) * time.Millisecond), undo})
		}
	}
	s.next = time.Now().Add(time.Duration(s.rng.Int64N(int64(s.pause/time.Millisecond))) * time.Millisecond)
	return undos
}

// schedule returns the series of this run.
func (r *run) schedule() []*series {
	seed := r.options.Seed
	calm := []*series{
		{kinds: plannedFaults, rng: rand.New(rand.NewPCG(seed, seed+1)), pause: maxPause},
		{kinds: statementFaults, rng: rand.New(rand.NewPCG(seed, seed+2)), pause: 4 * maxPause},
		{kinds: limitFaults, rng: rand.New(rand.NewPCG(seed, seed+3)), pause: 8 * maxPause},
		{kinds: rollFaults, rng: rand.New(rand.NewPCG(seed, seed+4)), pause: 8 * maxPause},
	}
	if r.options.HardLoad {
		calm = append(calm, &series{kinds: hardLoadFaults, rng: rand.New(rand.NewPCG(seed, seed+6)), pause: 2 * maxPause})
	}
	if r.options.Planned {
		return calm
	}
	all := append(calm, &series{kinds: faults, rng: r.rng, pause: maxPause})
	if r.restores() {
		all = append(all, &series{kinds: restoreFaults, rng: rand.New(rand.NewPCG(seed, seed+5)), pause: 4 * maxPause})
	}
	return all
}

// disturb injects faults for a time. They come in series and overlap.
func (r *run) disturb(d time.Duration) {
	schedule := r.schedule()
	var undos []pending
	for end := time.Now().Add(d); time.Now().Before(end); {
		s := schedule[0]
		for _, other := range schedule[1:] {
			if other.next.Before(s.next) {
				s = other
			}
		}
		time.Sleep(time.Until(s.next))
		rest := undos[:0]
		for _, p := range undos {
			if time.Now().After(p.at) {
				p.undo()
			} else {
				rest = append(rest, p)
			}
		}
		undos = append(rest, s.inject(r)...)
	}
	for _, p := range undos {
		p.undo()
	}
}

// heal ends all faults and lets restarts finish.
func (r *run) heal() {
	r.store.SetFault(metastore.None)
	for _, v := range r.vms {
		v.store.Set(false, false, 0)
		v.resetLink()
		v.signal(syscall.SIGCONT)
	}
	for _, t := range r.allTargets() {
		t.FallSilent(0)
		t.PauseCallers(0)
		t.SetFault(engine.None, 0)
		t.LoseOrders(0)
	}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		up := 0
		for _, v := range r.vms {
			if v.isReady() {
				up++
			}
		}
		if up == len(r.vms) {
			return
		}
	}
}
