package objectstore

import (
	"context"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// MaxValueBytes is the size of the largest value that the object API stores, in bytes.
const MaxValueBytes = 1 << 20

// Object is the state of one object that a read or a write returned.
type Object struct {
	Key      string `json:"key"`
	Version  int64  `json:"version"`  // version of this object; 1 after its creation
	Revision int64  `json:"revision"` // revision of the store at the last write of this object
	Value    []byte `json:"value"`
	// Invalid tells why an object that was read can't be decoded, nil if it can. It then has no
	// value, and in lists and watches its key ends with the slash if it has no name either.
	Invalid *errs.Error `json:"-"`
}

// Page is one page of a list. Its objects are in key order.
type Page struct {
	Objects  []Object `json:"objects"`
	More     bool     `json:"more"`     // more objects follow the last one of this page
	Revision int64    `json:"revision"` // revision of the store at which the page was read
}

// Change is one write or deletion that a watch returns.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Changes is the result of one watch call.
type Changes struct {
	Changes  []Change `json:"changes"`
	Revision int64    `json:"revision"` // pass this as since to the next watch call
}

// Store is the object API. Each call counts against the platform's rate limits;
// a watch counts as one call however long it waits.
//
// Methods return these errors:
//   - errs.Conflict if the condition of a write does not hold; the write had no
//     effect;
//   - errs.NotFound if the object does not exist;
//   - errs.TooLarge if the value exceeds MaxValueBytes;
//   - errs.StoreUnavailable if the call failed and certainly had no effect;
//   - errs.StoreAmbiguous if a write may have taken effect or may still do so;
//   - errs.StoreStale if the replica that answered has not reached minRevision;
//   - errs.HistoryGone if a watch cannot go on from its revision, because the store no
//     longer has the changes since, or was restored from a copy.
//
// The versions and revisions of a store that may be restored from a copy are Positions.
type Store interface {
	// Get reads one object at a revision of at least minRevision.
	Get(ctx context.Context, key string, minRevision int64) (Object, error)
	// Create writes a new object. It fails with errs.Conflict if the key exists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the object if its current version equals version.
	Update(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Put creates or replaces an object unconditionally.
	Put(ctx context.Context, key string, value []byte) (Object, error)
	// Delete removes the object if its current version equals version.
	Delete(ctx context.Context, key string, version int64) error
	// List returns, in key order, up to limit objects whose keys start with prefix
	// and sort after the key after.
	List(ctx context.Context, prefix, after string, limit int, minRevision int64) (Page, error)
	// Watch waits until an object whose key starts with prefix changes after
	// revision since. If wait passes first, it returns no changes.
	Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Changes, error)
}

// Lister reads the platform's list of VMs and targets, which lags behind the
// actual state.
type Lister interface {
	List(ctx context.Context) (model.Listing, error)
}
