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

func publisher(store objectstore.Store) config.Publisher {
	return config.Publisher{Store: store, Pause: func(context.Context, int) error { return nil }}
}

// Guards against a publication that is reported wrongly after its response was
// lost, for each time at which the write can take effect.
func TestAmbiguousRootWriteIsResolved(t *testing.T) {
	for name, rule := range map[string]memstore.Rule{
		"response lost":       {Fault: memstore.LoseResponse, Count: 1},
		"request lost":        {Fault: memstore.LoseRequest, Count: 1},
		"delayed":             {Fault: memstore.DelayWrite, Count: 1},
		"delayed, then lands": {Fault: memstore.DelayWrite, Count: 1, AfterCalls: 1},
		"several lost":        {Fault: memstore.LoseRequest, Count: 4},
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
func TestOwnWriteIsFoundBelowAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	_, err := publisher(s).Publish(ctx, document(1), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Inject(memstore.Rule{Fault: memstore.LoseResponse, Prefix: config.RootKey, Op: memstore.OpUpdate, Count: 1})
	first := publisher(s)
	first.Pause = func(context.Context, int) error {
		_, err := publisher(s).Publish(ctx, document(3), 2)
		return err
	}
	result, err := first.Publish(ctx, document(2), 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Version).To(gomega.BeEquivalentTo(2))
}

// Guards against a claim about a write that is too old to be found.
func TestOwnWriteBelowManyOthersStaysUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	s.Inject(memstore.Rule{Fault: memstore.LoseResponse, Prefix: config.RootKey, Op: memstore.OpCreate, Count: 1})
	first := publisher(s)
	first.Pause = func(context.Context, int) error {
		for base := range uint64(40) {
			published(g, s, 3, base+1)
		}
		return nil
	}
	_, err := first.Publish(ctx, document(2), 0)
	g.Expect(err).To(beCode(errs.StoreAmbiguous))
}

// Guards against every combination of faults and operators: a publication that
// was reported as accepted is accepted at its version, one that was refused
// never is, and no follower goes back or differs from another.
func TestPublicationsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := memstore.New()
		stored := config.NewFollower(config.Options{Store: s})
		byPeers := config.NewFollower(config.Options{Store: memstore.New(), Peers: peer{stored}})
		accepted := map[uint64]float64{} // load rate, which differs in each attempt, by version
		refused := map[float64]bool{}
		var seen uint64
		observe := func(f *config.Follower) {
			c := f.Current()
			if c == nil {
				return
			}
			if rate, known := accepted[c.Version]; known && rate != c.LoadRate || refused[c.LoadRate] {
				t.Fatalf("version %d holds %v, accepted %v, refused %v", c.Version, c.LoadRate, accepted, refused)
			}
			accepted[c.Version] = c.LoadRate
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.Inject(drawRules(t)...)
			d := document(rapid.IntRange(0, 3).Draw(t, "adapters"))
			d.LoadRate = float64(i + 1)
			base := stored.Version() - min(stored.Version(), uint64(rapid.IntRange(0, 1).Draw(t, "behind")))
			result, err := publisher(s).Publish(ctx, d, base)
			switch {
			case err == nil && accepted[result.Version] != 0:
				t.Fatalf("version %d is accepted twice", result.Version)
			case err == nil:
				accepted[result.Version] = d.LoadRate
			case !errs.Is(err, errs.StoreAmbiguous):
				refused[d.LoadRate] = true
			}
			_ = stored.ReadStore(ctx, 0)
			_ = byPeers.ReadPeers(ctx)
			if stored.Version() < seen || byPeers.Version() > stored.Version() {
				t.Fatalf("went back from %d to %d, peer %d", seen, stored.Version(), byPeers.Version())
			}
			seen = stored.Version()
			observe(stored)
			observe(byPeers)
		}
		s.ClearFaults()
		s.ApplyDelayed(0)
		if err := stored.ReadStore(ctx, 0); err != nil && !errs.Is(err, errs.NotFound) {
			t.Fatalf("after the faults: %v", err)
		}
		observe(stored)
		if snapshot, err := config.Load(ctx, s, 0); err == nil &&
			!reflect.DeepEqual(stored.Current(), snapshot.Document.Configuration(snapshot.Version)) {
			t.Fatalf("in force %v, accepted %v", stored.Current(), snapshot.Document)
		}
		for version := range accepted {
			if version > stored.Version() {
				t.Fatalf("version %d was accepted, %d is in force", version, stored.Version())
			}
		}
	})
}

func drawRules(t *rapid.T) []memstore.Rule {
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

// peer serves a follower's configuration to another one.
type peer struct{ of *config.Follower }

func (p peer) Root(context.Context) ([]byte, error) {
	if data, ok := p.of.Root(); ok {
		return data, nil
	}
	return nil, errs.New(errs.PeerUnavailable, "no configuration")
}

func (p peer) Part(_ context.Context, digest string) ([]byte, error) {
	if data, ok := p.of.Part(digest); ok {
		return data, nil
	}
	return nil, errs.New(errs.NotFound, "no part")
}

// Guards against a node that takes itself for connected to the store because a
// peer told it of a version while its watch was waiting.
func TestNewsOfAPeerIsNoContactWithTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	published(g, s, 1, 0)
	var clock atomic.Int64
	failed := make(chan error, 100)
	f := config.NewFollower(config.Options{
		Store: s, WatchWait: time.Hour, OnError: func(err error) { failed <- err },
		Now: func() time.Time { return time.Unix(clock.Add(1), 0) },
	})
	f.SetWatching(true)
	running, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { f.Run(running) })
	g.Eventually(func() int { return s.Counts().Waiting }).WithTimeout(time.Minute).Should(gomega.Equal(1))
	contact := f.LastStoreContact()
	s.Inject(memstore.Rule{Fault: memstore.Unavailable, Op: memstore.OpList})
	f.Hear(99)
	g.Eventually(failed).WithTimeout(time.Minute).Should(gomega.Receive())
	g.Expect(f.LastStoreContact()).To(gomega.Equal(contact))
}
