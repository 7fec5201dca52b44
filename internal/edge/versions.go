package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/placer"
)

// versionRequired is the time after an announcement from which only the announced
// version of an adapter is used. Until then an older one may serve.
const versionRequired = 2500 * time.Millisecond

// versionTable keeps the announced versions of adapters.
type versionTable struct {
	mu   sync.Mutex
	rows map[placer.Adapter]announced
}

type announced struct {
	version int64
	at      time.Time
}

func newVersionTable() *versionTable { return &versionTable{rows: map[placer.Adapter]announced{}} }

// set enters an announcement. It reports whether it is news.
func (t *versionTable) set(a placer.Adapter, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.rows[a].version {
		return false
	}
	t.rows[a] = announced{version: version, at: time.Now()}
	return true
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
