package advisory

import "time"

// Pause is a target that wants no request from this VM for a time. VMs send it to owners with
// gob, so its field names are part of the protocol.
type Pause struct {
	Target string
	Born   int64
	Left   time.Duration // when it was sent
}

// PauseChange is the begin or the end of a pause.
type PauseChange struct {
	Incarnation
	Ended bool
	Left  time.Duration // until the end of a pause that has begun
	Age   time.Duration // since the pause was first stated
}

// notedPause is a pause whose begin PauseChanges has returned.
type notedPause struct {
	born  int64
	since time.Duration
}

// pauses is what the table knows of pauses, apart from their ends.
type pauses struct {
	targets map[string]struct{}   // all that pause, and some whose pauses have ended
	noted   map[string]notedPause // by target
}

func newPauses() pauses {
	return pauses{targets: map[string]struct{}{}, noted: map[string]notedPause{}}
}

// ObservePause records that an answer which arrived at a time asks this VM for a pause.
func (t *Table) ObservePause(heardAt time.Duration, i Incarnation, pause time.Duration) {
	if known := t.records[i.Target]; pause <= 0 || known != nil && known.born > i.Born {
		return
	}
	r := t.record(i)
	if heardAt >= r.pausedUntil {
		r.pausedSince, r.called = heardAt, false
	}
	r.pausedUntil = max(r.pausedUntil, heardAt+pause)
	t.pauses.targets[i.Target] = struct{}{}
}

// PausedFor returns the time for which a target wants no request from this VM, 0 if it takes
// requests.
func (t *Table) PausedFor(now time.Duration, i Incarnation) time.Duration {
	r := t.records[i.Target]
	if r == nil || r.born < i.Born || r.pausedUntil <= now {
		return 0
	}
	return r.pausedUntil - now
}

// TakeCall reports whether this VM may make a call to a target that pauses, which it may once
// until the end of all pauses that overlap. Targets put up with two.
func (t *Table) TakeCall(now time.Duration, i Incarnation) bool {
	if t.PausedFor(now, i) == 0 {
		return true
	}
	r := t.records[i.Target]
	if r.called {
		return false
	}
	r.called = true
	return true
}

// Pauses returns the targets that want no request from this VM now.
func (t *Table) Pauses(now time.Duration) []Pause {
	var all []Pause
	for target := range t.pauses.targets {
		r := t.records[target]
		if r == nil || r.pausedUntil <= now {
			delete(t.pauses.targets, target)
			continue
		}
		all = append(all, Pause{Target: target, Born: r.born, Left: r.pausedUntil - now})
	}
	return all
}

// PauseChanges returns the pauses that have begun or ended since its last call. A pause that
// is stated again before its end goes on.
func (t *Table) PauseChanges(now time.Duration) []PauseChange {
	var changes []PauseChange
	for target, p := range t.pauses.noted {
		i := Incarnation{Target: target, Born: p.born}
		if r := t.records[target]; r == nil || r.born != p.born || r.pausedUntil <= now {
			delete(t.pauses.noted, target)
			changes = append(changes, PauseChange{Incarnation: i, Ended: true, Age: now - p.since})
		}
	}
	for _, p := range t.Pauses(now) {
		if _, noted := t.pauses.noted[p.Target]; noted {
			continue
		}
		r := t.records[p.Target]
		t.pauses.noted[p.Target] = notedPause{born: p.Born, since: r.pausedSince}
		changes = append(changes, PauseChange{Incarnation: Incarnation{Target: p.Target, Born: p.Born}, Left: p.Left, Age: now - r.pausedSince})
	}
	return changes
}
