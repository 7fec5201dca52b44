package objectstore

import (
	"context"
	"time"

	"cicadaslip/internal/model"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Object is one object as a read or write returned it.
type Object struct {
	Key      string `json:"key"`
	Version  int64  `json:"version"`  // of this object, 1 after create
	Revision int64  `json:"revision"` // of the store when the object was last written
	Value    []byte `json:"value"`
}

// Page is one part of a list, in key order.
type Page struct {
	Objects  []Object `json:"objects"`
	More     bool     `json:"more"`
	Revision int64    `json:"revision"` // of the store when the list was read
}

// Change is one event of a watch.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Changes is the answer of one watch call.
type Changes struct {
	Changes  []Change `json:"changes"`
	Revision int64    `json:"revision"` // continue the watch from here
}

// Store is the object API. Each call counts against the platform's rates, a
// waiting watch as one call.
//
// Errors: errs.Conflict when a condition does not hold (the write did not take
// effect), errs.NotFound, errs.TooLarge, errs.StoreUnavailable when the call
// certainly had no effect, errs.StoreAmbiguous when a write may have taken or
// may still take effect, errs.StoreStale when the replica that answered has not
// reached minRevision.
type Store interface {
	// Get reads one object at a revision of at least minRevision.
	Get(ctx context.Context, key string, minRevision int64) (Object, error)
	// Create writes an object that must not exist.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces an object whose version must be the given one.
	Update(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Put writes an object without a condition.
	Put(ctx context.Context, key string, value []byte) (Object, error)
	// Delete removes an object whose version must be the given one.
	Delete(ctx context.Context, key string, version int64) error
	// List returns up to limit objects with the prefix and keys after "after".
	List(ctx context.Context, prefix, after string, limit int, minRevision int64) (Page, error)
	// Watch waits until an object with the prefix changes after revision since,
	// or until wait has passed (then no changes are returned).
	Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Changes, error)
}

// Lister reads the platform's list, which lags behind the truth.
type Lister interface {
	List(ctx context.Context) (model.Listing, error)
}
