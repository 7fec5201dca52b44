package membership

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// state computes the liveness of one incarnation.
func (t *Table) state(now core.Time, holder model.Holder, r *row) State {
	if r.State == Gone || t.registered[holder.VM].Incarnation > holder.Incarnation {
		return Gone
	}
	if holder == t.self {
		r.HearsUs = true
		return Alive
	}
	silent := now - max(r.heardAt, r.firstSeen)
	if t.absent(now, r) && silent >= t.settings.UnreachableAfter {
		return Gone
	}
	cut := time.Duration(0)
	if r.heard {
		cut = now - r.ackedAt
	}
	r.HearsUs = r.heard && cut < t.settings.SuspectAfter
	switch worst := max(silent, cut); {
	case worst >= t.settings.UnreachableAfter:
		return Unreachable
	case !r.heard || worst >= t.settings.SuspectAfter:
		return Suspect
	}
	return Alive
}

// absent reports whether the platform's list says that the VM does not exist
// any more. A VM that the list never showed may be too new for it.
func (t *Table) absent(now core.Time, r *row) bool {
	if !t.haveList || r.listed {
		return false
	}
	return r.everListed || now-max(r.firstSeen, r.heardAt) >= t.settings.ListLag
}

// State returns the liveness of an incarnation at the last Advance. One that is
// not in the table is Unreachable: Track it to learn when it is gone.
func (t *Table) State(holder model.Holder) State {
	if r := t.rows[holder]; r != nil {
		return r.State
	}
	return Unreachable
}

// IsGone reports whether an incarnation is confirmed gone, so that its permits,
// claims and intents are abandoned.
func (t *Table) IsGone(holder model.Holder) bool {
	return t.State(holder) == Gone || t.registered[holder.VM].Incarnation > holder.Incarnation
}

// Entry returns the row of an incarnation.
func (t *Table) Entry(holder model.Holder) (Entry, bool) {
	if r := t.rows[holder]; r != nil {
		return r.Entry, true
	}
	return Entry{}, false
}

// Entries returns the rows in the order of names and incarnations.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.rows))
	for _, holder := range t.holders() {
		entries = append(entries, t.rows[holder].Entry)
	}
	return entries
}

// Peers returns the registered incarnations that are not gone, without
// this process's own. They are the peers that receive heartbeats.
func (t *Table) Peers() []Entry {
	var peers []Entry
	for _, entry := range t.Entries() {
		if entry.Registered && entry.State != Gone && entry.Holder() != t.self {
			peers = append(peers, entry)
		}
	}
	return peers
}
