package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
)

// oldVersionGrace is the time after an announcement for which older versions of the
// adapter may still serve. After it only the announced version is used.
const oldVersionGrace = 2500 * time.Millisecond

// versionTable holds the newest announced version of each adapter.
type versionTable struct {
	mu        sync.Mutex
	byAdapter map[placer.Adapter]announcedVersion
	asOf      objectstore.Position // up to which all announcements have been applied
}

type announcedVersion struct {
	version    int64
	revision   objectstore.Position // at which the version was announced
	receivedAt time.Time            // when this VM received the announcement
}

func newVersionTable() *versionTable {
	return &versionTable{byAdapter: map[placer.Adapter]announcedVersion{}}
}

// set records an announcement. It reports whether the version is newer than the one
// recorded before. The same version may be announced again after the store was restored; it
// is then passed on to VMs that do not know it.
func (t *versionTable) set(v grouprpc.AdapterVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byAdapter[v.Adapter]
	if v.Version <= known.version {
		if v.Version == known.version {
			known.revision = max(known.revision, v.Revision)
			t.byAdapter[v.Adapter] = known
		}
		return false
	}
	t.byAdapter[v.Adapter] = announcedVersion{version: v.Version, revision: v.Revision, receivedAt: time.Now()}
	return true
}

// advance records that all announcements after position since, up to and including
// position asOf, have been applied. It has no effect if earlier ones may be missing. Versions
// that a restored store lacks are passed on to VMs that only know the copy.
func (t *versionTable) advance(since, asOf objectstore.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since > t.asOf || asOf <= t.asOf {
		return
	}
	if asOf.Era() > t.asOf.Era() {
		for a, row := range t.byAdapter {
			if row.revision.Era() < asOf.Era() {
				row.revision = asOf + 1
				t.byAdapter[a] = row
			}
		}
	}
	t.asOf = asOf
}

// appliedRevision returns the position up to which all announcements have been applied.
func (t *versionTable) appliedRevision() objectstore.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// updateSince returns the update for a VM that has applied all announcements up to the
// given position.
func (t *versionTable) updateSince(at objectstore.Position) grouprpc.VersionUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	update := grouprpc.VersionUpdate{Since: at, AsOf: t.asOf}
	for a, row := range t.byAdapter {
		if row.revision > at {
			update.Rows = append(update.Rows, grouprpc.AdapterVersion{Adapter: a, Version: row.version, Revision: row.revision})
		}
	}
	return update
}

// required returns the oldest version of an adapter that may be used, or 0 if any may.
func (t *versionTable) required(a placer.Adapter) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.byAdapter[a]
	if time.Since(row.receivedAt) < oldVersionGrace {
		return 0
	}
	return row.version
}

// all returns the newest announced version of each adapter.
func (t *versionTable) all() map[placer.Adapter]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[placer.Adapter]int64, len(t.byAdapter))
	for a, row := range t.byAdapter {
		all[a] = row.version
	}
	return all
}
