package memstore

import (
	"context"
	"sync"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// MaxKeyBytes is the maximum length of a key, in bytes.
const MaxKeyBytes = 512

// Store implements objectstore.Store in memory. It is safe for concurrent use. A
// single goroutine can use it without blocking, provided that it makes no watch
// with a wait and no call that a rule delays.
type Store struct {
	clock Clock

	mu       sync.Mutex
	revision int64
	objects  map[string]objectstore.Object
	history  history
	changed  chan struct{} // closed and replaced when waiting watches must check for changes again
	outage   bool
	rules    []*activeRule
	delayed  []delayedWrite // in the order of their calls
	counts   Counts
	rates    rateLimits
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store that uses the system clock.
func New() *Store { return NewWithClock(systemClock{}) }

// NewWithClock returns an empty store that uses the given clock.
func NewWithClock(clock Clock) *Store {
	return &Store{clock: clock, objects: map[string]objectstore.Object{}, changed: make(chan struct{})}
}

// mutation is one write, not yet applied.
type mutation struct {
	op      Op
	key     string
	value   []byte
	version int64 // for OpUpdate and OpDelete, the version that the object must have
}

// Create writes a new object. It fails with errs.Conflict if the key exists.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.write(ctx, mutation{op: OpCreate, key: key, value: value})
}

// Update replaces the object if its current version equals version. It fails with
// errs.NotFound if the object does not exist.
func (s *Store) Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	return s.write(ctx, mutation{op: OpUpdate, key: key, value: value, version: version})
}

// Put creates or replaces an object unconditionally.
func (s *Store) Put(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.write(ctx, mutation{op: OpPut, key: key, value: value})
}

// Delete removes the object if its current version equals version. It fails with
// errs.NotFound if the object does not exist.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.write(ctx, mutation{op: OpDelete, key: key, version: version})
	return err
}

// write applies a write, subject to the rule that matches the call. A write whose
// context ends during the delay of the rule becomes a delayed write.
func (s *Store) write(ctx context.Context, m mutation) (objectstore.Object, error) {
	if err := checkWrite(ctx, m); err != nil {
		return objectstore.Object{}, err
	}
	rule, err := s.startCall(m.op, m.key)
	if err != nil {
		return objectstore.Object{}, err
	}
	m.value = append([]byte(nil), m.value...)
	delayPassed := s.sleep(ctx, rule.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	ambiguous := errs.New(errs.StoreAmbiguous, "the response to the write was lost; the write may have taken effect")
	switch {
	case !delayPassed || rule.Fault == DelayWrite:
		s.delayed = append(s.delayed, delayedWrite{m, rule.AfterCalls})
		return objectstore.Object{}, ambiguous
	case rule.Fault == LoseRequest:
		return objectstore.Object{}, ambiguous
	case rule.Fault == LoseResponse:
		_, _ = s.apply(m)
		return objectstore.Object{}, ambiguous
	}
	return s.apply(m)
}

func checkWrite(ctx context.Context, m mutation) error {
	if err := checkKey(ctx, m.key); err != nil {
		return err
	}
	if len(m.value) > objectstore.MaxValueBytes {
		return errs.New(errs.TooLarge, "the value exceeds the store's limit of 1 MiB")
	}
	return nil
}

func checkKey(ctx context.Context, key string) error {
	if ctx.Err() != nil {
		return errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the call was not made because its context had ended")
	}
	if key == "" || len(key) > MaxKeyBytes {
		return errs.New(errs.InvalidRequest, "the key is empty or longer than 512 bytes")
	}
	return nil
}

// apply applies a write if its condition holds. The caller holds s.mu.
func (s *Store) apply(m mutation) (objectstore.Object, error) {
	old, exists := s.objects[m.key]
	if err := checkCondition(m, old, exists); err != nil {
		return objectstore.Object{}, err
	}
	s.revision++
	object := objectstore.Object{Key: m.key, Version: old.Version + 1, Revision: s.revision, Value: m.value}
	if m.op == OpDelete {
		delete(s.objects, m.key)
	} else {
		s.objects[m.key] = object
	}
	s.history.add(historyEntry{change: objectstore.Change{Object: object, Deleted: m.op == OpDelete}, previous: old, existedBefore: exists})
	s.notifyWatches()
	return cloneObject(object), nil
}

// checkCondition returns the error of a write whose condition does not hold for the
// present object.
func checkCondition(m mutation, old objectstore.Object, exists bool) error {
	conditional := m.op == OpUpdate || m.op == OpDelete
	switch {
	case m.op == OpCreate && exists:
		return errs.New(errs.Conflict, "the object already exists")
	case conditional && !exists:
		return errs.New(errs.NotFound, "no object "+m.key)
	case conditional && old.Version != m.version:
		return errs.New(errs.Conflict, "the object does not have the expected version")
	}
	return nil
}

// notifyWatches makes waiting watches check for changes again. The caller holds
// s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObject(object objectstore.Object) objectstore.Object {
	object.Value = append([]byte(nil), object.Value...)
	return object
}
