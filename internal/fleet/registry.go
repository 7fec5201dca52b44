package fleet

import (
	"slices"
	"strings"
	"time"
)

// returnGrace is the time after the store's return within which targets whose
// descriptions lapsed meanwhile enter them again. Those that are still missing
// then are gone.
const returnGrace = 2500 * time.Millisecond

// Registry is the table of targets. It takes its time from the caller and is
// not safe for concurrent use.
type Registry struct {
	rows map[string]*entry

	outage     bool // the store could not be read
	returnedAt time.Time
}

type entry struct {
	target  Target
	missing bool // not in the store any more
	since   time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{rows: map[string]*entry{}} }

// Put enters a description. It reports whether the description is news.
func (r *Registry) Put(t Target) bool {
	known := r.rows[t.ID]
	if known == nil {
		r.rows[t.ID] = &entry{target: t}
		return true
	}
	old := &known.target
	if t.Born < old.Born {
		return false
	}
	if t.Born == old.Born {
		if t.Sequence < old.Sequence {
			return false
		}
		t.Leaving = t.Leaving || old.Leaving
	}
	known.target, known.missing = t, false
	return true
}

// Remove marks a target as gone from the store.
func (r *Registry) Remove(now time.Time, id string) {
	if known := r.rows[id]; known != nil && !known.missing {
		known.missing, known.since = true, now
	}
}

// Replace enters a whole list.
func (r *Registry) Replace(now time.Time, targets []Target) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		r.Put(t)
	}
	for id := range r.rows {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// SetOutage tells whether the store can be read.
func (r *Registry) SetOutage(now time.Time, outage bool) {
	if r.outage && !outage {
		r.returnedAt = now
	}
	r.outage = outage
}

// Targets returns the present targets in order of their identifiers and drops
// those that are gone. A target that went missing around an outage of the store
// is kept until the grace after the store's return has passed.
func (r *Registry) Targets(now time.Time) []Target {
	targets := make([]Target, 0, len(r.rows))
	for id, e := range r.rows {
		if e.missing && !r.kept(now, e) {
			delete(r.rows, id)
			continue
		}
		targets = append(targets, e.target)
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// Settling reports whether missing targets are still kept, so that Targets has
// to be asked again.
func (r *Registry) Settling() bool {
	for _, e := range r.rows {
		if e.missing {
			return true
		}
	}
	return false
}

func (r *Registry) kept(now time.Time, e *entry) bool {
	if e.target.Leaving {
		return false
	}
	return r.outage || (!r.returnedAt.IsZero() && now.Sub(r.returnedAt) < returnGrace && e.since.Sub(r.returnedAt) < returnGrace)
}
