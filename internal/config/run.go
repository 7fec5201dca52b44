package config

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

const (
	// firstRetry and lastRetry bound the pause after failures, which doubles.
	// A store that comes back is noticed within lastRetry.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
	// jitterShare spreads pauses by up to this share, so that the nodes of a
	// deployment don't read at the same moment after an outage.
	jitterShare = 0.5
)

// Run follows the accepted configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := time.Duration(0)
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			retry = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		retry = min(max(2*retry, firstRetry), lastRetry)
		f.wait(ctx, retry)
	}
}

func (f *Follower) report(err error) {
	if f.options.OnError != nil {
		f.options.OnError(err)
	}
}

// step takes news from one source, or waits for some.
func (f *Follower) step(ctx context.Context) error {
	if f.heard.Load() > f.Version() {
		return f.catchUp(ctx)
	}
	if f.watching.Load() {
		return f.watch(ctx)
	}
	if f.Version() > 0 && f.wait(ctx, f.options.PollInterval) {
		return nil
	}
	return f.poll(ctx)
}

// catchUp fetches a version that was heard of: from peers, so that the read
// rate of the store does not follow the number of nodes, else from the store.
func (f *Follower) catchUp(ctx context.Context) error {
	wanted := f.heard.Load()
	err := f.ReadPeers(ctx)
	if f.Version() >= wanted {
		return nil
	}
	if storeErr := f.ReadStore(ctx, 0); storeErr != nil && err == nil {
		err = storeErr
	}
	if f.Version() >= wanted {
		return nil
	}
	if err == nil {
		err = errs.New(errs.StoreStale, "a version that a peer reported cannot be read yet")
	}
	return err
}

// poll reads the store, or peers when it is down.
func (f *Follower) poll(ctx context.Context) error {
	err := f.ReadStore(ctx, 0)
	if err != nil && f.options.Peers != nil && f.ReadPeers(ctx) == nil && f.Version() > 0 {
		f.report(err)
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
		// Older changes may be dropped, so the root itself is read.
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

// watchOnce makes one watch call, which ends early when the follower is woken.
func (f *Follower) watchOnce(ctx context.Context, since int64) (objectstore.Changes, error) {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	type answer struct {
		changes objectstore.Changes
		err     error
	}
	answers := make(chan answer, 1)
	go func() {
		changes, err := f.options.Store.Watch(watching, RootKey, since, f.options.WatchWait)
		answers <- answer{changes, err}
	}()
	select {
	case a := <-answers:
		if a.err == nil {
			f.contact.Store(f.options.Now().UnixNano())
		}
		return a.changes, a.err
	case <-f.woken:
		return objectstore.Changes{Revision: since}, nil
	}
}

// wait waits for d, spread by jitter. It returns true when the follower was
// woken or ctx ended first.
func (f *Follower) wait(ctx context.Context, d time.Duration) bool {
	spread := 1 + jitterShare*(rand.Float64()-0.5)
	timer := time.NewTimer(time.Duration(float64(d) * spread))
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-f.woken:
		return true
	case <-ctx.Done():
		return true
	}
}
