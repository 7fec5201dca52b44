package memstore

import "cicadaslip/internal/objectstore"

// Bounds of the history that serves stale reads and watches.
const (
	maxHistoryEntries = 8192
	maxHistoryBytes   = 64 << 20
)

// entry is one applied write with the state before it.
type entry struct {
	change  objectstore.Change
	before  objectstore.Object
	existed bool
}

func (e entry) size() int { return len(e.change.Object.Value) + len(e.before.Value) }

// history holds the last writes in order of revision, without gaps.
type history struct {
	entries []entry
	bytes   int
}

func (h *history) add(e entry) {
	h.entries = append(h.entries, e)
	h.bytes += e.size()
	for len(h.entries) > maxHistoryEntries || h.bytes > maxHistoryBytes && len(h.entries) > 1 {
		h.bytes -= h.entries[0].size()
		h.entries[0] = entry{}
		h.entries = h.entries[1:]
	}
}

// after returns the entries above a revision. complete is false when older
// ones have been dropped.
func (h *history) after(revision, current int64) (entries []entry, complete bool) {
	missing := current - revision
	if missing <= 0 {
		return nil, true
	}
	if missing > int64(len(h.entries)) {
		return h.entries, false
	}
	return h.entries[int64(len(h.entries))-missing:], true
}
