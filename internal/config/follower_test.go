package config_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/platform/memstore"
)

func published(g *gomega.WithT, s *memstore.Store, n int, base uint64) config.Result {
	result, err := publisher(s).Publish(ctx, document(n), base)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return result
}

// Guards against a stale read that reverts a configuration, and against one
// that satisfies a demand for a newer state.
func TestStaleReadNeverReverts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	published(g, s, 1, 0)
	f := config.NewFollower(config.Options{Store: s})
	result := published(g, s, 2, 1)
	g.Expect(f.ReadStore(ctx, 0)).To(gomega.Succeed())
	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Lag: 1})
	g.Expect(f.ReadStore(ctx, 0)).To(beCode(errs.StoreStale))
	g.Expect(f.Version()).To(gomega.Equal(result.Version))

	fresh := config.NewFollower(config.Options{Store: s})
	g.Expect(fresh.ReadStore(ctx, result.Revision)).To(beCode(errs.StoreStale))
	g.Expect(fresh.Current()).To(gomega.BeNil())
	s.ClearFaults()
	newest := published(g, s, 3, 2)
	ahead := config.NewFollower(config.Options{Store: s, Peers: peer{f}})
	g.Expect(ahead.ReadStore(ctx, 0)).To(gomega.Succeed())
	g.Expect(ahead.ReadPeers(ctx)).To(gomega.Succeed())
	g.Expect(ahead.Version()).To(gomega.Equal(newest.Version), "the peer has an older version")

	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Lag: 3})
	behind := config.NewFollower(config.Options{Store: s, Peers: peer{f}})
	g.Expect(behind.ReadPeers(ctx)).To(gomega.Succeed())
	g.Expect(behind.ReadStore(ctx, 0)).To(gomega.Succeed())
	g.Expect(behind.Version()).To(gomega.Equal(result.Version))
}

// badPeer returns parts with other content.
type badPeer struct{ peer }

func (p badPeer) Part(context.Context, string) ([]byte, error) { return []byte(`{}`), nil }

// Guards against content of a peer that differs from its digest.
func TestPartWithWrongContentIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	published(g, s, 1, 0)
	good := config.NewFollower(config.Options{Store: s})
	g.Expect(good.ReadStore(ctx, 0)).To(gomega.Succeed())
	f := config.NewFollower(config.Options{Store: memstore.New(), Peers: badPeer{peer{good}}})
	g.Expect(f.ReadPeers(ctx)).To(beCode(errs.InvalidMessage))
	g.Expect(f.Current()).To(gomega.BeNil())
	f = config.NewFollower(config.Options{Store: s, Peers: badPeer{peer{good}}})
	g.Expect(f.ReadPeers(ctx)).To(gomega.Succeed(), "the store has the right content")
}

// Guards against an invalid root that is applied in part or replaces a valid one.
func TestInvalidConfigurationIsRefusedAsAWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	published(g, s, 1, 0)
	f := config.NewFollower(config.Options{Store: s})
	g.Expect(f.ReadStore(ctx, 0)).To(gomega.Succeed())
	data, _ := f.Root()
	var root map[string]any
	g.Expect(json.Unmarshal(data, &root)).To(gomega.Succeed())
	root["version"], root["load_rate"] = 2, -1
	data, _ = json.Marshal(root)
	_, err := s.Put(ctx, config.RootKey, data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.ReadStore(ctx, 0)).To(beCode(errs.InvalidConfig))
	g.Expect(f.Version()).To(gomega.BeEquivalentTo(1))
}

// Guards against a part that is pruned while a node reads the older root.
func TestLoadBeginsAnewWhenAPartIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	for base := range uint64(20) {
		published(g, s, 1+int(base), base)
	}
	page, err := s.List(ctx, "", "", 1, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const firstRoot = 4 // revision of the first root, after its three parts
	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Op: memstore.OpList, Lag: page.Revision - firstRoot, Count: 1})
	snapshot, err := config.Load(ctx, s, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(snapshot.Version).To(gomega.BeEquivalentTo(20))
}

// nodes starts followers that run: the first watches the store, the others
// hear of versions and fetch them from it.
type nodes struct {
	followers []*config.Follower
	mu        sync.Mutex
	versions  []uint64
}

func startNodes(t *testing.T, s *memstore.Store, n int) *nodes {
	running, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	t.Cleanup(func() { stop(); group.Wait() })
	all := &nodes{}
	for i := range n {
		options := config.Options{Store: s, PollInterval: time.Hour}
		if i == 0 {
			options.OnApply = all.told
		} else {
			options.Peers = peer{all.followers[0]}
		}
		f := config.NewFollower(options)
		f.SetWatching(i == 0)
		all.followers = append(all.followers, f)
		group.Go(func() { f.Run(running) })
	}
	return all
}

// told stands for the heartbeats that spread the version number.
func (n *nodes) told(c *model.Configuration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versions = append(n.versions, c.Version)
	for _, f := range n.followers[1:] {
		f.Hear(c.Version)
	}
}

// Guards against a version that does not reach a node, with an outage between
// two publications.
func TestNodesFollowThroughAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	published(g, s, 1, 0)
	all := startNodes(t, s, 3)
	reach := func(version uint64) {
		for _, f := range all.followers {
			g.Eventually(f.Version).WithTimeout(time.Minute).Should(gomega.Equal(version))
			f.Hear(version)
		}
	}
	reach(1)
	s.SetOutage(true)
	g.Expect(all.followers[0].Current()).NotTo(gomega.BeNil())
	_, err := publisher(s).Publish(ctx, document(2), 1)
	g.Expect(err).To(beCode(errs.StoreUnavailable))
	s.SetOutage(false)
	published(g, s, 2, 1)
	reach(2)
	s.Inject(memstore.Rule{Fault: memstore.Unavailable, Op: memstore.OpWatch, Count: 2})
	published(g, s, 3, 2)
	reach(3)
	g.Expect(all.followers[1].Newest()).To(gomega.BeEquivalentTo(3))
	g.Expect(all.followers[0].LastStoreContact()).NotTo(gomega.BeZero())
	all.mu.Lock()
	defer all.mu.Unlock()
	g.Expect(all.versions).To(gomega.Equal([]uint64{1, 2, 3}))
}
