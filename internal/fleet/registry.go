package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// reregistrationGrace is how long after the store's recovery a target whose
	// description lapsed around the outage remains in the table. A target that has
	// not registered again by then is removed.
	reregistrationGrace = 2500 * time.Millisecond
	// removalRetention is how long a removed target is remembered, so that its
	// removal can be sent to other VMs and late descriptions are recognised.
	removalRetention = 2 * time.Minute
)

// StoredTarget is a target's description with the revision of the store at which
// it was written.
type StoredTarget struct {
	Target   Target
	Revision int64
}

// Row is the registry's record of one target. VMs send it to each other with gob,
// so its field names are part of the protocol.
type Row struct {
	Target   Target
	Revision int64         // store revision of the last change that other VMs need to know
	Missing  bool          // whether the target's description is gone from the store
	Kept     time.Duration // remaining time for a missing target to register again
}

// Changes holds the rows that changed after a revision of the store. VMs send it to
// each other with gob, so its field names are part of the protocol.
type Changes struct {
	Since int64 // revision up to which the receiver said that it knows all changes
	AsOf  int64 // revision up to which the receiver knows all changes once it has applied the rows
	Full  bool  // whether Rows lists every present target, so that targets without a row are gone
	Rows  []Row
}

// Registry is the table of targets. VMs exchange changes of the table by store
// revision, so that what one VM has read is never replaced by an older state that
// another VM has read. The caller passes in the time. A Registry is not safe for
// concurrent use.
type Registry struct {
	rows         map[string]*entry
	asOf         int64 // store revision up to which the rows are complete
	removalFloor int64 // removals before this store revision may be unknown

	storeOutage      bool      // whether this VM cannot reach the store
	outageRevision   int64     // asOf when the outage began
	storeRecoveredAt time.Time // end of the last outage; zero if there was none or other VMs reached the store in it
}

type entry struct {
	Row
	missingAt   time.Time // when the target's description was found missing
	retainUntil time.Time // until when a missing target remains in the table
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{rows: map[string]*entry{}} }

// AsOf returns the revision of the store up to which all changes are known.
func (r *Registry) AsOf() int64 { return r.asOf }

// AdvanceTo records that all changes in the store up to a revision have been entered.
func (r *Registry) AdvanceTo(revision int64) { r.asOf = max(r.asOf, revision) }

// Put adds or updates a target. It returns false and changes nothing if the
// description is older than what is known of the target.
func (r *Registry) Put(stored StoredTarget) bool {
	current := r.rows[stored.Target.ID]
	if current == nil {
		r.rows[stored.Target.ID] = &entry{Row: Row{Target: stored.Target, Revision: stored.Revision}}
		return true
	}
	previous := &current.Target
	if stored.Revision < current.Revision || stored.Target.Born < previous.Born {
		return false
	}
	if stored.Target.Born == previous.Born {
		if stored.Target.Sequence < previous.Sequence {
			return false
		}
		stored.Target.Leaving = stored.Target.Leaving || previous.Leaving
	}
	if current.Missing || !equalForRouting(previous, &stored.Target) {
		current.Revision = stored.Revision
	}
	current.Target, current.Missing = stored.Target, false
	return true
}

// equalForRouting reports whether two descriptions agree in the fields that VMs need
// if they own no group. The loaded adapters are not among them, because they change
// all the time.
func equalForRouting(a, b *Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Born == b.Born && a.Leaving == b.Leaving
}

// Remove marks a target as missing from the store as of a revision. Unless the target
// was leaving or is unknown, it stays in the table for reregistrationGrace if its removal may be the
// result of a store outage.
func (r *Registry) Remove(now time.Time, id string, revision int64) {
	current := r.rows[id]
	if current == nil {
		// Another VM may have seen the target in the meantime.
		r.rows[id] = &entry{Row: Row{Target: Target{ID: id}, Revision: revision, Missing: true}, missingAt: now}
		return
	}
	if revision < current.Revision {
		return
	}
	if current.Missing {
		// The target has come and gone since, and another VM may have seen it.
		current.Revision, current.missingAt = revision, now
		return
	}
	current.Missing, current.Revision, current.missingAt, current.retainUntil = true, revision, now, time.Time{}
	switch {
	case current.Target.Leaving:
	case r.storeOutage:
		current.retainUntil = now.Add(reregistrationGrace)
	case !r.storeRecoveredAt.IsZero():
		current.retainUntil = r.storeRecoveredAt.Add(reregistrationGrace)
	}
}

// Withdraw removes a target whose description, as of a revision, can't be used. Unlike one whose
// description is missing, it has not lapsed in an outage of the store and is not kept.
func (r *Registry) Withdraw(now time.Time, id string, revision int64) {
	if id == "" {
		return
	}
	r.Remove(now, id, revision)
	if e := r.rows[id]; e.Missing {
		e.retainUntil = time.Time{}
	}
}

// Replace replaces the table by the full list of targets that was read at a revision.
func (r *Registry) Replace(now time.Time, targets []StoredTarget, revision int64) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Target.ID] = true
		r.Put(t)
	}
	for id, e := range r.rows {
		if !listed[id] && !e.Missing {
			r.Remove(now, id, revision)
		}
	}
	r.asOf, r.removalFloor = max(r.asOf, revision), max(r.removalFloor, revision)
}

// SetOutage sets whether this VM is unable to reach the store.
func (r *Registry) SetOutage(now time.Time, storeOutage bool) {
	switch {
	case storeOutage && !r.storeOutage:
		r.outageRevision = r.asOf
	case !storeOutage && r.storeOutage:
		r.storeRecoveredAt = now
	}
	r.storeOutage = storeOutage
}

// Targets returns the present targets, sorted by ID. A target whose description lapsed
// around a store outage remains present until reregistrationGrace has passed, so that
// it has time to register again.
func (r *Registry) Targets(now time.Time) []Target {
	targets := make([]Target, 0, len(r.rows))
	for id, e := range r.rows {
		switch {
		case !e.Missing || now.Before(e.retainUntil):
			targets = append(targets, e.Target)
		case now.Sub(e.missingAt) > removalRetention:
			r.removalFloor = max(r.removalFloor, e.Revision)
			delete(r.rows, id)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// RetainsMissing reports whether the table contained missing targets within their grace
// at a time. If so, the result of Targets may have changed since.
func (r *Registry) RetainsMissing(at time.Time) bool {
	for _, e := range r.rows {
		if e.Missing && at.Before(e.retainUntil) {
			return true
		}
	}
	return false
}

// ChangesSince returns the changes to send to a VM that knows all changes up to a
// revision. If removals after that revision may have been forgotten, it returns the
// full table.
func (r *Registry) ChangesSince(now time.Time, revision int64) Changes {
	c := Changes{Since: revision, AsOf: r.asOf, Full: revision < r.removalFloor}
	for _, e := range r.rows {
		row := e.Row
		row.Kept = max(0, e.retainUntil.Sub(now))
		removed := row.Missing && row.Kept == 0
		if c.Full && !removed || !c.Full && row.Revision > revision {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b Row) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return c
}

// Apply merges the changes that another VM has sent. It ignores them all if the other
// VM is behind this one, and otherwise those rows that are not newer than this VM's own.
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
				e.Missing, e.Revision, e.missingAt, e.retainUntil = true, c.AsOf, now, time.Time{}
			}
		}
		r.removalFloor = max(r.removalFloor, c.AsOf)
	}
	if c.Full || c.Since <= r.asOf {
		r.asOf = c.AsOf
	}
	if r.storeOutage && r.asOf > r.outageRevision {
		// The other VM has reached the store, so no description lapsed in an outage.
		r.storeOutage, r.storeRecoveredAt = false, time.Time{}
	}
}

// applyRow stores a row from another VM unless this VM's row is at least as recent.
func (r *Registry) applyRow(now time.Time, row Row) {
	current := r.rows[row.Target.ID]
	if current != nil && row.Revision <= current.Revision {
		return
	}
	if current != nil && current.Target.Born == row.Target.Born {
		row.Target.Leaving = row.Target.Leaving || current.Target.Leaving
	}
	e := &entry{Row: row}
	if row.Missing {
		e.missingAt, e.retainUntil = now, now.Add(row.Kept)
	}
	r.rows[row.Target.ID] = e
}
