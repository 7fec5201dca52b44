package config_test

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
)

// publisher returns a Publisher that does not wait before retries.
func publisher(store objectstore.Store) config.Publisher {
	return config.Publisher{Store: store, Backoff: func(context.Context, int) error { return nil }}
}

// Guards against a wrong result of a publication whose response was lost, for
// each point in time at which the write can take effect.
func TestAmbiguousRootWriteIsResolved(t *testing.T) {
	for name, rule := range map[string]memstore.Rule{
		"response lost":         {Fault: memstore.LoseResponse, Count: 1},
		"request lost":          {Fault: memstore.LoseRequest, Count: 1},
		"delayed":               {Fault: memstore.DelayWrite, Count: 1},
		"delayed, then applied": {Fault: memstore.DelayWrite, Count: 1, AfterCalls: 1},
		"several lost":          {Fault: memstore.LoseRequest, Count: 4},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := memstore.New()
			rule.Prefix = config.RootKey
			s.Inject(rule)
			result, err := publisher(s).Publish(ctx, document(1), 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			s.ApplyDelayed(0)
			snapshot, err := config.Load(ctx, s, result.Revision)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(snapshot.Version).To(gomega.Equal(result.Version))
		})
	}
}

// Guards against an accepted write that is reported as a conflict because
// another operator wrote on top of it before it could be read back.
func TestAcceptedWriteIsFoundAfterLaterPublication(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	_, err := publisher(s).Publish(ctx, document(1), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Inject(memstore.Rule{Fault: memstore.LoseResponse, Prefix: config.RootKey, Op: memstore.OpUpdate, Count: 1})
	first := publisher(s)
	first.Backoff = func(context.Context, int) error {
		_, err := publisher(s).Publish(ctx, document(3), 2)
		return err
	}
	result, err := first.Publish(ctx, document(2), 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Version).To(gomega.BeEquivalentTo(2))
}

// Guards against a definite result for a write that is so old that the list of
// recent writes no longer includes it.
func TestWriteMissingFromRecentListStaysAmbiguous(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	s.Inject(memstore.Rule{Fault: memstore.LoseResponse, Prefix: config.RootKey, Op: memstore.OpCreate, Count: 1})
	first := publisher(s)
	first.Backoff = func(context.Context, int) error {
		for base := range uint64(40) {
			mustPublish(g, s, 3, base+1)
		}
		return nil
	}
	_, err := first.Publish(ctx, document(2), 0)
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))
}

// Guards against wrong results under combinations of store faults and
// operators: a publication that was reported as accepted is accepted at its
// version, a publication that was refused is never accepted, and no follower
// applies an older version or a configuration that differs from another
// follower's.
func TestPublicationsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := memstore.New()
		storeFollower := config.NewFollower(config.Options{Store: s})
		peerFollower := config.NewFollower(config.Options{Store: memstore.New(), Peers: followerPeer{storeFollower}})
		accepted := map[uint64]float64{} // load rate by version; each attempt has its own load rate
		refused := map[float64]bool{}
		var lastVersion uint64
		observe := func(f *config.Follower) {
			c := f.Current()
			if c == nil {
				return
			}
			if rate, known := accepted[c.Version]; known && rate != c.LoadRate || refused[c.LoadRate] {
				t.Fatalf("version %d has load rate %v; accepted %v, refused %v", c.Version, c.LoadRate, accepted, refused)
			}
			accepted[c.Version] = c.LoadRate
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.Inject(drawFaultRules(t)...)
			d := document(rapid.IntRange(0, 3).Draw(t, "adapters"))
			d.LoadRate = float64(i + 1)
			base := storeFollower.Version() - min(storeFollower.Version(), uint64(rapid.IntRange(0, 1).Draw(t, "behind")))
			result, err := publisher(s).Publish(ctx, d, base)
			switch {
			case err == nil && accepted[result.Version] != 0:
				t.Fatalf("version %d is accepted twice", result.Version)
			case err == nil:
				accepted[result.Version] = d.LoadRate
			case !errs.Is(err, errs.StoreAmbiguous):
				refused[d.LoadRate] = true
			}
			_ = storeFollower.ReadStore(ctx, 0)
			_ = peerFollower.ReadPeers(ctx)
			if storeFollower.Version() < lastVersion || peerFollower.Version() > storeFollower.Version() {
				t.Fatalf("version went back from %d to %d; version of the peer follower: %d", lastVersion, storeFollower.Version(), peerFollower.Version())
			}
			lastVersion = storeFollower.Version()
			observe(storeFollower)
			observe(peerFollower)
		}
		s.ClearFaults()
		s.ApplyDelayed(0)
		if err := storeFollower.ReadStore(ctx, 0); err != nil && !errs.Is(err, errs.NotFound) {
			t.Fatalf("read after the faults were cleared: %v", err)
		}
		observe(storeFollower)
		if snapshot, err := config.Load(ctx, s, 0); err == nil &&
			!reflect.DeepEqual(storeFollower.Current(), snapshot.Document.Configuration(snapshot.Version)) {
			t.Fatalf("in force %v, accepted %v", storeFollower.Current(), snapshot.Document)
		}
		for version := range accepted {
			if version > storeFollower.Version() {
				t.Fatalf("version %d was accepted, but version %d is in force", version, storeFollower.Version())
			}
		}
	})
}

// drawFaultRules draws up to three fault rules for the store.
func drawFaultRules(t *rapid.T) []memstore.Rule {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memstore.Rule {
		return memstore.Rule{
			Fault: rapid.SampledFrom([]memstore.Fault{
				memstore.Unavailable, memstore.LoseResponse, memstore.LoseRequest, memstore.DelayWrite, memstore.StaleRead,
			}).Draw(t, "fault"),
			Prefix:     rapid.SampledFrom([]string{"", config.RootKey, "config/parts/"}).Draw(t, "prefix"),
			Skip:       rapid.IntRange(0, 4).Draw(t, "skip"),
			Count:      rapid.IntRange(1, 8).Draw(t, "count"),
			Lag:        rapid.Int64Range(1, 6).Draw(t, "lag"),
			AfterCalls: rapid.IntRange(0, 10).Draw(t, "after"),
		}
	}), 0, 3).Draw(t, "rules")
}

// followerPeer implements config.Peers with the configuration of another
// follower.
type followerPeer struct{ follower *config.Follower }

func (p followerPeer) Root(context.Context) ([]byte, error) {
	if data, ok := p.follower.Root(); ok {
		return data, nil
	}
	return nil, errs.New(errs.PeerUnavailable, "no configuration")
}

func (p followerPeer) Part(_ context.Context, digest string) ([]byte, error) {
	if data, ok := p.follower.Part(digest); ok {
		return data, nil
	}
	return nil, errs.New(errs.NotFound, "no part")
}

// Guards against a node that considers itself connected to the store because a
// peer announced a version while the node's watch was waiting.
func TestPeerAnnouncementIsNotStoreContact(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	mustPublish(g, s, 1, 0)
	var clock atomic.Int64
	failed := make(chan error, 100)
	f := config.NewFollower(config.Options{
		Store: s, WatchWait: time.Hour, OnError: func(err error) { failed <- err },
		Now: func() time.Time { return time.Unix(clock.Add(1), 0) },
	})
	f.SetWatching(true)
	runCtx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { f.Run(runCtx) })
	g.Eventually(func() int { return s.Counts().Waiting }).WithTimeout(time.Minute).Should(gomega.Equal(1))
	contact := f.LastStoreContact()
	s.Inject(memstore.Rule{Fault: memstore.Unavailable, Op: memstore.OpList})
	f.NotifyVersion(99)
	g.Eventually(failed).WithTimeout(time.Minute).Should(gomega.Receive())
	g.Expect(f.LastStoreContact()).To(gomega.Equal(contact))
}
