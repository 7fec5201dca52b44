package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
)

const (
	// oldVersionGrace is the time after an announcement for which older versions of the
	// adapter may still serve. After it only the announced version and later ones are used.
	oldVersionGrace = 2500 * time.Millisecond
	// maxVersionLag is the longest time between two updates of another VM after which new
	// announcements count as made now. Owners are called several times a second.
	maxVersionLag = time.Second
	// longAnnounced is the age of an announcement from before this VM knew any.
	longAnnounced = time.Hour
)

// versionTable holds the announced versions of each adapter.
type versionTable struct {
	start     time.Time // of the clock of the histories
	mu        sync.Mutex
	checkedAt time.Time // when all announcements until then were last known, zero if they never were
	byAdapter map[placer.Adapter]announcedVersion
	asOf      objectstore.Position // up to which all announcements have been applied
}

type announcedVersion struct {
	version  int64                 // the newest one
	revision objectstore.Position  // at which it was announced
	history  placer.VersionHistory // with the times at which this VM received the announcements
}

func newVersionTable() *versionTable {
	return &versionTable{start: time.Now(), byAdapter: map[placer.Adapter]announcedVersion{}}
}

// set records an announcement that was made some time ago. It reports whether the version is
// newer than the one recorded before. The same version may be announced again after the store was
// restored; it is then passed on to VMs that do not know it.
func (t *versionTable) set(v grouprpc.AdapterVersion, age time.Duration) bool {
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
	known.version, known.revision = v.Version, v.Revision
	known.history.Add(placer.Announcement{Version: v.Version, At: time.Since(t.start) - age})
	t.byAdapter[v.Adapter] = known
	return true
}

// sinceChecked returns the time since all announcements were last known: those that are new in a
// list may be as old.
func (t *versionTable) sinceChecked() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checkedAt.IsZero() {
		return longAnnounced
	}
	return time.Since(t.checkedAt)
}

// advance records that all announcements after position since, up to and including
// position asOf, have been applied. It has no effect if earlier ones may be missing. Versions
// that a restored store lacks are passed on to VMs that only know the copy.
func (t *versionTable) advance(since, asOf objectstore.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since <= t.asOf && asOf >= t.asOf {
		t.checkedAt = time.Now()
	}
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
	return row.history.Required(time.Since(t.start), oldVersionGrace)
}

// agedVersion is an announced version of an adapter.
type agedVersion struct {
	adapter placer.Adapter
	version int64
	age     time.Duration // time since the announcement
}

// announcements returns the latest announcements of each adapter, in the order of the versions.
func (t *versionTable) announcements() []agedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Since(t.start)
	all := make([]agedVersion, 0, len(t.byAdapter))
	for a, row := range t.byAdapter {
		for _, announcement := range row.history.All() {
			all = append(all, agedVersion{adapter: a, version: announcement.Version, age: now - announcement.At})
		}
	}
	return all
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
