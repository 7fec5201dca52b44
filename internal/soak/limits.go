package soak

import (
	"math/rand/v2"
	"time"

	"cicadaslip/internal/standin/engine"
)

const (
	// limitedTime is how long a target names its limit.
	limitedTime = 12 * time.Second
	// What a target may get in a window: the limit times limitSlack, plus limitExtra, from
	// VMs that passed on the limit at least limitNotice before.
	limitWindow = 4 * time.Second
	limitNotice = 500 * time.Millisecond
	limitSlack  = 1.5
	limitExtra  = 5
)

// limited is the time in which a target names a limit.
type limited struct {
	rate     float64 // requests per second
	from, to time.Time
}

var limitFaults = []fault{{"limited", (*run).limitTarget}}

// limitTarget lets a target name a limit, once in a run.
func (r *run) limitTarget(rng *rand.Rand) func() {
	all := r.living()
	t, rate := all[rng.IntN(len(all))], float64(2+rng.IntN(6))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits[t] != nil {
		return nil
	}
	l := &limited{rate: rate, from: time.Now(), to: time.Now().Add(limitedTime)}
	r.limits[t] = l
	t.NameLimit(rate)
	time.AfterFunc(limitedTime, func() { t.NameLimit(0) })
	return nil
}

// checkLimits checks that targets get no more than their limits allow.
func (r *run) checkLimits() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for t, l := range r.limits {
		r.checkLimit(t, *l)
	}
}

// checkLimit checks one target. The caller holds the locks.
func (r *run) checkLimit(t *engine.Target, l limited) {
	named := map[string]bool{} // requests whose answers named the limit
	var first time.Time
	for _, run := range t.Runs() {
		if run.Limit > 0 {
			named[run.ID] = true
			if first.IsZero() || run.At.Before(first) {
				first = run.At
			}
		}
	}
	if first.IsZero() {
		return
	}
	senders, told := map[string]*vm{}, map[*vm]time.Time{}
	for _, a := range r.checker.answers {
		senders[a.id] = a.vm
		if a.server == t.Settings.ID && named[a.id] && (told[a.vm].IsZero() || a.head.Before(told[a.vm])) {
			told[a.vm] = a.head
		}
	}
	var bound []engine.Arrival // of VMs that know the limit
	for _, a := range t.Arrivals() {
		v := senders[a.ID]
		if v == nil || a.At.Before(first.Add(stabilityWindow)) || a.At.After(l.to) {
			continue
		}
		if at := told[v]; !at.IsZero() && !a.At.Before(at.Add(limitNotice)) && len(v.timeline.between(at, l.to, restarted, frozen, cut)) == 0 {
			bound = append(bound, a)
		}
	}
	allowed := int(l.rate*limitWindow.Seconds()*limitSlack) + limitExtra
	for i, a := range bound {
		if i >= allowed && a.At.Sub(bound[i-allowed].At) < limitWindow {
			r.checker.fail("LIMIT: %s, which takes %v a second, got more than %d requests in the %v before %s",
				t.Settings.ID, l.rate, allowed, limitWindow, a.At.Format(clock))
			return
		}
	}
}
