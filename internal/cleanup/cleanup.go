package cleanup

import (
	"context"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// Liveness reports which VMs are gone.
type Liveness interface {
	// Gone reports whether an incarnation is confirmed gone.
	Gone(holder model.Holder) bool
	// Listed reports whether the VM is in the newest list of the platform. It
	// also returns true if no list was read yet.
	Listed(vm string) bool
}

// Cleaner deletes unneeded objects on behalf of the VM Self. Its methods must
// not be called concurrently.
type Cleaner struct {
	Self     model.Holder
	Store    objectstore.Store
	Liveness Liveness
	// Retention is the time for which an object is kept after it was first
	// found to be unneeded.
	Retention time.Duration
	Now       func() time.Time
}

// RunOnce makes one pass over all objects. It continues with the usage
// documents if the registrations fail and returns the first failure; the next
// pass retries what failed.
func (c *Cleaner) RunOnce(ctx context.Context) error {
	firstErr := c.deleteRegistrations(ctx)
	if err := c.rollUpUsage(ctx); firstErr == nil {
		firstErr = err
	}
	return firstErr
}

// writeObject replaces the given version of an object, or creates the object if
// the version is 0.
func (c *Cleaner) writeObject(ctx context.Context, key string, value []byte, version int64) error {
	var err error
	if version == 0 {
		_, err = c.Store.Create(ctx, key, value)
	} else {
		_, err = c.Store.Update(ctx, key, value, version)
	}
	return err
}

// deleteUnchanged deletes an object if its version is still the one that was
// read. It succeeds if the object does not exist, because the response to an
// earlier deletion may have been lost.
func (c *Cleaner) deleteUnchanged(ctx context.Context, object objectstore.Object) error {
	err := c.Store.Delete(ctx, object.Key, object.Version)
	if errs.Is(err, errs.NotFound) {
		return nil
	}
	return err
}
