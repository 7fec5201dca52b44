// Package kindwatch follows all objects of one kind in the platform's store. It lists
// the objects once, watches for changes from the position of the list, and lists them
// again if the store no longer has the history since the last position read, as after a
// restore from a copy.
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
	// staleAfter is how long after PauseAfterChanges a position that another process has
	// seen may be missing here before the watch is repeated.
	staleAfter = 500 * time.Millisecond
	// activePollInterval is the time between two checks of Active while it is false.
	activePollInterval = 100 * time.Millisecond
	// relistJitter is the longest random delay of the first list after the history is gone.
	relistJitter = 100 * time.Millisecond
	// recoveryWatchTimeout bounds the duration of the first watch call after a failure.
	recoveryWatchTimeout = 300 * time.Millisecond
)

// Handler receives the objects that were read. Its methods are called from one
// goroutine.
type Handler interface {
	// Replace replaces all objects by those listed at a position.
	Replace(objects []objectstore.Object, at objectstore.Position)
	// Change applies changes in order. All changes up to the position are included.
	Change(changes []objectstore.Change, at objectstore.Position)
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
	// Known returns the position up to which this process has received all changes from
	// other processes, so that the watch can continue from there. It is nil if there is no
	// such source.
	Known func() objectstore.Position

	mu              sync.Mutex
	newest          objectstore.Position // of an object that was read
	readTo          objectstore.Position // up to which the store was read
	cancel          context.CancelFunc
	began           time.Time // of the current or last call
	maybeStale      bool      // another process has seen a later position than readTo
	maybeStaleSince time.Time
	lastCallFailed  bool // the last call failed, or RestartWatch was called
}

// CallBegan returns when the current or last call began.
func (f *Follower) CallBegan() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.began
}

// Newest returns the newest position of an object that was read.
func (f *Follower) Newest() objectstore.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// HandlePeerPosition records that another process has seen an object at a position. If
// the follower does not read up to that position soon, its watch is assumed to be
// dead and is repeated.
func (f *Follower) HandlePeerPosition(at objectstore.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case at <= f.readTo:
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
	for began := time.Now(); f.known() == 0 && time.Since(began) < f.InitialWait && ctx.Err() == nil; {
		pause.For(ctx, activePollInterval)
	}
	var at objectstore.Position
	listed := false
	retryDelay, relistDelay := minRetryDelay, time.Duration(0)
	for ctx.Err() == nil {
		if listed && f.Active != nil && !f.Active() {
			pause.For(ctx, activePollInterval)
			continue
		}
		if known := f.known(); known > at {
			at, listed = known, true
		}
		var err error
		callCtx, cancel := context.WithCancel(ctx)
		f.callStarted(cancel)
		watching := listed
		if watching {
			at, err = f.watch(callCtx, at)
		} else {
			at, err = f.list(callCtx, at)
			listed = err == nil
		}
		interrupted := callCtx.Err() != nil
		cancel()
		f.callEnded(at, err)
		if interrupted {
			continue
		}
		f.Handler.StoreCalled(err)
		switch {
		case err == nil:
			retryDelay = minRetryDelay
			if watching {
				relistDelay = 0
			}
			continue
		case errs.Is(err, errs.HistoryGone):
			// All processes notice a restored store at the same time, and one that is
			// restored again and again must not be listed without a pause.
			listed = false
			pause.For(ctx, relistDelay/2+rand.N(relistDelay+relistJitter))
			relistDelay = min(max(2*relistDelay, minRetryDelay), maxRetryDelay)
			continue
		}
		pause.For(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

func (f *Follower) known() objectstore.Position {
	if f.Known == nil {
		return 0
	}
	return f.Known()
}

// list reads all pages and returns the position of the first one. The watch starts
// from that position, so it also returns changes made between two pages. If it fails, it
// returns the position before.
func (f *Follower) list(ctx context.Context, before objectstore.Position) (objectstore.Position, error) {
	var all []objectstore.Object
	prefix, after := f.Kind+"/", ""
	first := objectstore.Position(-1)
	for {
		page, err := f.Store.List(ctx, prefix, after, pageLimit, 0)
		if err != nil {
			return before, err
		}
		if first < 0 {
			first = page.Position()
		}
		if page.Position().Era() != first.Era() {
			return before, errs.New(errs.HistoryGone, "the store was restored between two pages of a list of "+f.Kind)
		}
		all = append(all, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
	f.updateNewest(all)
	f.Handler.Replace(all, first)
	return first, nil
}

func (f *Follower) updateNewest(objects []objectstore.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range objects {
		f.newest = max(f.newest, objects[i].Position())
	}
}

func (f *Follower) callStarted(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.began = cancel, time.Now()
}

func (f *Follower) callEnded(at objectstore.Position, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	f.readTo = max(f.readTo, at)
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

func (f *Follower) watch(ctx context.Context, since objectstore.Position) (objectstore.Position, error) {
	began := time.Now()
	changes, err := f.Store.Watch(ctx, f.Kind+"/", int64(since), f.watchTimeout())
	if err != nil {
		return since, err
	}
	for _, c := range changes.Changes {
		f.updateNewest([]objectstore.Object{c.Object})
	}
	f.Handler.Change(changes.Changes, changes.Position())
	if len(changes.Changes) > 0 {
		f.mu.Lock()
		f.readTo = max(f.readTo, changes.Position())
		f.mu.Unlock()
		pause.For(ctx, f.PauseAfterChanges)
	} else if time.Since(began) < minWatchDuration {
		pause.For(ctx, minRetryDelay)
	}
	return changes.Position(), nil
}
