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
	}
	// OnApply reads the list, so it is complete before the first one runs.
	for _, f := range all.followers {
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

// Guards against an applied change that differs from the whole configuration,
// for changes that move, add and remove adapters, organisations and models.
func TestChangesGiveTheWholeConfiguration(t *testing.T) {
	// Names that end a part, and some between them, so that few adapters give
	// many parts.
	const meanPartEntries = 512
	var all []config.Adapter
	for i, a := range document(5000).Adapters {
		if i%100 == 0 || xxhash.Sum64String(a.Key())%meanPartEntries == 0 {
			all = append(all, a)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		s := memstore.New()
		f := config.NewFollower(config.Options{Store: s})
		for base := range uint64(rapid.IntRange(2, 5).Draw(t, "changes")) {
			d := document(0)
			from := rapid.IntRange(0, len(all)).Draw(t, "from")
			to := rapid.IntRange(from, len(all)).Draw(t, "to")
			d.Adapters = append(append(d.Adapters, all[:from]...), all[to:]...)
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

// Guards against faults between a changed root and the adapters of unchanged
// parts: a base model that is gone, and an adapter that is declared twice.
func TestRootThatContradictsUnchangedPartsIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memstore.New()
	published(g, s, 3, 0)
	f := config.NewFollower(config.Options{Store: s})
	g.Expect(f.ReadStore(ctx, 0)).To(gomega.Succeed())
	data, _ := f.Root()
	var root map[string]any
	g.Expect(json.Unmarshal(data, &root)).To(gomega.Succeed())
	root["version"], root["base_models"] = 2, []string{"other"}
	data, _ = json.Marshal(root)
	_, err := s.Put(ctx, config.RootKey, data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.ReadStore(ctx, 0)).To(beCode(errs.InvalidConfig))

	// A further part that repeats an adapter of an unchanged part.
	part := []byte(`{"adapters":[{"organisation":"baltzips","name":"shop-000000","base_model":"base-7b","versions":["v9"]}]}`)
	digest := fmt.Sprintf("%x", sha256.Sum256(part))
	_, err = s.Put(ctx, "config/parts/"+digest, part)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	root["base_models"], root["parts"] = []string{"base-7b"}, append(root["parts"].([]any), digest)
	data, _ = json.Marshal(root)
	_, err = s.Put(ctx, config.RootKey, data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.ReadStore(ctx, 0)).To(beCode(errs.InvalidConfig))
	g.Expect(f.Version()).To(gomega.BeEquivalentTo(1))
}

// Guards against a follower that works on the in-memory store alone, and
// against one that calls the platform without pause.
func TestFollowerOverHTTP(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := platform.New()
	go func() { _ = server.Serve(listener) }()
	defer func() { g.Expect(server.Close()).To(gomega.Succeed()) }()
	client := httpstore.New(httpstore.Options{Address: listener.Addr().String()})
	defer client.Close()

	running, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	f := config.NewFollower(config.Options{Store: client, WatchWait: time.Minute})
	f.SetWatching(true)
	group.Go(func() { f.Run(running) })
	for base := range uint64(3) {
		_, err := publisher(client).Publish(ctx, document(1+int(base)), base)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(f.Version).WithTimeout(time.Minute).Should(gomega.Equal(base + 1))
		g.Eventually(func() int { return server.Store.Counts().Waiting }).WithTimeout(time.Minute).Should(gomega.Equal(1))
	}
	g.Expect(f.Current().Adapters).To(gomega.HaveLen(3))
	g.Expect(server.Store.Counts().Watch).To(gomega.BeNumerically("<=", 6))
}
