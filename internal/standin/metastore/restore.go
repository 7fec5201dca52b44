package metastore

import (
	"slices"
	"sync"
	"time"
)

// Snapshot is a copy of the store.
type Snapshot struct {
	log    []change
	oldest int64
}

// Snapshot returns a copy of the store as it is now.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{slices.Clip(s.log), s.oldest}
}

// RestoreTo makes the store come back from a copy, in the next era: what was written since is
// gone, and its revisions are given out again.
func (s *Store) RestoreTo(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(c.log, c.oldest)
}

// Restore makes the store come back from a copy of some age.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := len(s.log)
	for copied := time.Now().Add(-age); kept > 0 && s.log[kept-1].At.After(copied); {
		kept--
	}
	s.restore(s.log[:kept], s.oldest)
}

// restore rebuilds the objects from the changes of a copy. The caller holds the lock.
func (s *Store) restore(log []change, oldest int64) {
	s.log = slices.Clip(log) // later changes must not overwrite those of other copies
	s.objects, s.revision = map[string]map[string]object{}, firstRevision
	for _, c := range s.log {
		if s.objects[c.Kind] == nil {
			s.objects[c.Kind] = map[string]object{}
		}
		s.objects[c.Kind][c.Object.Metadata.Name] = c.Object
		if c.Tombstone {
			delete(s.objects[c.Kind], c.Object.Metadata.Name)
		}
		s.revision = c.Object.Metadata.Revision
	}
	s.oldest = min(oldest, s.revision)
	s.era++
	s.changed.Broadcast()
}

// Era returns the number of the store's history, which rises with each restore.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// CutWatches makes later restores cut the waiting watches. Otherwise those go on in the next
// era, or get 410 if it does not have their revision.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutting = true
}

// stage is a point of a call at which it can be held up.
type stage int

const (
	beforeCall stage = iota
	beforeAnswer
)

// gate holds up calls until it is opened.
type gate struct {
	method, kind string
	at           stage
	opened       chan struct{}
	open         func()
}

// HoldCalls holds up calls with a method to a kind before they are carried out, until release
// is called.
func (s *Store) HoldCalls(method, kind string) (release func()) {
	return s.hold(method, kind, beforeCall)
}

// HoldAnswers carries out calls with a method to a kind at once, and holds up their answers
// until release is called.
func (s *Store) HoldAnswers(method, kind string) (release func()) {
	return s.hold(method, kind, beforeAnswer)
}

func (s *Store) hold(method, kind string, at stage) (release func()) {
	g := &gate{method: method, kind: kind, at: at, opened: make(chan struct{})}
	g.open = sync.OnceFunc(func() { close(g.opened) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates = append(s.gates, g)
	return g.open
}

// pass waits at the closed gates of a call.
func (s *Store) pass(method, kind string, at stage) {
	s.mu.Lock()
	gates := slices.Clone(s.gates)
	s.mu.Unlock()
	for _, g := range gates {
		if g.method == method && g.kind == kind && g.at == at {
			<-g.opened
		}
	}
}
