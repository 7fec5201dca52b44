package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Options holds the dependencies of a Table.
type Options struct {
	Origin string               // name of this VM, and of its process
	Now    func() time.Duration // a clock that advances while the process is paused
	Wall   func() time.Time
	// Changed is called when a part has been quarantined or released. It must not block.
	Changed func(Change)
}

// Table holds what a VM knows about parts that crash targets. It is safe for concurrent
// use.
type Table struct {
	opt Options

	mu           sync.Mutex
	version      uint64 // increases with each change
	number       uint64 // of the last observation of this VM
	observations []observation
	evidenceAt   map[Part]time.Duration // time of the newest observation of each part, nil if it must be made anew
	progress     map[Part]*progress     // of the parts in observations and quarantined parts
	quarantined  map[Part]*quarantined
	recent       history
	judged       uint64        // version at the last judgement
	rejudgeAt    time.Duration // when a settleTime ends that the last judgement waited for
	prunedAt     time.Duration
}

type observation struct {
	Observation
	at      time.Duration
	changed uint64 // version of the table
}

// progress is the newest progress of a part.
type progress struct {
	origin  string
	at      time.Duration
	known   bool
	counts  map[string]uint64 // by origin, of the progress that this VM has heard of
	changed uint64            // version of the table
}

type quarantined struct {
	since   int64         // Unix time in milliseconds
	at      time.Duration // time of the newest crash that it is based on
	changed uint64
}

// New returns an empty table.
func New(opt Options) *Table {
	if opt.Changed == nil {
		opt.Changed = func(Change) {}
	}
	return &Table{opt: opt, progress: map[Part]*progress{}, quarantined: map[Part]*quarantined{}, rejudgeAt: forever}
}

// Blocked returns for how long a request is to be refused because of its parts, 0 if it may
// run.
func (t *Table) Blocked(service string, parts []string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opt.Now()
	if t.judged != t.version || now >= t.rejudgeAt {
		t.judge(now)
	}
	var remaining time.Duration
	for _, id := range parts {
		if part := (Part{service, id}); t.active(part, now) {
			remaining = max(remaining, t.quarantined[part].at+Duration-now)
		}
	}
	return remaining
}

// active reports whether a part is quarantined. Progress of the part ends its quarantine.
func (t *Table) active(part Part, now time.Duration) bool {
	q := t.quarantined[part]
	return q != nil && now < q.at+Duration && t.progressOf(part) <= q.at
}

// Observe records a break.
func (t *Table) Observe(b Break) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	now := t.opt.Now()
	t.addObservation(Observation{Origin: t.opt.Origin, Number: t.number, Break: b}, now)
	t.judge(now)
}

// Suspect reports whether a request with the parts may be the cause of crashes, so that it
// must not be repeated at a further target. Only the last part counts: the earlier ones are
// shared by more requests, most of which are sound.
func (t *Table) Suspect(service string, parts []string) bool {
	if len(parts) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.evidence()[Part{service, parts[len(parts)-1]}]
	return e != nil && e.crashes() >= suspectCrashes
}

// Progressed records that a request has made progress.
func (t *Table) Progressed(service string, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opt.Now()
	for _, id := range parts {
		if len(id) <= maxIDBytes {
			t.recent.add(Part{service, id}, now)
		}
	}
	if len(t.observations)+len(t.quarantined) == 0 {
		return
	}
	changed := false
	for _, id := range parts {
		if part := (Part{service, id}); t.newestEvidence(part) > t.progressOf(part) {
			t.ownProgress(part, now)
			changed = true
		}
	}
	if changed || now-t.prunedAt >= pruneInterval {
		t.prune(now)
	}
}

// Release ends the quarantine of a part, on all VMs.
func (t *Table) Release(part Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.opt.Now(); t.active(part, now) {
		t.ownProgress(part, now+crashSeparation) // later than its newest crash, on all VMs
	}
}

// ownProgress records progress that this VM has seen.
func (t *Table) ownProgress(part Part, at time.Duration) {
	p := t.progressRecord(part)
	t.setProgress(part, p, t.opt.Origin, p.counts[t.opt.Origin]+1, at)
}

// pruneInterval is the time after which progress that changes nothing leads to a look for what can be
// removed.
const pruneInterval = time.Second

// never is the time of an event that has not happened, and forever one that will not.
const (
	never   = time.Duration(-1 << 62)
	forever = time.Duration(1 << 62)
)

// newestEvidence returns the time of the newest observation or quarantine of a part.
func (t *Table) newestEvidence(part Part) time.Duration {
	newest := never
	if t.evidenceAt == nil {
		t.evidenceAt = map[Part]time.Duration{}
		for i := range t.observations {
			t.indexObservation(&t.observations[i])
		}
	}
	if at, found := t.evidenceAt[part]; found {
		newest = at
	}
	if q := t.quarantined[part]; q != nil {
		newest = max(newest, q.at)
	}
	return newest
}

// indexObservation adds an observation to evidenceAt.
func (t *Table) indexObservation(o *observation) {
	for _, id := range o.Break.Parts {
		part := Part{o.Break.Service, id}
		if at, found := t.evidenceAt[part]; !found || at < o.at {
			t.evidenceAt[part] = o.at
		}
	}
}

// bounded returns a break without parts that exceed the bounds.
func (b Break) bounded() Break {
	b.Parts = b.Parts[max(0, len(b.Parts)-maxBreakParts):]
	if slices.ContainsFunc(b.Parts, isTooLong) {
		b.Parts = slices.DeleteFunc(slices.Clone(b.Parts), isTooLong)
	}
	b.Request = b.Request[:min(len(b.Request), maxIDBytes)]
	return b
}

func isTooLong(id string) bool { return len(id) > maxIDBytes }

// progressOf returns the time of the newest known progress of a part.
func (t *Table) progressOf(part Part) time.Duration {
	if p := t.progress[part]; p != nil && p.known {
		return p.at
	}
	return never
}

func (t *Table) progressRecord(part Part) *progress {
	p := t.progress[part]
	if p == nil {
		p = &progress{counts: map[string]uint64{}}
		t.progress[part] = p
	}
	return p
}

// setProgress records the progress that an origin has seen. It is passed on to other VMs only
// if it counts for evidence that no earlier one counts for, because many VMs see progress of
// the same part at nearly the same time.
func (t *Table) setProgress(part Part, p *progress, origin string, count uint64, at time.Duration) {
	now := t.opt.Now()
	wasActive := t.active(part, now)
	p.counts[origin] = count
	if p.known && at <= p.at {
		return
	}
	if !p.known || p.at < t.newestEvidence(part) {
		t.version++
		p.changed = t.version
	}
	p.origin, p.at, p.known = origin, at, true
	if wasActive && !t.active(part, now) {
		t.opt.Changed(Change{Part: part})
	}
}

// addObservation adds an observation unless it is known or counts against no part.
func (t *Table) addObservation(o Observation, at time.Duration) {
	for i := range t.observations {
		if t.observations[i].Origin == o.Origin && t.observations[i].Number == o.Number {
			return
		}
	}
	o.Break = o.Break.bounded()
	for _, id := range o.Break.Parts {
		t.recallProgress(Part{o.Break.Service, id}, at)
	}
	added := observation{Observation: o, at: at}
	if t.cleared(&added) {
		return
	}
	t.version++
	added.changed = t.version
	t.observations = append(t.observations, added)
	if t.evidenceAt != nil {
		t.indexObservation(&added)
	}
	if excess := t.excess(); excess > 0 {
		t.observations = slices.Delete(t.observations, 0, excess)
		t.evidenceAt = nil
	}
}

// excess returns the number of the oldest observations that exceed the bounds.
func (t *Table) excess() int {
	parts := 0
	for i := len(t.observations) - 1; i >= 0; i-- {
		if parts += len(t.observations[i].Break.Parts); parts > maxObservedParts || len(t.observations)-i > maxObservations {
			return i + 1
		}
	}
	return 0
}

// recallProgress lets other VMs know of the progress of a part that they may not have heard
// of, because there was no evidence against the part: progress that this VM has seen, and
// progress after an observation that arrives late.
func (t *Table) recallProgress(part Part, observedAt time.Duration) {
	if last, known := t.recent.find(part); known && last > t.progressOf(part) {
		t.ownProgress(part, last)
	}
	if p := t.progress[part]; p != nil && p.known && p.at >= observedAt {
		t.version++
		p.changed = t.version
	}
}

// cleared reports whether all parts of an observation have made progress since.
func (t *Table) cleared(o *observation) bool {
	return !slices.ContainsFunc(o.Break.Parts, func(id string) bool { return t.progressOf(Part{o.Break.Service, id}) < o.at })
}

// prune removes observations that count for no part any more, and what is known of parts
// without observations.
func (t *Table) prune(now time.Duration) {
	t.prunedAt = now
	before := len(t.observations)
	t.observations = slices.DeleteFunc(t.observations, func(o observation) bool { return now-o.at > Duration || t.cleared(&o) })
	if len(t.observations) < before {
		t.evidenceAt = nil
	}
	for part, q := range t.quarantined {
		if now < q.at+Duration {
			continue
		}
		delete(t.quarantined, part)
		if t.progressOf(part) <= q.at {
			t.opt.Changed(Change{Part: part})
		}
	}
	if len(t.progress) <= maxParts {
		return
	}
	for part := range t.progress {
		if t.newestEvidence(part) == never {
			delete(t.progress, part)
		}
	}
}
