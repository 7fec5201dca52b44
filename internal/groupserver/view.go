package groupserver

import (
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// view assigns versions to the changes of the resident adapters, so that front ends
// receive only the changes since the version that they have.
type view struct {
	version uint64
	rows    map[placer.ResidentAdapter]*viewRow
}

// viewRow is the state of one adapter version on one target.
type viewRow struct {
	changedVersion uint64 // version of the view in which present last changed
	present        bool   // the adapter is resident
	seen           bool   // used within update
}

// maxRows is the number of rows above which the rows of adapters that are no longer
// resident are dropped.
const maxRows = 2000

func newView() view { return view{rows: map[placer.ResidentAdapter]*viewRow{}} }

// update sets the resident adapters, and increments the version if they changed.
func (v *view) update(resident []placer.ResidentAdapter) {
	for _, row := range v.rows {
		row.seen = false
	}
	next := v.version + 1
	changed := false
	for _, r := range resident {
		row := v.rows[r]
		if row == nil {
			row = &viewRow{}
			v.rows[r] = row
		}
		row.seen = true
		if !row.present {
			row.present, row.changedVersion, changed = true, next, true
		}
	}
	for _, row := range v.rows {
		if row.present && !row.seen {
			row.present, row.changedVersion, changed = false, next, true
		}
	}
	if changed {
		v.version = next
	}
}

// fillReply adds the changes after a version to a reply. The reply holds the full view if
// the caller has none or has a version that this view has not reached, and whenever rows
// of adapters that are no longer resident are dropped.
func (v *view) fillReply(version uint64, reply *grouprpc.SyncReply) {
	reply.Version = v.version
	reply.Full = version == 0 || version > v.version || len(v.rows) > maxRows
	if len(v.rows) > maxRows {
		for r, row := range v.rows {
			if !row.present {
				delete(v.rows, r)
			}
		}
	}
	for r, row := range v.rows {
		switch {
		case row.present && (reply.Full || row.changedVersion > version):
			reply.Resident = append(reply.Resident, r)
		case !row.present && !reply.Full && row.changedVersion > version:
			reply.Gone = append(reply.Gone, r)
		}
	}
}
