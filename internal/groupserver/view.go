package groupserver

import (
	"slices"
	"sort"
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// view assigns versions to the changes of the resident adapters, so that front ends
// receive only the changes since the version that they have.
type view struct {
	version   uint64
	updatedAt time.Duration
	rows      map[placer.ResidentAdapter]*viewRow // those that are resident
	changes   []viewChange                        // in order of their versions
}

// viewRow is the state of one adapter version on one target.
type viewRow struct {
	placer.ResidentAdapter
	changed uint64 // version of the view in which present last changed
	present bool   // the adapter is resident
	seen    bool   // used within update
}

// viewChange is an adapter version that became resident on a target, or ceased to be.
type viewChange struct {
	version uint64
	row     *viewRow
}

const (
	// maxChanges is the number of changes that are kept. Front ends that lack older ones
	// receive the full view.
	maxChanges = 2000
	// viewUpdateInterval is the shortest time between two updates of the view.
	viewUpdateInterval = 50 * time.Millisecond
)

func newView() view {
	return view{rows: map[placer.ResidentAdapter]*viewRow{}, updatedAt: -viewUpdateInterval}
}

// dueForUpdate reports whether the view is to be updated, and if so, marks it as updated.
func (v *view) dueForUpdate(now time.Duration) bool {
	if now-v.updatedAt < viewUpdateInterval {
		return false
	}
	v.updatedAt = now
	return true
}

// update sets the resident adapters, and increments the version if they changed.
func (v *view) update(resident []placer.ResidentAdapter) {
	next := v.version + 1
	change := func(row *viewRow, present bool) {
		row.present, row.changed = present, next
		v.changes = append(v.changes, viewChange{next, row})
		v.version = next
	}
	for _, r := range resident {
		row := v.rows[r]
		if row == nil {
			row = &viewRow{ResidentAdapter: r}
			v.rows[r] = row
			change(row, true)
		}
		row.seen = true
	}
	for r, row := range v.rows {
		if !row.seen {
			change(row, false)
			delete(v.rows, r)
		}
		row.seen = false
	}
	if excess := len(v.changes) - maxChanges; excess > 0 {
		v.changes = slices.Delete(v.changes, 0, excess)
	}
}

// fillReply adds the changes after a version to a reply. The reply holds the full view if
// the caller has none, lacks changes that are no longer kept, or has a version that this
// view has not reached.
func (v *view) fillReply(version uint64, reply *grouprpc.SyncReply) {
	reply.Version = v.version
	reply.Full = version == 0 || version > v.version || v.dropped(version)
	if reply.Full {
		for r := range v.rows {
			reply.Resident = append(reply.Resident, r)
		}
		return
	}
	first := sort.Search(len(v.changes), func(i int) bool { return v.changes[i].version > version })
	for _, c := range v.changes[first:] {
		switch {
		case c.row.changed != c.version: // superseded by a later change
		case c.row.present:
			reply.Resident = append(reply.Resident, c.row.ResidentAdapter)
		case v.rows[c.row.ResidentAdapter] == nil: // not resident again since
			reply.Gone = append(reply.Gone, c.row.ResidentAdapter)
		}
	}
}

// dropped reports whether changes after a version are no longer kept.
func (v *view) dropped(version uint64) bool {
	return len(v.changes) == maxChanges && v.changes[0].version > version
}
