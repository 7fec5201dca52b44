// Package kindwatch follows all objects of one kind of the platform's store: it
// reads the list once, watches from its revision, and reads the list again when
// the store has dropped the history in between.
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
	// pageLimit is the number of objects asked for with one call.
	pageLimit = 500
	// firstRetry and longestRetry bound the pause after a failed call.
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// quickFailure is the time under which a watch that ends without news counts
	// as cut, so that it is not repeated at once.
	quickFailure = 50 * time.Millisecond
	// doubtTime is the time after which news that others have seen should be here.
	doubtTime = 500 * time.Millisecond
	// idlePoll is the time between looks whether the kind is to be followed.
	idlePoll = 100 * time.Millisecond
	// cautiousWait is the wait of the first watch after a failure.
	cautiousWait = 300 * time.Millisecond
)

// Handler takes what was read. Its methods are called from one goroutine.
type Handler interface {
	// Replace enters a whole list that was read at a revision.
	Replace(objects []objectstore.Object, revision int64)
	// Change enters changes in order, and the revision up to which they are complete.
	Change(changes []objectstore.Change, revision int64)
	// Reached tells of the result of a call to the store.
	Reached(err error)
}

// Follower follows one kind.
type Follower struct {
	Store   objectstore.Store
	Kind    string
	Handler Handler
	// Wait is the longest time that one watch call waits at the store.
	Wait time.Duration
	// Pause is the time after news before the next watch, so that many changes
	// cost few calls.
	Pause time.Duration
	// Active reports whether the kind is followed now; nil if always. The list is
	// read once in any case.
	Active func() bool
	// Known returns the revision up to which this process knows all from others, so
	// that the watch goes on from there; nil if it knows nothing from others.
	Known func() int64

	mu       sync.Mutex
	newest   int64 // revision of the newest object seen
	reached  int64 // the store was read up to this revision
	cancel   context.CancelFunc
	doubted  bool // others have seen more
	since    time.Time
	cautious bool // the last call failed
}

// Newest returns the revision of the newest object seen.
func (f *Follower) Newest() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// Behind tells that another process has seen an object of a revision. If the
// follower does not see it soon, its watch has gone silent and is repeated.
func (f *Follower) Behind(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case revision <= f.reached:
		f.doubted = false
	case !f.doubted:
		f.doubted, f.since = true, time.Now()
	case time.Since(f.since) > f.Pause+doubtTime:
		f.doubted = false
		f.interrupt()
	}
}

// Retry gives up the present watch, after another call showed that the store or
// the connections to it are in trouble.
func (f *Follower) Retry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cautious = true
	f.interrupt()
}

func (f *Follower) interrupt() {
	if f.cancel != nil {
		f.cancel()
	}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision int64
	listed := false
	retry := firstRetry
	for ctx.Err() == nil {
		if listed && f.Active != nil && !f.Active() {
			pause.For(ctx, idlePoll)
			continue
		}
		if known := f.known(); known > revision {
			revision, listed = known, true
		}
		var err error
		call, cancel := context.WithCancel(ctx)
		f.begin(cancel)
		if !listed {
			revision, err = f.list(call)
			listed = err == nil
		} else {
			revision, err = f.watch(call, revision)
		}
		interrupted := call.Err() != nil
		cancel()
		f.end(revision, err)
		if interrupted {
			continue
		}
		f.Handler.Reached(err)
		switch {
		case err == nil:
			retry = firstRetry
			continue
		case errs.Is(err, errs.HistoryGone):
			listed = false
			continue
		}
		pause.For(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, longestRetry)
	}
}

func (f *Follower) known() int64 {
	if f.Known == nil {
		return 0
	}
	return f.Known()
}

// list reads all pages. Changes between two pages are seen again by the watch,
// which starts at the revision of the first.
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
	f.see(all)
	f.Handler.Replace(all, revision)
	return revision, nil
}

func (f *Follower) see(objects []objectstore.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range objects {
		f.newest = max(f.newest, o.Revision)
	}
}

func (f *Follower) begin(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

func (f *Follower) end(revision int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	f.reached = max(f.reached, revision)
	f.cautious = err != nil && !errs.Is(err, errs.HistoryGone)
}

// wait is the time of the next watch. After a failure it is short, so that a store
// that is silent again is noticed.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cautious {
		return min(f.Wait, cautiousWait)
	}
	return f.Wait
}

func (f *Follower) watch(ctx context.Context, revision int64) (int64, error) {
	began := time.Now()
	changes, err := f.Store.Watch(ctx, f.Kind+"/", revision, f.wait())
	if err != nil {
		return revision, err
	}
	for _, c := range changes.Changes {
		f.see([]objectstore.Object{c.Object})
	}
	f.Handler.Change(changes.Changes, changes.Revision)
	if len(changes.Changes) > 0 {
		f.mu.Lock()
		f.reached = max(f.reached, changes.Revision)
		f.mu.Unlock()
		pause.For(ctx, f.Pause)
	} else if time.Since(began) < quickFailure {
		pause.For(ctx, firstRetry)
	}
	return changes.Revision, nil
}
