package journal

import (
	"context"
	"slices"
	"strings"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// objectState is the state of a key from a revision on: the object, or its
// deletion.
type objectState struct {
	object   objectstore.Object
	revision int64
	deleted  bool
}

// fakeStore is an object store in memory. It keeps every state of every key, so
// that reads can be stale.
type fakeStore struct {
	revision int64
	history  map[string][]objectState
	calls    int // reads and writes
	writes   int
}

func newFakeStore() *fakeStore { return &fakeStore{history: make(map[string][]objectState)} }

// objectAt returns the object of a key as of a revision, or false if there was
// none.
func (f *fakeStore) objectAt(key string, revision int64) (objectstore.Object, bool) {
	states := f.history[key]
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].revision <= revision {
			return states[i].object, !states[i].deleted
		}
	}
	return objectstore.Object{}, false
}

func (f *fakeStore) write(key string, value []byte, version int64) objectstore.Object {
	f.revision++
	object := objectstore.Object{Key: key, Version: version, Revision: f.revision, Value: slices.Clone(value)}
	f.history[key] = append(f.history[key], objectState{object: object, revision: f.revision})
	return object
}

func (f *fakeStore) create(key string, value []byte) (objectstore.Object, error) {
	if _, found := f.objectAt(key, f.revision); found {
		return objectstore.Object{}, errs.New(errs.Conflict, "exists")
	}
	return f.write(key, value, 1), nil
}

func (f *fakeStore) update(key string, value []byte, version int64) (objectstore.Object, error) {
	old, found := f.objectAt(key, f.revision)
	if !found || old.Version != version {
		return objectstore.Object{}, errs.New(errs.Conflict, "other version")
	}
	return f.write(key, value, version+1), nil
}

func (f *fakeStore) remove(key string, version int64) error {
	old, found := f.objectAt(key, f.revision)
	if !found || old.Version != version {
		return errs.New(errs.Conflict, "other version")
	}
	f.revision++
	f.history[key] = append(f.history[key], objectState{revision: f.revision, deleted: true})
	return nil
}

func (f *fakeStore) get(key string, revision int64) (objectstore.Object, error) {
	object, found := f.objectAt(key, revision)
	if !found {
		return object, errs.New(errs.NotFound, "no such object")
	}
	return object, nil
}

func (f *fakeStore) list(prefix, after string, limit int, revision int64) objectstore.Page {
	page := objectstore.Page{Revision: revision}
	var keys []string
	for key := range f.history {
		if _, found := f.objectAt(key, revision); found && strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.More = len(keys) > limit
	for _, key := range keys[:min(limit, len(keys))] {
		object, _ := f.objectAt(key, revision)
		page.Objects = append(page.Objects, object)
	}
	return page
}

// faults determines the faults of the store calls of one VM.
type faults interface {
	pause()                 // lets other actors run
	writeFault() writeFault // returns the fault of the next write
	delay(write func())     // queues a write that takes effect later
	// readRevision returns the revision that a read sees. Below minRevision the
	// read fails with StoreStale, below 0 with StoreUnavailable.
	readRevision(minRevision int64) int64
}

type writeFault int

const (
	writeApplied             writeFault = iota
	writeUnavailable                    // no effect
	writeLost                           // no effect, ambiguous
	writeUnanswered                     // took effect, ambiguous
	writeDelayed                        // takes effect later, ambiguous
	writeFalselyAcknowledged            // no effect, reported as success; used only when a mechanism is switched off
)

// faultyStore is one VM's connection to the store.
type faultyStore struct {
	store  *fakeStore
	faults faults
}

func (f *faultyStore) write(do func() (objectstore.Object, error)) (objectstore.Object, error) {
	f.store.calls++
	f.store.writes++
	f.faults.pause()
	defer f.faults.pause()
	switch f.faults.writeFault() {
	case writeUnavailable:
		return objectstore.Object{}, errs.New(errs.StoreUnavailable, "store is down")
	case writeLost:
	case writeUnanswered:
		_, _ = do()
	case writeDelayed:
		f.faults.delay(func() { _, _ = do() })
	case writeFalselyAcknowledged:
		return objectstore.Object{Version: 1, Revision: f.store.revision}, nil
	default:
		return do()
	}
	return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "response lost")
}

func (f *faultyStore) read(minRevision int64, do func(revision int64) error) error {
	f.store.calls++
	f.faults.pause()
	defer f.faults.pause()
	revision := f.faults.readRevision(minRevision)
	if revision < 0 {
		return errs.New(errs.StoreUnavailable, "store is down")
	}
	if revision < minRevision {
		return errs.New(errs.StoreStale, "replica is behind")
	}
	return do(revision)
}

func (f *faultyStore) Get(_ context.Context, key string, minRevision int64) (object objectstore.Object, err error) {
	err = f.read(minRevision, func(revision int64) (err error) { object, err = f.store.get(key, revision); return err })
	return object, err
}

func (f *faultyStore) Create(_ context.Context, key string, value []byte) (objectstore.Object, error) {
	return f.write(func() (objectstore.Object, error) { return f.store.create(key, value) })
}

func (f *faultyStore) Update(_ context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	return f.write(func() (objectstore.Object, error) { return f.store.update(key, value, version) })
}

func (f *faultyStore) Put(context.Context, string, []byte) (objectstore.Object, error) {
	return objectstore.Object{}, errs.New(errs.Internal, "not used by the journal")
}

func (f *faultyStore) Delete(_ context.Context, key string, version int64) error {
	_, err := f.write(func() (objectstore.Object, error) { return objectstore.Object{}, f.store.remove(key, version) })
	return err
}

func (f *faultyStore) List(_ context.Context, prefix, after string, limit int, minRevision int64) (page objectstore.Page, err error) {
	err = f.read(minRevision, func(revision int64) error { page = f.store.list(prefix, after, limit, revision); return nil })
	return page, err
}

func (f *faultyStore) Watch(context.Context, string, int64, time.Duration) (objectstore.Changes, error) {
	return objectstore.Changes{}, errs.New(errs.Internal, "not used by the journal")
}
