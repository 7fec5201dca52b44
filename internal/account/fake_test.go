package account

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// fault makes the next calls fail: a value below the probability in percent.
type fault struct {
	random  *rand.Rand
	percent int
}

func (f *fault) hits() bool { return f.random.IntN(100) < f.percent }

// fakeStore is an object API that can fail before or after a write.
type fakeStore struct {
	objects map[string]objectstore.Object
	down    bool
	lost    int // responses of writes to lose
	fault   *fault
}

func (s *fakeStore) Get(_ context.Context, key string, _ int64) (objectstore.Object, error) {
	if s.down || s.fault.hits() {
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
	case s.down || s.fault.hits():
		return objectstore.Object{}, errs.New(errs.StoreUnavailable, "fault")
	case s.objects[key].Version != version:
		return objectstore.Object{}, errs.New(errs.Conflict, key)
	case s.fault.hits():
		return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "lost request")
	}
	s.objects[key] = objectstore.Object{Key: key, Version: version + 1, Value: append([]byte(nil), value...)}
	if s.lost > 0 || s.fault.hits() {
		s.lost--
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

// cluster connects the ledgers of several VMs.
type cluster struct {
	store *fakeStore
	fault *fault
	nodes []*node
}

func newCluster(n int, bounds Bounds) *cluster {
	f := &fault{random: rand.New(rand.NewPCG(1, 2))}
	c := &cluster{fault: f, store: &fakeStore{objects: map[string]objectstore.Object{}, fault: f}}
	for i := range n {
		c.add(model.Holder{VM: string(rune('a' + i)), Incarnation: 1}, bounds)
	}
	return c
}

func (c *cluster) add(holder model.Holder, bounds Bounds) {
	ledger := NewLedger(holder, bounds)
	// The fakes answer at once: the timeout only guards against a hanging test.
	// One worker makes a run repeatable.
	settings := Settings{CallTimeout: time.Hour, Workers: 1}
	c.nodes = append(c.nodes, &node{ledger: ledger, flusher: NewFlusher(ledger, c.store, view{c, holder}, settings, 1)})
}

func (c *cluster) find(holder model.Holder) *node {
	for _, n := range c.nodes {
		if n.ledger.self == holder {
			return n
		}
	}
	return nil
}

// everyone runs a step on all live nodes and ignores its failures.
func (c *cluster) everyone(step func(*Flusher) error) {
	for _, n := range c.nodes {
		if !n.dead {
			_ = step(n.flusher)
		}
	}
}

// settle runs the exchange without faults until nothing can change any more.
func (c *cluster) settle() {
	c.fault.percent, c.store.down = 0, false
	for range settleRounds + 1 {
		c.everyone(func(f *Flusher) error { return f.Exchange(context.Background()) })
	}
	c.everyone(func(f *Flusher) error { return f.Flush(context.Background()) })
}

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

// view is the Peers of one VM.
type view struct {
	cluster *cluster
	self    model.Holder
}

func (v view) Holders() []model.Holder {
	var holders []model.Holder
	for _, n := range v.cluster.nodes {
		if n.ledger.self != v.self && !n.dead && len(holders) < 2 {
			holders = append(holders, n.ledger.self)
		}
	}
	return holders
}

// deliver calls a peer; the request or the response can be lost.
func (v view) deliver(to model.Holder, call func(*Ledger) error) error {
	n := v.cluster.find(to)
	if n == nil || n.dead || v.cluster.fault.hits() {
		return errs.New(errs.PeerUnavailable, "lost request")
	}
	err := call(n.ledger)
	if v.cluster.fault.hits() {
		return errs.New(errs.Timeout, "lost response")
	}
	return err
}

func (v view) Hold(_ context.Context, on model.Holder, document Document) error {
	return v.deliver(on, func(l *Ledger) error { return l.Hold(document) })
}

func (v view) TakeOver(_ context.Context, batch Batch) error {
	return v.deliver(batch.To, func(l *Ledger) error { return l.TakeOver(batch) })
}

func (v view) IsGone(holder model.Holder) bool {
	n := v.cluster.find(holder)
	return n == nil || n.dead
}
