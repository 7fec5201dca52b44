package groupserver

import (
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// view numbers the changes of the resident adapters, so that front ends are told
// only what is new to them.
type view struct {
	version uint64
	rows    map[placer.ResidentAdapter]*viewRow
}

type viewRow struct {
	changed uint64
	present bool
	seen    bool
}

// maxGone bounds the remembered rows that are not present any more.
const maxGone = 2000

func newView() view { return view{rows: map[placer.ResidentAdapter]*viewRow{}} }

// update enters the present adapters.
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
			row.present, row.changed, changed = true, next, true
		}
	}
	for _, row := range v.rows {
		if row.present && !row.seen {
			row.present, row.changed, changed = false, next, true
		}
	}
	if changed {
		v.version = next
	}
}

// since enters the changes after a version. A caller with another history gets
// the whole view.
func (v *view) since(version uint64, reply *grouprpc.SyncReply) {
	reply.Version = v.version
	reply.Full = version == 0 || version > v.version || len(v.rows) > maxGone
	if len(v.rows) > maxGone {
		for r, row := range v.rows {
			if !row.present {
				delete(v.rows, r)
			}
		}
	}
	for r, row := range v.rows {
		switch {
		case row.present && (reply.Full || row.changed > version):
			reply.Resident = append(reply.Resident, r)
		case !row.present && !reply.Full && row.changed > version:
			reply.Gone = append(reply.Gone, r)
		}
	}
}
