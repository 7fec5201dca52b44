package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// returnGrace is the time after the store's return within which targets whose
	// descriptions lapsed meanwhile enter them again. Those that are still missing
	// then are gone.
	returnGrace = 2500 * time.Millisecond
	// removalMemory is the time for which removed targets are remembered, so that
	// other VMs can be told and late descriptions are recognised.
	removalMemory = 2 * time.Minute
)

// Described is a target's description with the revision of the store at which it
// was written.
type Described struct {
	Target   Target
	Revision int64
}

// Row is what is known of one target.
type Row struct {
	Target   Target
	Revision int64         // of the store, at the last change that other VMs need to know
	Missing  bool          // not in the store any more
	Kept     time.Duration // within which a missing target may enter itself again
}

// Changes are the rows that have changed after a revision of the store.
type Changes struct {
	Since int64 // the receiver knows all up to this revision
	AsOf  int64 // with the rows it does up to this one
	Full  bool  // targets without a row are gone
	Rows  []Row
}

// Registry is the table of targets. VMs exchange its changes by revisions of the
// store, so that what one VM has read is never replaced by what another one read
// before. It takes its time from the caller and is not safe for concurrent use.
type Registry struct {
	rows  map[string]*entry
	asOf  int64 // the rows are complete up to this revision
	floor int64 // removals before this revision may be unknown

	outage     bool  // this VM does not reach the store
	outageAsOf int64 // what was known when that began
	returnedAt time.Time
}

type entry struct {
	Row
	missingAt time.Time
	keptTo    time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{rows: map[string]*entry{}} }

// AsOf returns the revision of the store up to which all changes are known.
func (r *Registry) AsOf() int64 { return r.asOf }

// Reached tells that the store was read up to a revision.
func (r *Registry) Reached(revision int64) { r.asOf = max(r.asOf, revision) }

// Put enters a description. It reports whether the description is news.
func (r *Registry) Put(d Described) bool {
	known := r.rows[d.Target.ID]
	if known == nil {
		r.rows[d.Target.ID] = &entry{Row: Row{Target: d.Target, Revision: d.Revision}}
		return true
	}
	old := &known.Target
	if d.Revision < known.Revision || d.Target.Born < old.Born {
		return false
	}
	if d.Target.Born == old.Born {
		if d.Target.Sequence < old.Sequence {
			return false
		}
		d.Target.Leaving = d.Target.Leaving || old.Leaving
	}
	if known.Missing || !sameForOthers(old, &d.Target) {
		known.Revision = d.Revision
	}
	known.Target, known.Missing = d.Target, false
	return true
}

// sameForOthers compares what VMs that own no group need to know. The adapters that
// a target holds change all the time.
func sameForOthers(a, b *Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Born == b.Born && a.Leaving == b.Leaving
}

// Remove enters that a target is not in the store any more, as of a revision.
func (r *Registry) Remove(now time.Time, id string, revision int64) {
	known := r.rows[id]
	if known == nil || known.Missing || revision < known.Revision {
		return
	}
	known.Missing, known.Revision, known.missingAt, known.keptTo = true, revision, now, time.Time{}
	switch {
	case known.Target.Leaving:
	case r.outage:
		known.keptTo = now.Add(returnGrace)
	case !r.returnedAt.IsZero():
		known.keptTo = r.returnedAt.Add(returnGrace)
	}
}

// Replace enters a whole list that was read at a revision.
func (r *Registry) Replace(now time.Time, targets []Described, revision int64) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Target.ID] = true
		r.Put(t)
	}
	for id := range r.rows {
		if !listed[id] {
			r.Remove(now, id, revision)
		}
	}
	r.asOf, r.floor = max(r.asOf, revision), max(r.floor, revision)
}

// SetOutage tells whether this VM reaches the store.
func (r *Registry) SetOutage(now time.Time, outage bool) {
	switch {
	case outage && !r.outage:
		r.outageAsOf = r.asOf
	case !outage && r.outage:
		r.returnedAt = now
	}
	r.outage = outage
}

// Targets returns the present targets in order of their identifiers. A target that
// lapsed around an outage of the store is present until it had the time to enter
// itself again.
func (r *Registry) Targets(now time.Time) []Target {
	targets := make([]Target, 0, len(r.rows))
	for id, e := range r.rows {
		switch {
		case !e.Missing || now.Before(e.keptTo):
			targets = append(targets, e.Target)
		case now.Sub(e.missingAt) > removalMemory:
			r.floor = max(r.floor, e.Revision)
			delete(r.rows, id)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// Settling reports whether missing targets were kept at a time, so that Targets has
// to be asked again.
func (r *Registry) Settling(at time.Time) bool {
	for _, e := range r.rows {
		if e.Missing && at.Before(e.keptTo) {
			return true
		}
	}
	return false
}

// Since returns what a VM that knows all up to a revision has to be told.
func (r *Registry) Since(now time.Time, revision int64) Changes {
	c := Changes{Since: revision, AsOf: r.asOf, Full: revision < r.floor}
	for _, e := range r.rows {
		row := e.Row
		row.Kept = max(0, e.keptTo.Sub(now))
		gone := row.Missing && row.Kept == 0
		if c.Full && !gone || !c.Full && row.Revision > revision {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b Row) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return c
}

// Apply enters what another VM knows. Rows that are not newer than this VM's own are
// left out.
func (r *Registry) Apply(now time.Time, c Changes) {
	if c.AsOf < r.asOf {
		return
	}
	listed := make(map[string]bool, len(c.Rows))
	for _, row := range c.Rows {
		listed[row.Target.ID] = true
		r.applyRow(now, row)
	}
	if c.Full {
		for id, e := range r.rows {
			if !listed[id] && !e.Missing {
				e.Missing, e.Revision, e.missingAt, e.keptTo = true, c.AsOf, now, time.Time{}
			}
		}
		r.floor = max(r.floor, c.AsOf)
	}
	if c.Full || c.Since <= r.asOf {
		r.asOf = c.AsOf
	}
	if r.outage && r.asOf > r.outageAsOf {
		r.outage, r.returnedAt = false, time.Time{} // others reach the store, so nothing lapsed
	}
}

func (r *Registry) applyRow(now time.Time, row Row) {
	known := r.rows[row.Target.ID]
	if known != nil && row.Revision <= known.Revision {
		return
	}
	if known != nil && known.Target.Born == row.Target.Born {
		row.Target.Leaving = row.Target.Leaving || known.Target.Leaving
	}
	e := &entry{Row: row}
	if row.Missing {
		e.missingAt, e.keptTo = now, now.Add(row.Kept)
	}
	r.rows[row.Target.ID] = e
}
