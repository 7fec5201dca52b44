package memstore

import (
	"context"
	"sync"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 512

// Store implements objectstore.Store in memory. It is safe for concurrent use; a
// single goroutine can use it as long as it starts no watch with a wait and no
// slow call.
type Store struct {
	clock Clock

	mu       sync.Mutex
	revision int64
	objects  map[string]objectstore.Object
	history  history
	changed  chan struct{} // closed and replaced when a waiting watch must look again
	outage   bool
	rules    []*activeRule
	delayed  []delayedWrite
	counts   Counts
	rates    limits
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store on the system's clock.
func New() *Store { return NewWithClock(systemClock{}) }

// NewWithClock returns an empty store on the given clock.
func NewWithClock(clock Clock) *Store {
	return &Store{clock: clock, objects: map[string]objectstore.Object{}, changed: make(chan struct{})}
}

// mutation is one write.
type mutation struct {
	op      Op
	key     string
	value   []byte
	version int64 // OpUpdate and OpDelete: required version
}

// Create writes an object that must not exist.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.write(ctx, mutation{op: OpCreate, key: key, value: value})
}

// Update replaces an object whose version must be the given one. A missing
// object is errs.NotFound.
func (s *Store) Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	return s.write(ctx, mutation{op: OpUpdate, key: key, value: value, version: version})
}

// Put writes an object without a condition.
func (s *Store) Put(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.write(ctx, mutation{op: OpPut, key: key, value: value})
}

// Delete removes an object whose version must be the given one. A missing
// object is errs.NotFound.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.write(ctx, mutation{op: OpDelete, key: key, version: version})
	return err
}

func (s *Store) write(ctx context.Context, m mutation) (objectstore.Object, error) {
	if err := check(ctx, m); err != nil {
		return objectstore.Object{}, err
	}
	rule, err := s.begin(m.op, m.key)
	if err != nil {
		return objectstore.Object{}, err
	}
	m.value = append([]byte(nil), m.value...)
	inTime := s.pause(ctx, rule.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	ambiguous := errs.New(errs.StoreAmbiguous, "the response to the write was lost")
	switch {
	case !inTime || rule.Fault == DelayWrite:
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

func check(ctx context.Context, m mutation) error {
	if err := checkKey(ctx, m.key); err != nil {
		return err
	}
	if len(m.value) > objectstore.MaxValueBytes {
		return errs.New(errs.TooLarge, "the value is over the store's limit")
	}
	return nil
}

func checkKey(ctx context.Context, key string) error {
	if ctx.Err() != nil {
		return errs.Wrap(ctx.Err(), errs.StoreUnavailable, "the call was not made")
	}
	if key == "" || len(key) > MaxKeyBytes {
		return errs.New(errs.InvalidRequest, "the key is empty or too long")
	}
	return nil
}

// apply checks the condition of a write and makes it take effect.
func (s *Store) apply(m mutation) (objectstore.Object, error) {
	old, exists := s.objects[m.key]
	if err := condition(m, old, exists); err != nil {
		return objectstore.Object{}, err
	}
	s.revision++
	object := objectstore.Object{Key: m.key, Version: old.Version + 1, Revision: s.revision, Value: m.value}
	if m.op == OpDelete {
		delete(s.objects, m.key)
	} else {
		s.objects[m.key] = object
	}
	s.history.add(entry{change: objectstore.Change{Object: object, Deleted: m.op == OpDelete}, before: old, existed: exists})
	s.wake()
	return clone(object), nil
}

func condition(m mutation, old objectstore.Object, exists bool) error {
	conditional := m.op == OpUpdate || m.op == OpDelete
	switch {
	case m.op == OpCreate && exists:
		return errs.New(errs.Conflict, "the object exists")
	case conditional && !exists:
		return errs.New(errs.NotFound, "no object "+m.key)
	case conditional && old.Version != m.version:
		return errs.New(errs.Conflict, "the object has another version")
	}
	return nil
}

// wake lets waiting watches look at the store again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(object objectstore.Object) objectstore.Object {
	object.Value = append([]byte(nil), object.Value...)
	return object
}
