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

// lockedStore makes the fake store safe for concurrent use by several hosts.
type lockedStore struct {
	objectstore.Store
	mu sync.Mutex
}

func (l *lockedStore) Get(ctx context.Context, key string, minRevision int64) (objectstore.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Store.Get(ctx, key, minRevision)
}

func (l *lockedStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Store.Create(ctx, key, value)
}

func (l *lockedStore) List(ctx context.Context, prefix, after string, limit int, minRevision int64) (objectstore.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Store.List(ctx, prefix, after, limit, minRevision)
}

// fakePeers sends calls over net/rpc to the owner that a test sets, and can lose
// replies.
type fakePeers struct {
	mu            sync.Mutex
	owner         model.Holder
	clients       map[model.Holder]*rpc.Client
	repliesToLose int    // replies to lose
	onReplyLost   func() // called after a reply was lost
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
	lost := p.repliesToLose > 0
	p.repliesToLose--
	p.mu.Unlock()
	if lost {
		p.onReplyLost()
		return errs.New(errs.Timeout, "reply lost")
	}
	return nil
}

// cluster holds three hosts and the client of a VM that owns no shard.
type cluster struct {
	hosts   map[string]*Host
	holders map[string]model.Holder
	peers   *fakePeers
	client  *Client // of the VM "front"
	faults  *scriptedFaults
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		hosts: make(map[string]*Host), holders: make(map[string]model.Holder), faults: &scriptedFaults{},
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
	c.assignAllShards("a")
	return c
}

func dial(t *testing.T, service *Service) *rpc.Client {
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, service); err != nil {
		t.Fatal(err)
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	t.Cleanup(func() { _ = clientConn.Close() })
	return rpc.NewClient(clientConn)
}

// assignAllShards assigns all shards to one VM.
func (c *cluster) assignAllShards(to string) {
	for name, host := range c.hosts {
		host.SetAssigned(func(int) bool { return name == to })
	}
	c.peers.setOwner(c.holders[to])
}

// flushBacklog flushes the client's backlog until it is empty.
func (c *cluster) flushBacklog() {
	for c.client.FlushBacklog(context.Background()) > 0 {
		continue // attempts can time out on a busy machine
	}
}

// Guards against a claim that is lost, or a key that is granted to two claim ids,
// when the reply is lost and the shard moves to another owner.
func TestClientFindsClaimAfterLostReplyAndMove(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	c.peers.repliesToLose, c.peers.onReplyLost = 1, func() { c.assignAllShards("b") }
	request := newClaimRequest("a", 1)
	reply, err := c.client.Claim(context.Background(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.State).To(gomega.Equal(rpcapi.ClaimGranted))
	g.Expect(c.hosts["b"].Counters().Takeovers.Load()).To(gomega.BeNumerically(">", 0))

	other, err := c.client.Claim(context.Background(), newClaimRequest("a", 2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other.State).To(gomega.Equal(rpcapi.ClaimRunning))
	outcome := rpcapi.OutcomeRequest{Key: request.Key, ID: request.ID, Response: rpcapi.StoredResponse{Status: 201, Body: []byte("x")}}
	g.Expect(c.client.Outcome(context.Background(), outcome)).To(gomega.Succeed())
	found, err := c.client.Lookup(context.Background(), rpcapi.LookupRequest{Key: request.Key})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found.Response).To(gomega.Equal(outcome.Response))
}

// Guards against a key that stays claimed after its call was refused as not run.
func TestClientReleasesUncertainClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	c.peers.repliesToLose, c.peers.onReplyLost = 1, cancel
	_, err := c.client.Claim(ctx, newClaimRequest("a", 1))
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	c.flushBacklog()
	reply, err := c.client.Claim(context.Background(), newClaimRequest("a", 2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against an outcome that is lost when the shard's owner cannot be reached.
func TestClientKeepsOutcomeUntilStored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	request := newClaimRequest("a", 1)
	_, err := c.client.Claim(context.Background(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c.peers.setOwner(model.Holder{})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	outcome := rpcapi.OutcomeRequest{Key: request.Key, ID: request.ID, Response: rpcapi.StoredResponse{Status: 200}}
	g.Expect(c.client.Outcome(ended, outcome)).NotTo(gomega.Succeed())
	g.Expect(c.client.FlushBacklog(context.Background())).To(gomega.Equal(1))
	c.assignAllShards("a")
	c.flushBacklog()
	found, err := c.client.Lookup(context.Background(), rpcapi.LookupRequest{Key: request.Key})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found.State).To(gomega.Equal(rpcapi.ClaimFinished))
}

// Guards against a drain that does not end, and against a VM that answers calls
// for a shard that it has handed over.
func TestHostDrainHandsOver(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t)
	_, err := c.client.Claim(context.Background(), newClaimRequest("a", 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.hosts["a"].Drain(context.Background())).To(gomega.Succeed())
	var reply rpcapi.ClaimReply
	request := newClaimRequest("a", 2)
	g.Expect(NewService(c.hosts["a"]).Claim(&request, &reply)).To(gomega.Succeed())
	g.Expect(reply.Err.Code).To(gomega.Equal(errs.NotOwner))
	c.assignAllShards("b")
	after, err := c.client.Claim(context.Background(), newClaimRequest("a", 3))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after.State).To(gomega.Equal(rpcapi.ClaimRunning))
}
