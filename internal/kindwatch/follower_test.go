package kindwatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

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

func (nopHandler) Replace([]objectstore.Object, int64) {}
func (nopHandler) Change([]objectstore.Change, int64)  {}
func (nopHandler) StoreCalled(error)                   {}

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
				Active: func() bool { return false }, KnownRevision: known.Load, InitialWait: 2 * time.Second,
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
