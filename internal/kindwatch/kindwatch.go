// Package kindwatch follows all objects of one kind of the platform's store: it
// reads the list once, watches from its revision, and reads the list again when
// the store has dropped the history in between.
package kindwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
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
)

// Handler takes what was read. Its methods are called from one goroutine.
type Handler interface {
	// Replace enters a whole list.
	Replace(objects []objectstore.Object)
	// Change enters changes in order.
	Change(changes []objectstore.Change)
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
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision int64
	listed := false
	retry := firstRetry
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = f.list(ctx)
			listed = err == nil
		} else {
			revision, err = f.watch(ctx, revision)
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
		sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, longestRetry)
	}
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
	f.Handler.Replace(all)
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, revision int64) (int64, error) {
	began := time.Now()
	changes, err := f.Store.Watch(ctx, f.Kind+"/", revision, f.Wait)
	if err != nil {
		return revision, err
	}
	if len(changes.Changes) > 0 {
		f.Handler.Change(changes.Changes)
		sleep(ctx, f.Pause)
	} else if time.Since(began) < quickFailure {
		sleep(ctx, firstRetry)
	}
	return changes.Revision, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
