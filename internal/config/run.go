package config

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay after an error, which
	// doubles with each consecutive error. A store that becomes available
	// again is noticed within maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// jitterFraction is the width of the random spread of a wait, as a fraction
	// of the wait. The spread keeps the nodes of a deployment from reading at
	// the same moment after an outage.
	jitterFraction = 0.5
)

// Run follows the accepted configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retryDelay := time.Duration(0)
	for ctx.Err() == nil {
		err := f.runOnce(ctx)
		if err == nil {
			retryDelay = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.reportError(err)
		retryDelay = min(max(2*retryDelay, minRetryDelay), maxRetryDelay)
		f.waitForWakeup(ctx, retryDelay)
	}
}

// reportError passes an error to OnError.
func (f *Follower) reportError(err error) {
	if f.options.OnError != nil {
		f.options.OnError(err)
	}
}

// runOnce obtains at most one update: it fetches an announced version, watches
// the root, or waits for the poll interval and polls. A wakeup ends the wait
// early.
func (f *Follower) runOnce(ctx context.Context) error {
	if f.announcedVersion.Load() > f.Version() {
		return f.catchUp(ctx)
	}
	if f.watching.Load() {
		return f.watch(ctx)
	}
	if f.Version() > 0 && f.waitForWakeup(ctx, f.options.PollInterval) {
		return nil
	}
	return f.poll(ctx)
}

// catchUp fetches a version that a peer has announced. It asks peers first, so
// that the read rate of the store does not grow with the number of nodes, and
// then the store.
func (f *Follower) catchUp(ctx context.Context) error {
	announced := f.announcedVersion.Load()
	err := f.ReadPeers(ctx)
	if f.Version() >= announced {
		return nil
	}
	if storeErr := f.ReadStore(ctx, 0); storeErr != nil && err == nil {
		err = storeErr
	}
	if f.Version() >= announced {
		return nil
	}
	if err == nil {
		err = errs.New(errs.StoreStale, "a configuration version announced by a peer cannot be read yet")
	}
	return err
}

// poll reads the store. If that fails, it reads from peers instead.
func (f *Follower) poll(ctx context.Context) error {
	err := f.ReadStore(ctx, 0)
	if err != nil && f.options.Peers != nil && f.ReadPeers(ctx) == nil && f.Version() > 0 {
		f.reportError(err)
		return nil
	}
	return err
}

// watch waits for a change of the root and applies it.
func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	since := f.revision
	f.mu.Unlock()
	if since == 0 {
		return f.poll(ctx)
	}
	changes, err := f.watchOnce(ctx, since)
	if err != nil {
		// The store may have dropped changes since the known revision, so read
		// the root itself.
		if readErr := f.poll(ctx); readErr != nil {
			return readErr
		}
		if errs.Is(err, errs.StoreStale) {
			return nil
		}
		return err
	}
	if len(changes.Changes) > 0 {
		return f.ReadStore(ctx, changes.Revision)
	}
	f.mu.Lock()
	f.revision = max(f.revision, changes.Revision)
	f.mu.Unlock()
	return nil
}

// watchOnce makes one watch call. A wakeup ends the call early without changes.
func (f *Follower) watchOnce(ctx context.Context, since int64) (objectstore.Changes, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		changes objectstore.Changes
		err     error
	}
	results := make(chan result, 1)
	go func() {
		changes, err := f.options.Store.Watch(watchCtx, RootKey, since, f.options.WatchWait)
		results <- result{changes, err}
	}()
	select {
	case r := <-results:
		if r.err == nil {
			f.lastContact.Store(f.options.Now().UnixNano())
		}
		return r.changes, r.err
	case <-f.wakeup:
		return objectstore.Changes{Revision: since}, nil
	}
}

// waitForWakeup waits for d, spread by jitter. It returns true if a wakeup
// arrived or ctx ended first.
func (f *Follower) waitForWakeup(ctx context.Context, d time.Duration) bool {
	jitter := 1 + jitterFraction*(rand.Float64()-0.5)
	timer := time.NewTimer(time.Duration(float64(d) * jitter))
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-f.wakeup:
		return true
	case <-ctx.Done():
		return true
	}
}
