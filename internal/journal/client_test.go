package journal

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/frontend"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// The front end uses the client through this interface.
var _ frontend.Claims = (*Client)(nil)

// lockedStore makes the fake store safe for several hosts.
type lockedStore struct {
	objectstore.Store
	mu sync.Mutex
}

func (l *lockedStore) Get(ctx context.Context, key string, low int64) (objectstore.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Store.Get(ctx, key, low)
}

func (l *lockedStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Store.Create(ctx, key, value)
}

func (l *lockedStore) List(ctx context.Context, prefix, after string, limit int, low int64) (objectstore.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Store.List(ctx, prefix, after, limit, low)
}

// fakePeers routes calls over net/rpc to a chosen owner, and can lose replies.
type fakePeers struct {
	mu      sync.Mutex
	owner   model.Holder
	clients map[model.Holder]*rpc.Client
	lose    int    // replies to lose
	onLoss  func() // called after a reply was lost
}

func (p *fakePeers) ShardOwner(int) (model.Holder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner, p.owner != model.Holder{}
}

func (p *fakePeers) setOwner(owner model.Holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = owner
}

func (p *fakePeers) Call(_ context.Context, to model.Holder, method string, args, reply any) error {
	if err := p.clients[to].Call(method, args, reply); err != nil {
		return errs.Wrap(err, errs.PeerUnavailable, "call failed")
	}
	p.mu.Lock()
	lost := p.lose > 0
	p.lose--
	p.mu.Unlock()
	if lost {
		p.onLoss()
		return errs.New(errs.Timeout, "reply lost")
	}
	return nil
}

type cluster struct {
	hosts   map[string]*Host
	holders map[string]model.Holder
	peers   *fakePeers
	client  *Client // at a VM that owns nothing
	faults  *script
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		hosts: make(map[string]*Host), holders: make(map[string]model.Holder), faults: &script{},
		peers: &fakePeers{clients: make(map[model.Holder]*rpc.Client)},
	}
	store := &lockedStore{Store: &faultyStore{store: newFakeStore(), faults: c.faults}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, name := range []string{"a", "b", "front"} {
		holder := model.Holder{VM: name, Incarnation: 1}
		settings := DefaultSettings(holder)
		settings.BackoffMin, settings.BackoffMax, settings.CommitInterval = time.Millisecond, 5*time.Millisecond, time.Millisecond
		host := NewHost(4, settings, Dependencies{
			Store: store, Liveness: goneSet{}, Now: time.Now, Recorder: timeline.Discard{}, Log: zerolog.New(io.Discard),
		})
		go host.Run(ctx)
		c.hosts[name], c.holders[name] = host, holder
		c.peers.clients[holder] = dial(t, NewService(host))
	}
	c.client = NewClient(c.holders["front"], NewService(c.hosts["front"]), c.peers)
	c.move("a")
	return c
}

func dial(t *testing.T, service *Service) *rpc.Client {
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, service); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	t.Cleanup(func() { _ = near.Close() })
	return rpc.NewClient(near)
}

// move makes one VM the owner of all shards.
func (c *cluster) move(to string) {
	for name, host := range c.hosts {
		host.SetWanted(func(int) bool { return name == to })
	}
	c.peers.setOwner(c.holders[to])
}

func (c *cluster) flush() {
	for c.client.FlushBacklog(context.Background()) > 0 {
		continue // an attempt can time out on a busy machine
	}
}

// Guards against a call that is lost, or granted to two claim ids, when the
// reply is lost and the owner moves.
func TestClientFindsClaimAfterLostReplyAndMove(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	c.peers.lose, c.peers.onLoss = 1, func() { c.move("b") }
	request := claimOf("a", 1)
	reply, err := c.client.Claim(context.Background(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.State).To(gomega.Equal(rpcapi.ClaimGranted))
	g.Expect(c.hosts["b"].Counters().Takeovers.Load()).To(gomega.BeNumerically(">", 0))

	other, err := c.client.Claim(context.Background(), claimOf("a", 2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other.State).To(gomega.Equal(rpcapi.ClaimRunning))
	outcome := rpcapi.OutcomeRequest{Key: request.Key, ID: request.ID, Response: rpcapi.StoredResponse{Status: 201, Body: []byte("x")}}
	g.Expect(c.client.Outcome(context.Background(), outcome)).To(gomega.Succeed())
	found, err := c.client.Lookup(context.Background(), rpcapi.LookupRequest{Key: request.Key})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found.Response).To(gomega.Equal(outcome.Response))
}

// Guards against a key that stays claimed by a call that was refused as not run.
func TestClientReleasesUncertainClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	c.peers.lose, c.peers.onLoss = 1, cancel
	_, err := c.client.Claim(ctx, claimOf("a", 1))
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	c.flush()
	reply, err := c.client.Claim(context.Background(), claimOf("a", 2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against an outcome that is forgotten when its owner cannot be reached.
func TestClientKeepsOutcomeUntilStored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	request := claimOf("a", 1)
	_, err := c.client.Claim(context.Background(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c.peers.setOwner(model.Holder{})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	outcome := rpcapi.OutcomeRequest{Key: request.Key, ID: request.ID, Response: rpcapi.StoredResponse{Status: 200}}
	g.Expect(c.client.Outcome(ended, outcome)).NotTo(gomega.Succeed())
	g.Expect(c.client.FlushBacklog(context.Background())).To(gomega.Equal(1))
	c.move("a")
	c.flush()
	found, err := c.client.Lookup(context.Background(), rpcapi.LookupRequest{Key: request.Key})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found.State).To(gomega.Equal(rpcapi.ClaimFinished))
}

// Guards against a drain that does not end, and against a call answered by a VM
// without the shard.
func TestHostDrainHandsOver(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	_, err := c.client.Claim(context.Background(), claimOf("a", 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.hosts["a"].Drain(context.Background())).To(gomega.Succeed())
	var reply rpcapi.ClaimReply
	request := claimOf("a", 2)
	g.Expect(NewService(c.hosts["a"]).Claim(&request, &reply)).To(gomega.Succeed())
	g.Expect(reply.Err.Code).To(gomega.Equal(errs.NotOwner))
	c.move("b")
	after, err := c.client.Claim(context.Background(), claimOf("a", 3))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after.State).To(gomega.Equal(rpcapi.ClaimRunning))
}
