package edge

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
)

const (
	// maxIgnoredEntries bounds the memory for entries that were logged as ignored.
	maxIgnoredEntries = 1024
	// ignoredLogInterval is the time after which the memory, once full, is cleared, so that
	// the log gets at most maxIgnoredEntries lines in that time.
	ignoredLogInterval = time.Minute
	// maxReasonBytes is the length up to which the reason is kept and logged. It may quote the entry.
	maxReasonBytes = 512
)

// ignoredEntry is one version of an entry that can't be used.
type ignoredEntry struct {
	key      string
	revision objectstore.Position
	reason   string
}

// ignoredEntries remembers which entries were logged. It is safe for concurrent use.
type ignoredEntries struct {
	mu        sync.Mutex
	logged    map[ignoredEntry]struct{}
	clearedAt time.Time
}

// add reports whether the entry is to be logged now.
func (e *ignoredEntries) add(now time.Time, entry ignoredEntry) bool {
	entry.reason = shorten(entry.reason)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.logged[entry]; found {
		return false
	}
	if len(e.logged) >= maxIgnoredEntries {
		if now.Sub(e.clearedAt) < ignoredLogInterval {
			return false
		}
		e.logged = nil
	}
	if e.logged == nil {
		e.logged, e.clearedAt = map[ignoredEntry]struct{}{}, now
	}
	e.logged[entry] = struct{}{}
	return true
}

// shorten returns the beginning of a reason, in memory of its own.
func shorten(reason string) string { return strings.Clone(reason[:min(len(reason), maxReasonBytes)]) }

// ignoreEntry counts an entry of a kind that can't be used, and logs each version of it once.
func (d *Daemon) ignoreEntry(event, kind, key string, at objectstore.Position, err error) {
	d.metrics.Count(metrics.EdgeEntriesIgnored, kind)
	reason := shorten(err.Error())
	if d.ignored.add(time.Now(), ignoredEntry{key: key, revision: at, reason: reason}) {
		d.log.Warn().Str(zerolog.ErrorFieldName, reason).Str(fieldEvent, event).Str(fieldEntry, key).Int64(fieldEra, at.Era()).Int64(fieldRevision, at.Revision()).Send()
	}
}

// ignoreObject is ignoreEntry for an object of the store.
func (d *Daemon) ignoreObject(event string, o objectstore.Object, err error) {
	kind, _ := splitKey(o.Key)
	d.ignoreEntry(event, kind, o.Key, o.Position(), err)
}
