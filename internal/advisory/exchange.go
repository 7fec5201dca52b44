package advisory

import "time"

// LeavingTarget is a target that has stated that it leaves. VMs send it to each other with
// gob, so its field names are part of the protocol, like those of Delta.
type LeavingTarget struct {
	Target string
	Born   int64
	Age    time.Duration // since the newest statement, when it was sent
}

// Delta holds the targets that began to leave after a version of a table.
type Delta struct {
	Version uint64 // of the sender's table
	Leaving []LeavingTarget
}

// Since returns the targets of which the table has learned after a version that they leave, or
// all if it has not reached that version. With own set it leaves out those of which only other
// VMs have heard.
func (t *Table) Since(now time.Duration, version uint64, own bool) Delta {
	if version > t.version {
		version = 0
	}
	d := Delta{Version: t.version}
	if version == t.version {
		return d
	}
	for target, r := range t.records {
		if r.changed > version && r.leaving() && (!own || r.heardAt != never) {
			d.Leaving = append(d.Leaving, LeavingTarget{Target: target, Born: r.born, Age: now - max(r.heardAt, r.toldAt)})
		}
	}
	return d
}

// Merge adds what another VM has sent. It reports whether a target begins to leave.
//
// The time that a message takes makes a statement look newer than it is, so that at worst an
// answer to a request sent in this time does not end it.
func (t *Table) Merge(now time.Duration, d Delta) bool {
	changed := false
	for _, l := range d.Leaving {
		if known := t.records[l.Target]; known != nil && known.born > l.Born {
			continue
		}
		r := t.record(Incarnation{Target: l.Target, Born: l.Born})
		before := r.leaving()
		r.toldAt = max(r.toldAt, now-max(0, l.Age))
		if t.noteChange(r, before, r.toldAt) {
			changed = true
		}
	}
	return changed
}
