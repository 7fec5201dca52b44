// Package kindwatch follows all objects of one kind in the platform's store. It lists
// the objects once, watches for changes from the revision of the list, and lists them
// again if the store no longer has the history since the last revision read.
package kindwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/pause"
)

const (
	// pageLimit is the largest number of objects requested with one call.
	pageLimit = 500
	// minRetryDelay and maxRetryDelay bound the mean delay after a failed call, which
	// doubles with each failure in a row.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// minWatchDuration is the time below which a watch that returns no changes counts as
	// cut off, so that it is repeated only after minRetryDelay.
	minWatchDuration = 50 * time.Millisecond
	// staleAfter is how long after PauseAfterChanges a revision that another process has
	// seen may be missing here before the watch is repeated.
	staleAfter = 500 * time.Millisecond
	// activePollInterval is the time between two checks of Active while it is false.
	activePollInterval = 100 * time.Millisecond
	// recoveryWatchTimeout bounds the duration of the first watch call after a failure.
	recoveryWatchTimeout = 300 * time.Millisecond
)

// Handler receives the objects that were read. Its methods are called from one
// goroutine.
type Handler interface {
	// Replace replaces all objects by those listed at a revision.
	Replace(objects []objectstore.Object, revision int64)
	// Change applies changes in order. All changes up to the revision are included.
	Change(changes []objectstore.Change, revision int64)
	// StoreCalled reports the result of a call to the store.
	StoreCalled(err error)
}

// Follower follows the objects of one kind.
type Follower struct {
	Store   objectstore.Store
	Kind    string
	Handler Handler
	// WatchTimeout is the longest time that the store holds one watch call without changes.
	WatchTimeout time.Duration
	// PauseAfterChanges is the delay between received changes and the next watch call, so
	// that many changes cost few calls.
	PauseAfterChanges time.Duration
	// Active reports whether to watch the store now; nil means always. The objects are
	// listed once in any case.
	Active func() bool
	// InitialWait is how long the first list waits for changes from other processes, which
	// may make it unnecessary. It requires KnownRevision.
	InitialWait time.Duration
	// KnownRevision returns the revision up to which this process has received all
	// changes from other processes, so that the watch can continue from there. It is
	// nil if there is no such source.
	KnownRevision func() int64

	mu              sync.Mutex
	newestRevision  int64 // newest revision of an object that was read
	readRevision    int64 // revision up to which the store was read
	cancel          context.CancelFunc
	maybeStale      bool // another process has seen a later revision than readRevision
	maybeStaleSince time.Time
	lastCallFailed  bool // the last call failed, or RestartWatch was called
}

// NewestRevision returns the newest revision of an object that was read.
func (f *Follower) NewestRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestRevision
}

// HandlePeerRevision records that another process has seen an object of a revision. If
// the follower does not read up to that revision soon, its watch is assumed to be
// dead and is repeated.
func (f *Follower) HandlePeerRevision(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case revision <= f.readRevision:
		f.maybeStale = false
	case !f.maybeStale:
		f.maybeStale, f.maybeStaleSince = true, time.Now()
	case time.Since(f.maybeStaleSince) > f.PauseAfterChanges+staleAfter:
		f.maybeStale = false
		f.cancelCall()
	}
}

// RestartWatch cancels the current call, so that Run makes a new one. It is used after
// another call showed a failure of the store or of the connections to it.
func (f *Follower) RestartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCallFailed = true
	f.cancelCall()
}

func (f *Follower) cancelCall() {
	if f.cancel != nil {
		f.cancel()
	}
}

// Run lists and watches the objects until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for began := time.Now(); f.knownRevision() == 0 && time.Since(began) < f.InitialWait && ctx.Err() == nil; {
		pause.For(ctx, activePollInterval)
	}
	var revision int64
	listed := false
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if listed && f.Active != nil && !f.Active() {
			pause.For(ctx, activePollInterval)
			continue
		}
		if knownRevision := f.knownRevision(); knownRevision > revision {
			revision, listed = knownRevision, true
		}
		var err error
		callCtx, cancel := context.WithCancel(ctx)
		f.callStarted(cancel)
		if !listed {
			revision, err = f.list(callCtx)
			listed = err == nil
		} else {
			revision, err = f.watch(callCtx, revision)
		}
		interrupted := callCtx.Err() != nil
		cancel()
		f.callEnded(revision, err)
		if interrupted {
			continue
		}
		f.Handler.StoreCalled(err)
		switch {
		case err == nil:
			retryDelay = minRetryDelay
			continue
		case errs.Is(err, errs.HistoryGone):
			listed = false
			continue
		}
		pause.For(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

func (f *Follower) knownRevision() int64 {
	if f.KnownRevision == nil {
		return 0
	}
	return f.KnownRevision()
}

// list reads all pages and returns the revision of the first one. The watch starts
// from that revision, so it also returns changes made between two pages.
func (f *Follower) list(ctx context.Context) (int64, error) {
	var all []objectstore.Object
	prefix, after := f.Kind+"/", ""
	revision := int64(-1)
	for {
		page, err := f.Store.List(ctx, prefix, after, pageLimit, 0)
		if err != nil {
			return 0, err
		}
		if revision < 0 {
			revision = page.Revision
		}
		all = append(all, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
	f.updateNewest(all)
	f.Handler.Replace(all, revision)
	return revision, nil
}

func (f *Follower) updateNewest(objects []objectstore.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range objects {
		f.newestRevision = max(f.newestRevision, o.Revision)
	}
}

func (f *Follower) callStarted(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

func (f *Follower) callEnded(revision int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	f.readRevision = max(f.readRevision, revision)
	f.lastCallFailed = err != nil && !errs.Is(err, errs.HistoryGone)
}

// watchTimeout returns the time limit of the next watch call. It is short after a failure,
// so that a store that stops responding again is noticed soon.
func (f *Follower) watchTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastCallFailed {
		return min(f.WatchTimeout, recoveryWatchTimeout)
	}
	return f.WatchTimeout
}

func (f *Follower) watch(ctx context.Context, revision int64) (int64, error) {
	began := time.Now()
	changes, err := f.Store.Watch(ctx, f.Kind+"/", revision, f.watchTimeout())
	if err != nil {
		return revision, err
	}
	for _, c := range changes.Changes {
		f.updateNewest([]objectstore.Object{c.Object})
	}
	f.Handler.Change(changes.Changes, changes.Revision)
	if len(changes.Changes) > 0 {
		f.mu.Lock()
		f.readRevision = max(f.readRevision, changes.Revision)
		f.mu.Unlock()
		pause.For(ctx, f.PauseAfterChanges)
	} else if time.Since(began) < minWatchDuration {
		pause.For(ctx, minRetryDelay)
	}
	return changes.Revision, nil
}
