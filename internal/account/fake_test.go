package account

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// fault makes each call fail with the given probability, in percent.
type fault struct {
	random  *rand.Rand
	percent int
}

// occurs reports whether the next call fails.
func (f *fault) occurs() bool { return f.random.IntN(100) < f.percent }

// fakeStore is an object store whose calls can fail before or after a write.
type fakeStore struct {
	objects         map[string]objectstore.Object
	down            bool // all calls fail
	responsesToLose int  // number of writes that are applied but whose responses are lost
	fault           *fault
}

func (s *fakeStore) Get(_ context.Context, key string, _ int64) (objectstore.Object, error) {
	if s.down || s.fault.occurs() {
		return objectstore.Object{}, errs.New(errs.StoreUnavailable, "fault")
	}
	object, ok := s.objects[key]
	if !ok {
		return objectstore.Object{}, errs.New(errs.NotFound, key)
	}
	return object, nil
}

func (s *fakeStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.Update(ctx, key, value, 0)
}

func (s *fakeStore) Update(_ context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	switch {
	case s.down || s.fault.occurs():
		return objectstore.Object{}, errs.New(errs.StoreUnavailable, "fault")
	case s.objects[key].Version != version:
		return objectstore.Object{}, errs.New(errs.Conflict, key)
	case s.fault.occurs():
		return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "lost request")
	}
	s.objects[key] = objectstore.Object{Key: key, Version: version + 1, Value: append([]byte(nil), value...)}
	if s.responsesToLose > 0 || s.fault.occurs() {
		s.responsesToLose--
		return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "lost response")
	}
	return s.objects[key], nil
}

// node is one VM with its ledger.
type node struct {
	ledger  *Ledger
	flusher *Flusher
	dead    bool
}

// cluster connects the ledgers of several VMs over fakePeers and a shared
// fakeStore.
type cluster struct {
	store *fakeStore
	fault *fault
	nodes []*node
}

func newCluster(n int, bounds Bounds) *cluster {
	f := &fault{random: rand.New(rand.NewPCG(1, 2))}
	c := &cluster{fault: f, store: &fakeStore{objects: map[string]objectstore.Object{}, fault: f}}
	for i := range n {
		c.addNode(model.Holder{VM: string(rune('a' + i)), Incarnation: 1}, bounds)
	}
	return c
}

func (c *cluster) addNode(holder model.Holder, bounds Bounds) {
	ledger := NewLedger(holder, bounds)
	// The fakes respond immediately, so that the timeout only stops a hanging test.
	// A single worker makes the order of calls repeatable.
	settings := Settings{CallTimeout: time.Hour, Workers: 1}
	c.nodes = append(c.nodes, &node{ledger: ledger, flusher: NewFlusher(ledger, c.store, fakePeers{c, holder}, settings, 1)})
}

func (c *cluster) find(holder model.Holder) *node {
	for _, n := range c.nodes {
		if n.ledger.self == holder {
			return n
		}
	}
	return nil
}

// forEachLive calls step for the flushers of all live nodes and ignores its
// errors.
func (c *cluster) forEachLive(step func(*Flusher) error) {
	for _, n := range c.nodes {
		if !n.dead {
			_ = step(n.flusher)
		}
	}
}

// exchangeUntilSettled removes all faults, then exchanges and flushes until the
// report cannot change any more.
func (c *cluster) exchangeUntilSettled() {
	c.fault.percent, c.store.down = 0, false
	for range settleExchanges + 1 {
		c.forEachLive(func(f *Flusher) error { return f.Exchange(context.Background()) })
	}
	c.forEachLive(func(f *Flusher) error { return f.Flush(context.Background()) })
}

// report reconciles the documents in the store and the answers of all live
// nodes.
func (c *cluster) report() Report {
	var stored []Document
	for _, object := range c.store.objects {
		document, err := Parse(object.Value)
		if err != nil {
			panic(err)
		}
		stored = append(stored, document)
	}
	var answers []Answer
	for _, n := range c.nodes {
		if !n.dead {
			answers = append(answers, n.ledger.Answer())
		}
	}
	return Reconcile(stored, answers)
}

// fakePeers implements Peers for one VM.
type fakePeers struct {
	cluster *cluster
	self    model.Holder
}

func (p fakePeers) ReplicaPeers() []model.Holder {
	var peers []model.Holder
	for _, n := range p.cluster.nodes {
		if n.ledger.self != p.self && !n.dead && len(peers) < 2 {
			peers = append(peers, n.ledger.self)
		}
	}
	return peers
}

// callPeer runs a call on the ledger of a peer. The request or the response can be
// lost.
func (p fakePeers) callPeer(to model.Holder, call func(*Ledger) error) error {
	n := p.cluster.find(to)
	if n == nil || n.dead || p.cluster.fault.occurs() {
		return errs.New(errs.PeerUnavailable, "lost request")
	}
	err := call(n.ledger)
	if p.cluster.fault.occurs() {
		return errs.New(errs.Timeout, "lost response")
	}
	return err
}

func (p fakePeers) SendReplica(_ context.Context, to model.Holder, document Document) error {
	return p.callPeer(to, func(l *Ledger) error { return l.StoreReplica(document) })
}

func (p fakePeers) SendBatch(_ context.Context, batch Batch) error {
	return p.callPeer(batch.To, func(l *Ledger) error { return l.ReceiveBatch(batch) })
}

func (p fakePeers) IsGone(holder model.Holder) bool {
	n := p.cluster.find(holder)
	return n == nil || n.dead
}
