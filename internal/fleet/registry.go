package fleet

import (
	"slices"
	"strings"
	"time"

	"cicadaslip/internal/objectstore"
)

const (
	// reregistrationGrace is how long after the store's recovery a target whose
	// description lapsed around the outage remains in the table. A target that has
	// not registered again by then is removed.
	reregistrationGrace = 2500 * time.Millisecond
	// removalRetention is how long a removed target is remembered, so that its
	// removal can be sent to other VMs and late descriptions are recognised.
	removalRetention = 2 * time.Minute
	// singleFailure is the longest time between the begin of a failed call and the next success
	// for which the failure may be that of one connection while the store is well.
	singleFailure = 2500 * time.Millisecond
	// expiryMargin is the time in which a target that is kept no longer leaves the table.
	expiryMargin = 300 * time.Millisecond
	// maxRecoveryLead is the longest time before the first success after several failures at which
	// the store counts as having returned. Targets register again within about two seconds.
	maxRecoveryLead = 500 * time.Millisecond
	// reappearanceHold is how long a target that was gone before the store was restored must
	// remain listed by the restored store before it is used again, unless it describes
	// itself anew. It is longer than the lease of a description (3.6 s), so that the
	// descriptions of targets that have ended lapse first.
	reappearanceHold = 6 * time.Second
)

// StoredTarget is a target's description with the position in the store's history at
// which it was written.
type StoredTarget struct {
	Target   Target
	Revision objectstore.Position
}

// Row is the registry's record of one target. VMs send it to each other with gob,
// so its field names are part of the protocol.
type Row struct {
	Target   Target
	Revision objectstore.Position // of the last change that other VMs need to know
	Missing  bool                 // whether the target's description is gone from the store
	Kept     time.Duration        // remaining time for a missing target to register again
}

// Changes holds the rows that changed after a position in the store's history. VMs send
// it to each other with gob, so its field names are part of the protocol.
type Changes struct {
	Since objectstore.Position // up to which the receiver said that it knows all changes
	AsOf  objectstore.Position // up to which the receiver knows all changes once it has applied the rows
	Full  bool                 // whether Rows lists every present target, so that targets without a row are gone
	Rows  []Row
}

// Registry is the table of targets. VMs exchange changes of the table by position in the
// store's history, so that what one VM has read is never replaced by an older state that
// another VM has read. After the store was restored from a copy, the table follows the
// restored store, except that an incarnation of a target that has left or was gone is not
// used again because the copy still lists it. The caller passes in the time. A Registry is
// not safe for concurrent use.
type Registry struct {
	rows         map[string]*entry
	asOf         objectstore.Position // up to which the rows are complete
	removalFloor objectstore.Position // removals before it may be unknown

	storeOutage      bool                 // whether this VM cannot reach the store
	outageRevision   objectstore.Position // asOf when the outage began
	outageCalls      int                  // failed calls in the outage
	lastFailureBegan time.Time            // begin of the last failed call
	storeRecoveredAt time.Time            // end of the last outage; zero if there was none or other VMs reached the store in it
}

type entry struct {
	Row
	missingAt    time.Time // when the target's description was found missing
	retainUntil  time.Time // until when a missing target remains in the table
	reappearedAt time.Time // when a target that was gone was first listed again without news of it, zero if it is not
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{rows: map[string]*entry{}} }

// AsOf returns the position up to which all changes are known.
func (r *Registry) AsOf() objectstore.Position { return r.asOf }

// AdvanceTo records that all changes in the store up to a position have been entered.
func (r *Registry) AdvanceTo(at objectstore.Position) { r.asOf = max(r.asOf, at) }

// Put adds or updates a target. It returns false and keeps the target as it is if the
// description is older than what is known of the target.
func (r *Registry) Put(now time.Time, stored StoredTarget) bool {
	current := r.rows[stored.Target.ID]
	if current == nil {
		r.rows[stored.Target.ID] = &entry{Row: Row{Target: stored.Target, Revision: stored.Revision}}
		return true
	}
	previous := &current.Target
	if stored.Revision < current.Revision || stored.Target.Born < previous.Born {
		return false
	}
	if current.goneBeforeRestore(&stored.Target, stored.Revision) {
		current.noteReappearance(now)
		return false
	}
	if stored.Target.Born == previous.Born {
		if stored.Target.Sequence < previous.Sequence {
			return false
		}
		stored.Target.Leaving = stored.Target.Leaving || previous.Leaving
	}
	if current.Missing || !equalForRouting(previous, &stored.Target) || stored.Revision.Era() > current.Revision.Era() {
		current.Revision = stored.Revision
	}
	current.Target, current.Missing, current.reappearedAt = stored.Target, false, time.Time{}
	return true
}

// goneBeforeRestore reports whether a description from a restored store says no more about
// a target than was known when its incarnation was found gone, in an earlier era.
func (e *entry) goneBeforeRestore(t *Target, at objectstore.Position) bool {
	return e.Missing && t.Born == e.Target.Born && at.Era() > e.Revision.Era() &&
		(e.Target.Leaving || t.Sequence <= e.Target.Sequence)
}

// equalForRouting reports whether two descriptions agree in the fields that VMs need
// if they own no group. The loaded adapters are not among them, because they change
// all the time.
func equalForRouting(a, b *Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Born == b.Born && a.Leaving == b.Leaving
}

func (e *entry) noteReappearance(now time.Time) {
	if e.reappearedAt.IsZero() {
		e.reappearedAt = now
	}
}

// Remove marks a target as missing from the store as of a position. Unless the target
// was leaving or is unknown, it stays in the table for reregistrationGrace if its removal may be the
// result of a store outage.
func (r *Registry) Remove(now time.Time, id string, at objectstore.Position) {
	current := r.rows[id]
	if current == nil {
		// Another VM may have seen the target in the meantime.
		r.rows[id] = &entry{Row: Row{Target: Target{ID: id}, Revision: at, Missing: true}, missingAt: now}
		return
	}
	if at < current.Revision {
		return
	}
	if current.Missing {
		// The target has come and gone since, and another VM may have seen it.
		current.Revision, current.missingAt, current.reappearedAt = at, now, time.Time{}
		return
	}
	current.Missing, current.Revision, current.missingAt, current.retainUntil = true, at, now, time.Time{}
	switch {
	case current.Target.Leaving:
	case r.storeOutage: // the answer that shows the removal ends it
		current.retainUntil = r.recoveredAt(now).Add(reregistrationGrace)
	case !r.storeRecoveredAt.IsZero():
		current.retainUntil = r.storeRecoveredAt.Add(reregistrationGrace)
	}
}

// Withdraw removes a target whose description, as of a position, can't be used. Unlike one whose
// description is missing, it has not lapsed in an outage of the store and is not kept.
func (r *Registry) Withdraw(now time.Time, id string, at objectstore.Position) {
	if id == "" {
		return
	}
	r.Remove(now, id, at)
	if e := r.rows[id]; e.Missing {
		e.retainUntil = time.Time{}
	}
}

// Replace replaces the table by the full list of targets that was read at a position.
func (r *Registry) Replace(now time.Time, targets []StoredTarget, at objectstore.Position) {
	r.enterEra(now, at)
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Target.ID] = true
		r.Put(now, t)
		switch e := r.rows[t.Target.ID]; {
		case e.Missing && t.Target.Born == e.Target.Born:
			e.noteReappearance(now)
		case !e.Missing && !equalForRouting(&e.Target, &t.Target):
			e.Revision = max(e.Revision, after(at)) // VMs that only know the restored copy need this VM's newer row
		}
	}
	for id, e := range r.rows {
		switch {
		case listed[id]:
		case e.Missing:
			e.reappearedAt = time.Time{}
		default:
			r.Remove(now, id, at)
		}
	}
	r.asOf, r.removalFloor = max(r.asOf, at), max(r.removalFloor, at)
}

// after returns the position of a row that VMs are to get which know all changes up to a
// position: this VM knows something that the store does not have, or did not change.
func after(at objectstore.Position) objectstore.Position { return at + 1 }

// enterEra notes that the store was restored, if a position shows it: targets that had
// registered after the copy was made need time to register again, as after an outage.
func (r *Registry) enterEra(now time.Time, at objectstore.Position) {
	if r.asOf > 0 && at.Era() > r.asOf.Era() {
		r.storeRecoveredAt = now
	}
}

// StoreCalled records that a call to the store, made by this VM, ended now, and whether it
// failed.
func (r *Registry) StoreCalled(now, began time.Time, failed bool) {
	switch {
	case failed:
		if !r.storeOutage {
			r.storeOutage, r.outageRevision, r.outageCalls = true, r.asOf, 0
		}
		r.outageCalls++
		r.lastFailureBegan = began
	case r.storeOutage:
		r.storeOutage, r.storeRecoveredAt = false, r.recoveredAt(now)
	}
}

// recoveredAt estimates when the store returned, given that it has answered now for the first
// time after an outage. A watch that waits while the store falls silent fails long after the
// store's return, and a connection may fail while the store is well. After a single failure the
// store therefore counts as well since the begin of the failed call, so that a target that was
// removed since leaves the table in time. After several failures the store has returned between
// the begin of the last of them and now.
func (r *Registry) recoveredAt(now time.Time) time.Time {
	unknown := now.Sub(r.lastFailureBegan)
	if r.outageCalls == 1 && unknown < singleFailure {
		return r.lastFailureBegan.Add(-expiryMargin)
	}
	return now.Add(-min(unknown/2, maxRecoveryLead))
}

// Targets returns the present targets, sorted by ID. A target whose description lapsed
// around a store outage remains present until reregistrationGrace has passed, so that
// it has time to register again.
func (r *Registry) Targets(now time.Time) []Target {
	targets := make([]Target, 0, len(r.rows))
	for id, e := range r.rows {
		if e.stillListed(now) {
			e.Missing, e.Revision, e.reappearedAt = false, after(r.asOf), time.Time{}
		}
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

// stillListed reports whether a restored store has listed a target that was gone before for
// so long that the target must live, and has not left.
func (e *entry) stillListed(now time.Time) bool {
	return e.Missing && !e.Target.Leaving && !e.reappearedAt.IsZero() && now.Sub(e.reappearedAt) > reappearanceHold
}

// CountMissing returns the number of targets in use whose descriptions are missing.
func (r *Registry) CountMissing(now time.Time) int {
	count := 0
	for _, e := range r.rows {
		if e.Missing && now.Before(e.retainUntil) {
			count++
		}
	}
	return count
}

// RetainsMissing reports whether the table contained missing targets at a time that are
// used for some more time, or will be used after some time. If so, the result of Targets may
// have changed since.
func (r *Registry) RetainsMissing(at time.Time) bool {
	for _, e := range r.rows {
		if e.Missing && (at.Before(e.retainUntil) || !e.reappearedAt.IsZero()) {
			return true
		}
	}
	return false
}

// ChangesSince returns the changes to send to a VM that knows all changes up to a
// position. If removals after that position may have been forgotten, it returns the
// full table.
func (r *Registry) ChangesSince(now time.Time, since objectstore.Position) Changes {
	c := Changes{Since: since, AsOf: r.asOf, Full: since < r.removalFloor}
	for _, e := range r.rows {
		row := e.Row
		row.Kept = max(0, e.retainUntil.Sub(now))
		removed := row.Missing && row.Kept == 0 && e.reappearedAt.IsZero()
		if c.Full && !removed || !c.Full && row.Revision > since {
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
	newEra := r.asOf > 0 && c.AsOf.Era() > r.asOf.Era()
	r.enterEra(now, c.AsOf)
	listed := make(map[string]bool, len(c.Rows))
	for _, row := range c.Rows {
		listed[row.Target.ID] = true
		r.applyRow(now, row, c.AsOf)
	}
	if c.Full {
		for id, e := range r.rows {
			switch {
			case listed[id]:
			case e.Missing:
				e.reappearedAt = time.Time{}
			case newEra:
				r.Remove(now, id, c.AsOf) // the other VM may never have known the target
			default:
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

// supersedes reports whether a row is more recent than another one of the same target. Rows
// that follow a position, rather than a change of the store, may have that of a later change.
func (r *Row) supersedes(other *Row) bool {
	switch {
	case r.Revision != other.Revision:
		return r.Revision > other.Revision
	case r.Missing != other.Missing:
		return r.Missing
	case r.Target.Born != other.Target.Born:
		return r.Target.Born > other.Target.Born
	}
	return r.Target.Sequence > other.Target.Sequence
}

// applyRow stores a row from another VM, which knows all changes up to a position, unless
// this VM's row is at least as recent. What this VM knows of an incarnation of the target that
// has left or was gone, or of a later incarnation, outlasts a row that does not tell of it.
func (r *Registry) applyRow(now time.Time, row Row, asOf objectstore.Position) {
	current := r.rows[row.Target.ID]
	if current != nil && !row.supersedes(&current.Row) {
		return
	}
	if current != nil {
		switch {
		case !row.Missing && row.Target.Born < current.Target.Born:
			current.Revision = after(asOf) // the other VM does not know this start of the target
			return
		case !row.Missing && current.goneBeforeRestore(&row.Target, row.Revision):
			current.noteReappearance(now)
			return
		case row.Missing && row.Target.Born < current.Target.Born:
			row.Target = current.Target
		case row.Target.Born == current.Target.Born && current.Target.Leaving && !row.Target.Leaving:
			row.Target.Leaving = true
			if !row.Missing {
				row.Revision = after(asOf) // the other VM does not know
			}
		}
		switch {
		case row.Target.Leaving:
			row.Kept = 0
		case current.Missing:
			row.Kept = max(0, current.retainUntil.Sub(now))
		}
	}
	e := &entry{Row: row}
	if row.Missing {
		e.missingAt, e.retainUntil = now, now.Add(row.Kept)
	}
	r.rows[row.Target.ID] = e
}
