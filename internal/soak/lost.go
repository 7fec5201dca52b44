package soak

import (
	"slices"
	"strings"
	"time"

	"cicadaslip/internal/standin/engine"
)

const (
	// stabilityWindow is the time without disturbance after which a VM is in touch.
	stabilityWindow = 4 * time.Second
	// lossSlack is the time after the last byte of a request for which a close may cross it.
	lossSlack = 500 * time.Millisecond
	// lossMargin is the time before the end of a request's time at which its end is no loss.
	lossMargin = 100 * time.Millisecond
	// lateWork is the time after SIGTERM from which requests that are still at work may end,
	// if they were sent whole within lateSends of it.
	lateWork  = grace * 5 / 6
	lateSends = 3 * time.Second
	// lossesInTouch are the requests that VMs in touch may lose in a run with disruptions.
	lossesInTouch = 3
)

// arrival is a request at a target.
type arrival struct {
	engine.Arrival
	target *engine.Target
}

// arrivalsByID returns what reached the targets, by request.
func arrivalsByID(targets []*engine.Target) map[string][]arrival {
	found := map[string][]arrival{}
	for _, t := range targets {
		for _, a := range t.Arrivals() {
			found[a.ID] = append(found[a.ID], arrival{a, t})
		}
	}
	return found
}

// checkLost checks that no request ends without a complete answer while a sound target has it
// and there is time left.
func (r *run) checkLost() {
	arrivals, unsound, runs := arrivalsByID(r.allTargets()), r.unsoundRuns(), runsByID(r.allTargets())
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	var closed []string
	for _, a := range r.checker.answers {
		arrived := len(arrivals[a.id]) > 0
		brokeOff, known := unsound[a.id]
		if !a.lost(arrived, r.timeLimit(a)) || known && brokeOff.Before(a.done) || a.eventBytes > 0 {
			continue // VMs may cut off callers that read slowly
		}
		switch {
		case r.options.Planned:
			if !a.lateAfterTerm(runs[a.id]) {
				r.checker.fail("LOST: %s", a)
			}
		case arrived && a.kept && a.status == 0 && r.inTouch(a.vm, a.sent, a.done):
			closed = append(closed, a.String())
		}
	}
	if len(closed) > lossesInTouch {
		r.checker.fail("LOST: %d requests on kept connections, at VMs in touch: %s", len(closed), strings.Join(closed, "; "))
	}
}

// unsoundRuns returns when requests were spoilt or ended by a target that ran them.
func (r *run) unsoundRuns() map[string]time.Time {
	unsound := map[string]time.Time{}
	for _, t := range r.allTargets() {
		for _, run := range t.Runs() {
			at := t.EndedAt()
			if run.Fault != engine.None {
				at = run.At
			}
			if before, known := unsound[run.ID]; !at.IsZero() && (!known || at.Before(before)) {
				unsound[run.ID] = at
			}
		}
	}
	return unsound
}

// lost reports whether a request that was read whole ended without a complete answer, though
// there was time left. A close may cross a request that reached no target.
func (a answer) lost(arrived bool, limit time.Duration) bool {
	if a.whole || a.written.IsZero() || !arrived && a.done.Sub(a.written) < lossSlack {
		return false
	}
	return a.done.Sub(a.sent) < limit-lossMargin
}

// lateAfterTerm reports whether the end of the grace period of a SIGTERM excuses the loss: a
// target must have been at work on the request until then.
func (a answer) lateAfterTerm(runs []engine.Run) bool {
	for _, s := range a.vm.timeline.between(a.sent, a.done, restarted) {
		late := s.from.Add(lateWork)
		atWork := slices.ContainsFunc(runs, func(run engine.Run) bool { return run.EndedAt.IsZero() || run.EndedAt.After(late) })
		if a.done.After(late) && a.written.Sub(s.from) < lateSends && atWork {
			return true
		}
	}
	return false
}

// inTouch reports whether nothing disturbed a VM or the store from the stability window before
// a time until another time.
func (r *run) inTouch(v *vm, from, to time.Time) bool {
	from = from.Add(-stabilityWindow)
	return len(v.timeline.between(from, to)) == 0 && len(r.storeTimeline.between(from, to)) == 0
}
