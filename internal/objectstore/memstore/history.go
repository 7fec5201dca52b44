package memstore

import "cicadaslip/internal/objectstore"

// Limits of the history, which serves stale reads and watches. The newest write is
// kept whatever its size.
const (
	maxHistoryEntries = 8192
	maxHistoryBytes   = 64 << 20
)

// historyEntry is one applied write with the previous state of its object.
type historyEntry struct {
	change        objectstore.Change
	previous      objectstore.Object
	existedBefore bool
}

// size returns the length of both values, in bytes.
func (e historyEntry) size() int { return len(e.change.Object.Value) + len(e.previous.Value) }

// history holds the last writes in order of revision, without gaps.
type history struct {
	entries []historyEntry
	bytes   int // sum of the sizes of the entries
}

func (h *history) add(e historyEntry) {
	h.entries = append(h.entries, e)
	h.bytes += e.size()
	for len(h.entries) > maxHistoryEntries || h.bytes > maxHistoryBytes && len(h.entries) > 1 {
		h.bytes -= h.entries[0].size()
		h.entries[0] = historyEntry{}
		h.entries = h.entries[1:]
	}
}

// entriesAfter returns the kept entries with revisions greater than revision, given
// the current revision of the store. complete is false if some of them have been
// dropped.
func (h *history) entriesAfter(revision, current int64) (entries []historyEntry, complete bool) {
	count := current - revision
	if count <= 0 {
		return nil, true
	}
	if count > int64(len(h.entries)) {
		return h.entries, false
	}
	return h.entries[int64(len(h.entries))-count:], true
}
