package kindwatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/kindwatch"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
)

// countingStore counts the lists.
type countingStore struct {
	objectstore.Store
	lists atomic.Int64
}

func (s *countingStore) List(ctx context.Context, prefix, after string, limit int, minRevision int64) (objectstore.Page, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix, after, limit, minRevision)
}

type nopHandler struct{}

func (nopHandler) Replace([]objectstore.Object, objectstore.Position) {}
func (nopHandler) Change([]objectstore.Change, objectstore.Position)  {}
func (nopHandler) StoreCalled(error)                                  {}

// The start of a deployment of many VMs: each that lists all kinds by itself costs the
// store calls that one relay can save. A follower that is told the objects by another
// process in time must not list them, and one that is not must list them after its wait.
func TestFirstListWaitsForOtherProcesses(t *testing.T) {
	for name, told := range map[string]bool{"told": true, "not told": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := &countingStore{Store: memstore.New()}
			var known atomic.Int64
			f := &kindwatch.Follower{
				Store: store, Kind: "servers", Handler: nopHandler{}, WatchTimeout: time.Second,
				Active: func() bool { return false }, Known: func() objectstore.Position { return objectstore.Position(known.Load()) }, InitialWait: 2 * time.Second,
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.Run(ctx)
			if told {
				known.Store(7)
				g.Consistently(store.lists.Load).WithTimeout(3 * time.Second).Should(gomega.BeZero())
				return
			}
			g.Consistently(store.lists.Load).WithTimeout(time.Second).Should(gomega.BeZero())
			g.Eventually(store.lists.Load).WithTimeout(10 * time.Second).Should(gomega.Equal(int64(1)))
		})
	}
}

// restoringStore is restored again and again: each watch fails because its history is gone.
type restoringStore struct {
	countingStore
	pages []objectstore.Page // of the next list, if not empty
}

func (s *restoringStore) Watch(context.Context, string, int64, time.Duration) (objectstore.Changes, error) {
	return objectstore.Changes{}, errs.New(errs.HistoryGone, "restored")
}

func (s *restoringStore) List(_ context.Context, _, _ string, _ int, _ int64) (objectstore.Page, error) {
	s.lists.Add(1)
	if len(s.pages) == 0 {
		return objectstore.Page{Revision: 1}, nil
	}
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

// Guards against a VM that lists a kind and watches it in turn, without a pause.
func TestListsOfAStoreWithoutHistoryArePaced(t *testing.T) {
	g := gomega.NewWithT(t)
	store := &restoringStore{}
	f := &kindwatch.Follower{Store: store, Kind: "servers", Handler: nopHandler{}, WatchTimeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f.Run(ctx)
	g.Expect(store.lists.Load()).To(gomega.BeNumerically("<=", 20))
	g.Expect(store.lists.Load()).To(gomega.BeNumerically(">=", 2))
}

// listRecorder records the lists that it is given.
type listRecorder struct {
	nopHandler
	lists chan []objectstore.Object
}

func (r listRecorder) Replace(objects []objectstore.Object, _ objectstore.Position) {
	r.lists <- objects
}

// Guards against a list whose pages come from two histories of the store.
func TestListThatSpansARestoreIsRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	object := func(era, revision int64) objectstore.Object {
		at, err := objectstore.NewPosition(era, revision)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return objectstore.Object{Key: "servers/a", Version: int64(at), Revision: int64(at)}
	}
	before, after := object(1, 9), object(2, 4)
	store := &restoringStore{pages: []objectstore.Page{
		{Objects: []objectstore.Object{before}, More: true, Revision: before.Revision},
		{Objects: []objectstore.Object{after}, Revision: after.Revision},
		{Objects: []objectstore.Object{after}, Revision: after.Revision},
	}}
	recorder := listRecorder{lists: make(chan []objectstore.Object, 10)}
	f := &kindwatch.Follower{Store: store, Kind: "servers", Handler: recorder, WatchTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	g.Eventually(recorder.lists).WithTimeout(10 * time.Second).Should(gomega.Receive(gomega.Equal([]objectstore.Object{after})))
}
