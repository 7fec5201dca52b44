package memstore

import (
	"context"
	"sort"
	"strings"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// MaxListLimit is the largest number of objects in one page of a list.
const MaxListLimit = 1000

// Get reads one object at a revision of at least minRevision.
func (s *Store) Get(ctx context.Context, key string, minRevision int64) (objectstore.Object, error) {
	if err := checkKey(ctx, key); err != nil {
		return objectstore.Object{}, err
	}
	rule, err := s.beginRead(ctx, OpGet, key)
	if err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at, err := s.replica(rule, minRevision)
	if err != nil {
		return objectstore.Object{}, err
	}
	object, exists := s.objectsAt(at, key)[key]
	if !exists {
		return objectstore.Object{}, errs.New(errs.NotFound, "no object "+key)
	}
	return clone(object), nil
}

// beginRead begins a read and waits for the delay of a slow one.
func (s *Store) beginRead(ctx context.Context, op Op, key string) (Rule, error) {
	if ctx.Err() != nil {
		return Rule{}, errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the call was not made")
	}
	rule, err := s.begin(op, key)
	if err == nil && !s.pause(ctx, rule.Delay) {
		err = errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the store did not answer in time")
	}
	return rule, err
}

// replica returns the revision that a read is served at.
func (s *Store) replica(rule Rule, minRevision int64) (int64, error) {
	at := s.revision
	if rule.Fault == StaleRead {
		at = max(0, at-rule.Lag)
		if _, complete := s.history.after(at, s.revision); !complete {
			at = s.revision - int64(len(s.history.entries))
		}
	}
	if at < minRevision {
		return 0, errs.New(errs.StoreStale, "the replica has not reached the demanded revision")
	}
	return at, nil
}

// objectsAt returns the objects with the prefix as they were at a revision.
func (s *Store) objectsAt(revision int64, prefix string) map[string]objectstore.Object {
	later, _ := s.history.after(revision, s.revision)
	if len(later) == 0 {
		return s.objects
	}
	state := map[string]objectstore.Object{}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			state[key] = object
		}
	}
	for i := len(later) - 1; i >= 0; i-- {
		key := later[i].change.Object.Key
		if !later[i].existed {
			delete(state, key)
		} else if strings.HasPrefix(key, prefix) {
			state[key] = later[i].before
		}
	}
	return state
}

// List returns up to limit objects (at most MaxListLimit) with the prefix and
// keys after "after". A page that would exceed objectstore.MaxValueBytes of values
// ends early.
func (s *Store) List(ctx context.Context, prefix, after string, limit int, minRevision int64) (objectstore.Page, error) {
	rule, err := s.beginRead(ctx, OpList, prefix)
	if err != nil {
		return objectstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at, err := s.replica(rule, minRevision)
	if err != nil {
		return objectstore.Page{}, err
	}
	return page(s.objectsAt(at, prefix), prefix, after, limit, at), nil
}

func page(objects map[string]objectstore.Object, prefix, after string, limit int, revision int64) objectstore.Page {
	var keys []string
	for key := range objects {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if limit <= 0 || limit > MaxListLimit {
		limit = MaxListLimit
	}
	result := objectstore.Page{Revision: revision}
	size := 0
	for i, key := range keys {
		size += len(objects[key].Value)
		if i == limit || i > 0 && size > objectstore.MaxValueBytes {
			result.More = true
			break
		}
		result.Objects = append(result.Objects, clone(objects[key]))
	}
	return result
}

// Watch waits for changes after revision since. When those changes are no
// longer in the history it returns errs.StoreStale; the caller then lists and
// watches from the list's revision.
func (s *Store) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (objectstore.Changes, error) {
	if _, err := s.beginRead(ctx, OpWatch, prefix); err != nil {
		return objectstore.Changes{}, err
	}
	timeout, stop := s.clock.After(max(wait, 0))
	defer stop()
	s.waiting(1)
	defer s.waiting(-1)
	for {
		changes, changed, err := s.look(prefix, since)
		if err != nil || len(changes.Changes) > 0 || wait <= 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timeout:
			return changes, nil
		case <-ctx.Done():
			return objectstore.Changes{}, errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the watch was given up")
		}
	}
}

func (s *Store) waiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
}

// look returns the changes after a revision and a channel that is closed when
// there may be more.
func (s *Store) look(prefix string, since int64) (objectstore.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return objectstore.Changes{}, nil, errs.New(errs.StoreUnavailable, "the store is down")
	}
	entries, complete := s.history.after(since, s.revision)
	if !complete {
		return objectstore.Changes{}, nil, errs.New(errs.StoreStale, "the watch starts before the kept history")
	}
	result := objectstore.Changes{Revision: max(since, s.revision)}
	for _, e := range entries {
		if strings.HasPrefix(e.change.Object.Key, prefix) {
			change := e.change
			change.Object = clone(change.Object)
			result.Changes = append(result.Changes, change)
		}
	}
	return result, s.changed, nil
}
