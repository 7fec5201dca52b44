package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// versionRequired is the time after an announcement from which only the announced
// version of an adapter is used. Until then an older one may serve.
const versionRequired = 2500 * time.Millisecond

// versionTable keeps the announced versions of adapters.
type versionTable struct {
	mu   sync.Mutex
	rows map[placer.Adapter]announced
	asOf int64 // revision of the store up to which all announcements are known
}

type announced struct {
	version  int64
	revision int64
	at       time.Time
}

func newVersionTable() *versionTable { return &versionTable{rows: map[placer.Adapter]announced{}} }

// set enters an announcement. It reports whether it is news.
func (t *versionTable) set(v grouprpc.AdapterVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Version <= t.rows[v.Adapter].version {
		return false
	}
	t.rows[v.Adapter] = announced{version: v.Version, revision: v.Revision, at: time.Now()}
	return true
}

// reached tells that all announcements between two revisions are entered.
func (t *versionTable) reached(since, asOf int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since <= t.asOf {
		t.asOf = max(t.asOf, asOf)
	}
}

// known returns the revision up to which all announcements are known.
func (t *versionTable) known() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// since returns what a VM that knows all up to a revision has to be told.
func (t *versionTable) since(revision int64) grouprpc.VersionUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := grouprpc.VersionUpdate{Since: revision, AsOf: t.asOf}
	for a, row := range t.rows {
		if row.revision > revision {
			news.Rows = append(news.Rows, grouprpc.AdapterVersion{Adapter: a, Version: row.version, Revision: row.revision})
		}
	}
	return news
}

// required returns the oldest version that may be used, 0 if any.
func (t *versionTable) required(a placer.Adapter) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[a]
	if time.Since(row.at) < versionRequired {
		return 0
	}
	return row.version
}

func (t *versionTable) all() map[placer.Adapter]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[placer.Adapter]int64, len(t.rows))
	for a, row := range t.rows {
		all[a] = row.version
	}
	return all
}
