package quarantine

import "time"

// Since returns what the table has learned after a version of it, or everything if it has
// not reached that version.
func (t *Table) Since(version uint64) Delta {
	return t.since(version, func(string) bool { return true })
}

// OwnSince is like Since, but leaves out what other VMs have seen. It is for VMs that other
// VMs do not call.
func (t *Table) OwnSince(version uint64) Delta {
	return t.since(version, func(origin string) bool { return origin == t.opt.Origin })
}

// since returns the facts after a version that come from certain origins.
func (t *Table) since(version uint64, from func(origin string) bool) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.version {
		version = 0
	}
	d := Delta{Version: t.version}
	if version == t.version {
		return d
	}
	now := t.opt.Now()
	for i := range t.observations {
		if o := &t.observations[i]; o.changed > version && from(o.Origin) {
			sent := o.Observation
			sent.Age = now - o.at
			d.Observations = append(d.Observations, sent)
		}
	}
	for part, p := range t.progress {
		if p.changed > version && from(p.origin) {
			d.Progress = append(d.Progress, Progress{Part: part, Origin: p.origin, Count: p.counts[p.origin], Age: now - p.at})
		}
	}
	for part, q := range t.quarantined {
		if q.changed > version {
			d.Quarantined = append(d.Quarantined, Quarantined{Part: part, Since: q.since})
		}
	}
	return d
}

// maxAge bounds the ages that other VMs send. What is older has no effect.
const maxAge = 24 * time.Hour

// Merge adds what another VM has sent.
func (t *Table) Merge(d Delta) {
	if len(d.Observations)+len(d.Progress)+len(d.Quarantined) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opt.Now()
	for _, o := range d.Observations {
		if o.Age < Duration {
			t.addObservation(o, now-max(0, o.Age))
		}
	}
	for _, q := range d.Quarantined {
		t.mergeQuarantined(q, now)
	}
	for _, p := range d.Progress {
		if record := t.progressRecord(p.Part); p.Count > record.counts[p.Origin] {
			t.setProgress(p.Part, record, p.Origin, p.Count, now-min(max(-crashSeparation, p.Age), maxAge)) // a release is ahead of its time
		}
	}
	if t.judged != t.version {
		t.judge(now)
	}
}

// mergeQuarantined takes over a quarantine that another VM or an earlier process has
// decided, unless this VM knows a newer one of the part.
func (t *Table) mergeQuarantined(q Quarantined, now time.Duration) {
	wall := t.opt.Wall()
	ended := q.Since <= wall.Add(-Duration).UnixMilli()
	invalid := q.Since > wall.Add(Duration).UnixMilli()
	if known := t.quarantined[q.Part]; ended || invalid || known != nil && known.since >= q.Since {
		return
	}
	wasActive := t.active(q.Part, now)
	t.quarantine(q.Part, q.Since, now)
	if !wasActive && t.active(q.Part, now) {
		t.opt.Changed(Change{Part: q.Part, Blocked: true})
	}
}

// Active returns the quarantined parts.
func (t *Table) Active() []Quarantined {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opt.Now()
	var all []Quarantined
	for part, q := range t.quarantined {
		if t.active(part, now) {
			all = append(all, Quarantined{Part: part, Since: q.since})
		}
	}
	return all
}
