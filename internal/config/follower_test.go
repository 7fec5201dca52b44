package config_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore/httpstore"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/standin/platform"
)

// mustPublish publishes a document with n adapters on top of version base.
func mustPublish(g *gomega.WithT, s *memstore.Store, n int, base uint64) config.Result {
	result, err := publisher(s).Publish(ctx, document(n), base)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return result
}

// Guards against a stale read that reverts a configuration, and against one
// that satisfies a request for a newer revision.
func TestStaleReadNeverReverts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	mustPublish(g, s, 1, 0)
	f := config.NewFollower(config.Options{Store: s})
	result := mustPublish(g, s, 2, 1)
	g.Expect(f.ReadStore(ctx, 0)).To(gomega.Succeed())
	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Lag: 1})
	g.Expect(f.ReadStore(ctx, 0)).To(haveCode(errs.StoreStale))
	g.Expect(f.Version()).To(gomega.Equal(result.Version))

	fresh := config.NewFollower(config.Options{Store: s})
	g.Expect(fresh.ReadStore(ctx, result.Revision)).To(haveCode(errs.StoreStale))
	g.Expect(fresh.Current()).To(gomega.BeNil())
	s.ClearFaults()
	newest := mustPublish(g, s, 3, 2)
	ahead := config.NewFollower(config.Options{Store: s, Peers: followerPeer{f}})
	g.Expect(ahead.ReadStore(ctx, 0)).To(gomega.Succeed())
	g.Expect(ahead.ReadPeers(ctx)).To(gomega.Succeed())
	g.Expect(ahead.Version()).To(gomega.Equal(newest.Version), "the peer has an older version")

	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Lag: 3})
	behind := config.NewFollower(config.Options{Store: s, Peers: followerPeer{f}})
	g.Expect(behind.ReadPeers(ctx)).To(gomega.Succeed())
	g.Expect(behind.ReadStore(ctx, 0)).To(gomega.Succeed())
	g.Expect(behind.Version()).To(gomega.Equal(result.Version))
}

// corruptPeer is a peer that returns parts with wrong content.
type corruptPeer struct{ followerPeer }

func (p corruptPeer) Part(context.Context, string) ([]byte, error) { return []byte(`{}`), nil }

// Guards against accepting content from a peer that does not match its digest.
func TestPartWithWrongContentIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	mustPublish(g, s, 1, 0)
	good := config.NewFollower(config.Options{Store: s})
	g.Expect(good.ReadStore(ctx, 0)).To(gomega.Succeed())
	f := config.NewFollower(config.Options{Store: memstore.New(), Peers: corruptPeer{followerPeer{good}}})
	g.Expect(f.ReadPeers(ctx)).To(haveCode(errs.InvalidMessage))
	g.Expect(f.Current()).To(gomega.BeNil())
	f = config.NewFollower(config.Options{Store: s, Peers: corruptPeer{followerPeer{good}}})
	g.Expect(f.ReadPeers(ctx)).To(gomega.Succeed(), "the store has the right content")
}

// Guards against an invalid root that is applied in part or replaces a valid
// one.
func TestInvalidRootIsRejectedAsAWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	mustPublish(g, s, 1, 0)
	f := config.NewFollower(config.Options{Store: s})
	g.Expect(f.ReadStore(ctx, 0)).To(gomega.Succeed())
	data, _ := f.Root()
	var root map[string]any
	g.Expect(json.Unmarshal(data, &root)).To(gomega.Succeed())
	root["version"], root["load_rate"] = 2, -1
	data, _ = json.Marshal(root)
	_, err := s.Put(ctx, config.RootKey, data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.ReadStore(ctx, 0)).To(haveCode(errs.InvalidConfig))
	g.Expect(f.Version()).To(gomega.BeEquivalentTo(1))
}

// Guards against a load that fails because a part is pruned while a node reads
// an older root.
func TestLoadRetriesWhenAPartIsPruned(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	for base := range uint64(20) {
		mustPublish(g, s, 1+int(base), base)
	}
	page, err := s.List(ctx, "", "", 1, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const firstRoot = 4 // revision of the first root, after its three parts
	s.Inject(memstore.Rule{Fault: memstore.StaleRead, Op: memstore.OpList, Lag: page.Revision - firstRoot, Count: 1})
	snapshot, err := config.Load(ctx, s, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(snapshot.Version).To(gomega.BeEquivalentTo(20))
}

// nodes is a group of running followers. The first one watches the store; the
// others are notified of new versions and fetch them from the first.
type nodes struct {
	followers []*config.Follower
	mu        sync.Mutex
	versions  []uint64
}

// startNodes runs n followers until the test ends.
func startNodes(t *testing.T, s *memstore.Store, n int) *nodes {
	runCtx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	all := &nodes{}
	for i := range n {
		options := config.Options{Store: s, PollInterval: time.Hour}
		if i == 0 {
			options.OnApply = all.announce
		} else {
			options.Peers = followerPeer{all.followers[0]}
		}
		f := config.NewFollower(options)
		f.SetWatching(i == 0)
		all.followers = append(all.followers, f)
	}
	// OnApply reads the list of followers, so the list must be complete before
	// any follower runs.
	for _, f := range all.followers {
		group.Go(func() { f.Run(runCtx) })
	}
	return all
}

// announce notifies the other followers of a version that the first one has
// applied, as heartbeats do between nodes.
func (n *nodes) announce(c *model.Configuration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versions = append(n.versions, c.Version)
	for _, f := range n.followers[1:] {
		f.NotifyVersion(c.Version)
	}
}

// Guards against a version that does not reach a node, with a store outage and
// failing watch calls around publications.
func TestNodesApplyVersionsAfterStoreOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	mustPublish(g, s, 1, 0)
	all := startNodes(t, s, 3)
	waitForVersion := func(version uint64) {
		for _, f := range all.followers {
			g.Eventually(f.Version).WithTimeout(time.Minute).Should(gomega.Equal(version))
			f.NotifyVersion(version)
		}
	}
	waitForVersion(1)
	s.SetOutage(true)
	g.Expect(all.followers[0].Current()).NotTo(gomega.BeNil())
	_, err := publisher(s).Publish(ctx, document(2), 1)
	g.Expect(err).To(haveCode(errs.StoreUnavailable))
	s.SetOutage(false)
	mustPublish(g, s, 2, 1)
	waitForVersion(2)
	s.Inject(memstore.Rule{Fault: memstore.Unavailable, Op: memstore.OpWatch, Count: 2})
	mustPublish(g, s, 3, 2)
	waitForVersion(3)
	g.Expect(all.followers[1].NewestVersion()).To(gomega.BeEquivalentTo(3))
	g.Expect(all.followers[0].LastStoreContact()).NotTo(gomega.BeZero())
	all.mu.Lock()
	defer all.mu.Unlock()
	g.Expect(all.versions).To(gomega.Equal([]uint64{1, 2, 3}))
}

// Guards against an incremental change whose result differs from the whole
// configuration, for changes that move, add and remove adapters, organisations
// and models.
func TestIncrementalChangesMatchWholeConfiguration(t *testing.T) {
	// Select the adapters after which a part ends, and some between them, so
	// that a small number of adapters gives many parts.
	const meanPartEntries = 512
	var candidates []config.Adapter
	for i, a := range document(5000).Adapters {
		if i%100 == 0 || xxhash.Sum64String(a.Key())%meanPartEntries == 0 {
			candidates = append(candidates, a)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		s := memstore.New()
		f := config.NewFollower(config.Options{Store: s})
		for base := range uint64(rapid.IntRange(2, 5).Draw(t, "changes")) {
			d := document(0)
			from := rapid.IntRange(0, len(candidates)).Draw(t, "from")
			to := rapid.IntRange(from, len(candidates)).Draw(t, "to")
			d.Adapters = append(append(d.Adapters, candidates[:from]...), candidates[to:]...)
			if rapid.Bool().Draw(t, "more") {
				d.BaseModels = append(d.BaseModels, "other")
				d.Organisations = append(d.Organisations, config.Organisation{Name: "jegue", CredentialSHA256: strings.Repeat("cd", 32), Share: 1})
				step := rapid.IntRange(1, 30).Draw(t, "step")
				for i := 0; i < len(d.Adapters); i += step {
					d.Adapters[i].Organisation, d.Adapters[i].BaseModel = "jegue", "other"
				}
			}
			if _, err := publisher(s).Publish(ctx, d, base); err != nil {
				t.Fatal(err)
			}
			if err := f.ReadStore(ctx, 0); err != nil {
				t.Fatal(err)
			}
			if want := d.Normalised().Configuration(base + 1); !reflect.DeepEqual(f.Current(), want) {
				t.Fatalf("version %d differs", base+1)
			}
		}
	})
}

// Guards against accepting a new root that contradicts the adapters of
// unchanged parts: one without a base model that they use, and one with a part
// that declares one of these adapters again.
func TestRootThatContradictsUnchangedPartsIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	mustPublish(g, s, 3, 0)
	f := config.NewFollower(config.Options{Store: s})
	g.Expect(f.ReadStore(ctx, 0)).To(gomega.Succeed())
	data, _ := f.Root()
	var root map[string]any
	g.Expect(json.Unmarshal(data, &root)).To(gomega.Succeed())
	root["version"], root["base_models"] = 2, []string{"other"}
	data, _ = json.Marshal(root)
	_, err := s.Put(ctx, config.RootKey, data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.ReadStore(ctx, 0)).To(haveCode(errs.InvalidConfig))

	// Add a part that declares an adapter of an unchanged part again.
	part := []byte(`{"adapters":[{"organisation":"baltzips","name":"shop-000000","base_model":"base-7b","versions":["v9"]}]}`)
	digest := fmt.Sprintf("%x", sha256.Sum256(part))
	_, err = s.Put(ctx, "config/parts/"+digest, part)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	root["base_models"], root["parts"] = []string{"base-7b"}, append(root["parts"].([]any), digest)
	data, _ = json.Marshal(root)
	_, err = s.Put(ctx, config.RootKey, data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.ReadStore(ctx, 0)).To(haveCode(errs.InvalidConfig))
	g.Expect(f.Version()).To(gomega.BeEquivalentTo(1))
}

// Guards against a follower that works only with the in-memory store, and
// against one that calls the platform without waiting between calls.
func TestFollowerOverHTTP(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := platform.New()
	go func() { _ = server.Serve(listener) }()
	defer func() { g.Expect(server.Close()).To(gomega.Succeed()) }()
	client := httpstore.New(httpstore.Options{Address: listener.Addr().String()})
	defer client.Close()

	runCtx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	f := config.NewFollower(config.Options{Store: client, WatchWait: time.Minute})
	f.SetWatching(true)
	group.Go(func() { f.Run(runCtx) })
	for base := range uint64(3) {
		_, err := publisher(client).Publish(ctx, document(1+int(base)), base)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(f.Version).WithTimeout(time.Minute).Should(gomega.Equal(base + 1))
		g.Eventually(func() int { return server.Store.Counts().Waiting }).WithTimeout(time.Minute).Should(gomega.Equal(1))
	}
	g.Expect(f.Current().Adapters).To(gomega.HaveLen(3))
	g.Expect(server.Store.Counts().Watch).To(gomega.BeNumerically("<=", 6))
}
