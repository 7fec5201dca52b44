package cleanup

import (
	"context"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// Liveness says what is known of VMs.
type Liveness interface {
	// Gone reports whether an incarnation is confirmed gone.
	Gone(holder model.Holder) bool
	// Listed reports whether the platform's newest list shows a VM, or whether
	// no list was read yet.
	Listed(vm string) bool
}

// Cleaner has the duty of one VM. Its methods must not be called concurrently.
type Cleaner struct {
	Self      model.Holder
	Store     objectstore.Store
	Liveness  Liveness
	Retention time.Duration // from the time at which an object was first found to be unneeded
	Now       func() time.Time
}

// Pass looks at all objects once. What fails is tried again by the next pass;
// the first failure is returned, and the other parts are tried all the same.
func (c *Cleaner) Pass(ctx context.Context) error {
	first := c.registrations(ctx)
	if err := c.usage(ctx); first == nil {
		first = err
	}
	return first
}

// write replaces an object whose version was read; version 0 creates it.
func (c *Cleaner) write(ctx context.Context, key string, value []byte, version int64) error {
	var err error
	if version == 0 {
		_, err = c.Store.Create(ctx, key, value)
	} else {
		_, err = c.Store.Update(ctx, key, value, version)
	}
	return err
}

// remove deletes an object unless it has changed. One that is gone already is no
// failure: an earlier attempt's response was lost.
func (c *Cleaner) remove(ctx context.Context, object objectstore.Object) error {
	err := c.Store.Delete(ctx, object.Key, object.Version)
	if errs.Is(err, errs.NotFound) {
		return nil
	}
	return err
}
