package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/metrics"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// meteredStore is an objectstore.Store that records the outcome and the latency
// of each call.
type meteredStore struct {
	store   objectstore.Store
	metrics *metrics.Registry
}

// measureCall runs call and records its outcome and latency as those of a store
// call.
func measureCall[T any](m *metrics.Registry, call func() (T, error)) (T, error) {
	start := time.Now()
	result, err := call()
	m.Observe(metrics.StoreLatency, time.Since(start))
	return result, m.CountError(metrics.StoreCallsByOutcome, err)
}

// Get implements objectstore.Store.
func (s meteredStore) Get(ctx context.Context, key string, minRevision int64) (objectstore.Object, error) {
	return measureCall(s.metrics, func() (objectstore.Object, error) { return s.store.Get(ctx, key, minRevision) })
}

// Create implements objectstore.Store.
func (s meteredStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return measureCall(s.metrics, func() (objectstore.Object, error) { return s.store.Create(ctx, key, value) })
}

// Update implements objectstore.Store.
func (s meteredStore) Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	return measureCall(s.metrics, func() (objectstore.Object, error) { return s.store.Update(ctx, key, value, version) })
}

// Put implements objectstore.Store.
func (s meteredStore) Put(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return measureCall(s.metrics, func() (objectstore.Object, error) { return s.store.Put(ctx, key, value) })
}

// Delete implements objectstore.Store.
func (s meteredStore) Delete(ctx context.Context, key string, version int64) error {
	_, err := measureCall(s.metrics, func() (struct{}, error) { return struct{}{}, s.store.Delete(ctx, key, version) })
	return err
}

// List implements objectstore.Store.
func (s meteredStore) List(ctx context.Context, prefix, after string, limit int, minRevision int64) (objectstore.Page, error) {
	return measureCall(s.metrics, func() (objectstore.Page, error) {
		return s.store.List(ctx, prefix, after, limit, minRevision)
	})
}

// Watch implements objectstore.Store. It does not record the latency, because
// the call waits for a change.
func (s meteredStore) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (objectstore.Changes, error) {
	changes, err := s.store.Watch(ctx, prefix, since, wait)
	return changes, s.metrics.CountError(metrics.StoreCallsByOutcome, err)
}

// meteredLister is an objectstore.Lister that records the reads of the
// platform's list as store calls.
type meteredLister struct {
	lister  objectstore.Lister
	metrics *metrics.Registry
}

// List implements objectstore.Lister.
func (l meteredLister) List(ctx context.Context) (model.Listing, error) {
	return measureCall(l.metrics, func() (model.Listing, error) { return l.lister.List(ctx) })
}
