package membership

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// computeState returns the state of an incarnation at the time now. It also sets
// r.HearsUs.
func (t *Table) computeState(now core.Time, holder model.Holder, r *row) State {
	if r.State == Gone || t.registered[holder.VM].Incarnation > holder.Incarnation {
		return Gone
	}
	if holder == t.self {
		r.HearsUs = true
		return Alive
	}
	silence := now - max(r.heartbeatAt, r.firstSeen)
	if t.isMissing(now, r) && silence >= t.settings.UnreachableAfter {
		return Gone
	}
	ackSilence := time.Duration(0)
	if r.hasHeartbeat {
		ackSilence = now - r.ackedAt
	}
	r.HearsUs = r.hasHeartbeat && ackSilence < t.settings.SuspectAfter
	switch longest := max(silence, ackSilence); {
	case longest >= t.settings.UnreachableAfter:
		return Unreachable
	case !r.hasHeartbeat || longest >= t.settings.SuspectAfter:
		return Suspect
	}
	return Alive
}

// isMissing reports whether the VM is missing from the platform's list. A VM that has
// never been in the list may be too new for it, so that it counts as missing only
// after Settings.ListLag without a heartbeat.
func (t *Table) isMissing(now core.Time, r *row) bool {
	if !t.hasListing || r.listed {
		return false
	}
	return r.everListed || now-max(r.firstSeen, r.heartbeatAt) >= t.settings.ListLag
}

// State returns the state of an incarnation at the last Advance. An incarnation that
// is not in the table is Unreachable; the caller must Track it to see when it is
// gone.
func (t *Table) State(holder model.Holder) State {
	if r := t.rows[holder]; r != nil {
		return r.State
	}
	return Unreachable
}

// IsGone reports whether an incarnation is confirmed gone, which means that its
// permits, claims and intents are abandoned.
func (t *Table) IsGone(holder model.Holder) bool {
	return t.State(holder) == Gone || t.registered[holder.VM].Incarnation > holder.Incarnation
}

// Entry returns the entry of an incarnation. It reports false if the incarnation is
// not in the table.
func (t *Table) Entry(holder model.Holder) (Entry, bool) {
	if r := t.rows[holder]; r != nil {
		return r.Entry, true
	}
	return Entry{}, false
}

// Entries returns all entries, ordered by VM name and incarnation.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.rows))
	for _, holder := range t.holders() {
		entries = append(entries, t.rows[holder].Entry)
	}
	return entries
}

// Peers returns the registered incarnations that are not gone, except this process's
// own. This VM sends heartbeats to them.
func (t *Table) Peers() []Entry {
	var peers []Entry
	for _, entry := range t.Entries() {
		if entry.Registered && entry.State != Gone && entry.Holder() != t.self {
			peers = append(peers, entry)
		}
	}
	return peers
}
