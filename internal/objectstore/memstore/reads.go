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
	rule, err := s.startRead(ctx, OpGet, key)
	if err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, err := s.readRevision(rule, minRevision)
	if err != nil {
		return objectstore.Object{}, err
	}
	object, exists := s.objectsAt(revision, key)[key]
	if !exists {
		return objectstore.Object{}, errs.New(errs.NotFound, "no object "+key)
	}
	return cloneObject(object), nil
}

// startRead starts a read and waits for the delay of the rule that applies to it.
func (s *Store) startRead(ctx context.Context, op Op, key string) (Rule, error) {
	if ctx.Err() != nil {
		return Rule{}, errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the call was not made because its context had ended")
	}
	rule, err := s.startCall(op, key)
	if err == nil && !s.sleep(ctx, rule.Delay) {
		err = errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the call's context ended before the store answered")
	}
	return rule, err
}

// readRevision returns the revision at which a read is served. Under a StaleRead
// rule it is Rule.Lag behind, or the oldest revision that the history can restore.
func (s *Store) readRevision(rule Rule, minRevision int64) (int64, error) {
	at := s.revision
	if rule.Fault == StaleRead {
		at = max(0, at-rule.Lag)
		if _, complete := s.history.entriesAfter(at, s.revision); !complete {
			at = s.revision - int64(len(s.history.entries))
		}
	}
	if at < minRevision {
		return 0, errs.New(errs.StoreStale, "the replica has not reached the minimum revision of the read")
	}
	return at, nil
}

// objectsAt returns the objects at a past revision. The result includes at least all
// objects whose keys start with prefix; the caller must not modify it.
func (s *Store) objectsAt(revision int64, prefix string) map[string]objectstore.Object {
	later, _ := s.history.entriesAfter(revision, s.revision)
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
		if !later[i].existedBefore {
			delete(state, key)
		} else if strings.HasPrefix(key, prefix) {
			state[key] = later[i].previous
		}
	}
	return state
}

// List returns, in key order, objects whose keys start with prefix and sort after
// the key after. A page has up to limit objects, or up to MaxListLimit if limit is
// not positive or greater than that. It ends early if its values would exceed
// objectstore.MaxValueBytes, but has at least one object.
func (s *Store) List(ctx context.Context, prefix, after string, limit int, minRevision int64) (objectstore.Page, error) {
	rule, err := s.startRead(ctx, OpList, prefix)
	if err != nil {
		return objectstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, err := s.readRevision(rule, minRevision)
	if err != nil {
		return objectstore.Page{}, err
	}
	return page(s.objectsAt(revision, prefix), prefix, after, limit, revision), nil
}

// page returns the first page of the objects that List selects.
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
		result.Objects = append(result.Objects, cloneObject(objects[key]))
	}
	return result
}

// Watch waits for changes after revision since. If the history no longer has all
// of them, Watch returns errs.StoreStale; the caller must then list the objects
// and watch from the revision of the list.
func (s *Store) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (objectstore.Changes, error) {
	if _, err := s.startRead(ctx, OpWatch, prefix); err != nil {
		return objectstore.Changes{}, err
	}
	timeout, stop := s.clock.After(max(wait, 0))
	defer stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		changes, changed, err := s.changesAfter(prefix, since)
		if err != nil || len(changes.Changes) > 0 || wait <= 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timeout:
			return changes, nil
		case <-ctx.Done():
			return objectstore.Changes{}, errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the watch's context ended")
		}
	}
}

// addWaiting adds n to the number of waiting watches.
func (s *Store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
}

// changesAfter returns the changes after revision since, and a channel that is
// closed when there may be further changes.
func (s *Store) changesAfter(prefix string, since int64) (objectstore.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return objectstore.Changes{}, nil, errs.New(errs.StoreUnavailable, "the store is down because of an injected outage")
	}
	entries, complete := s.history.entriesAfter(since, s.revision)
	if !complete {
		return objectstore.Changes{}, nil, errs.New(errs.StoreStale, "the watch starts before the oldest change in the history")
	}
	result := objectstore.Changes{Revision: max(since, s.revision)}
	for _, e := range entries {
		if strings.HasPrefix(e.change.Object.Key, prefix) {
			change := e.change
			change.Object = cloneObject(change.Object)
			result.Changes = append(result.Changes, change)
		}
	}
	return result, s.changed, nil
}
