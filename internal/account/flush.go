package account

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// Store is the part of the object API that a flusher uses.
type Store interface {
	Get(ctx context.Context, key string, minRevision int64) (objectstore.Object, error)
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error)
}

// Peers calls the other VMs.
type Peers interface {
	// ReplicaPeers returns the VMs to which the counters of this VM are
	// replicated; the daemon chooses two.
	ReplicaPeers() []model.Holder
	// SendReplica calls Ledger.StoreReplica on a VM.
	SendReplica(ctx context.Context, to model.Holder, document Document) error
	// SendBatch calls Ledger.ReceiveBatch on the VM batch.To.
	SendBatch(ctx context.Context, batch Batch) error
	// IsGone reports whether an incarnation is confirmed gone.
	IsGone(holder model.Holder) bool
}

// Settings sets the intervals, timeout and concurrency of a flusher. Zero
// fields take the defaults.
type Settings struct {
	// FlushEvery is the mean time between writes to the store, 10 s by default.
	// At 350 VMs this makes 35 writes/s. Each wait is between half and one and
	// a half times FlushEvery, so that VMs do not write at the same time after
	// an outage.
	FlushEvery time.Duration
	// ExchangeEvery is the time between exchanges with peers, 1 s by default.
	// It bounds the records that are lost with a VM.
	ExchangeEvery time.Duration
	// CallTimeout bounds the calls to one peer in an exchange and the write of
	// one document, 2 s by default.
	CallTimeout time.Duration
	// Workers is the number of entry VMs that are called concurrently, 16 by
	// default.
	Workers int
}

func (s Settings) withDefaults() Settings {
	if s.FlushEvery <= 0 {
		s.FlushEvery = 10 * time.Second
	}
	if s.ExchangeEvery <= 0 {
		s.ExchangeEvery = time.Second
	}
	if s.CallTimeout <= 0 {
		s.CallTimeout = 2 * time.Second
	}
	if s.Workers <= 0 {
		s.Workers = 16
	}
	return s
}

// writeAttempts is the largest number of conditional writes of one document in
// one flush. A conflict means that another VM wrote between the read and the
// write.
const writeAttempts = 4

// Flusher moves the records of a ledger to the store and to peers. Its methods
// must not be called concurrently.
type Flusher struct {
	ledger          *Ledger
	store           Store
	peers           Peers
	settings        Settings
	lastWrite       uint64                  // number of the last write attempted, see Document.Write
	created         bool                    // the store has a document of this incarnation
	flushedVersion  uint64                  // version of the ledger in the store
	replicaVersions map[model.Holder]uint64 // version of the ledger that each replica peer has accepted
	jitter          *rand.Rand
}

// NewFlusher returns a flusher. The seed is that of the random waits between
// flushes.
func NewFlusher(ledger *Ledger, store Store, peers Peers, settings Settings, seed uint64) *Flusher {
	return &Flusher{
		ledger: ledger, store: store, peers: peers, settings: settings.withDefaults(),
		replicaVersions: map[model.Holder]uint64{}, jitter: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Run flushes immediately and then exchanges and flushes at their intervals
// until the context ends. It passes each failure to report and retries at the
// next interval.
func (f *Flusher) Run(ctx context.Context, report func(error)) {
	if err := f.Flush(ctx); err != nil && ctx.Err() == nil {
		report(err)
	}
	exchange := time.NewTicker(f.settings.ExchangeEvery)
	defer exchange.Stop()
	flush := time.NewTimer(f.nextFlushDelay())
	defer flush.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-exchange.C:
			err = f.Exchange(ctx)
		case <-flush.C:
			err = f.Flush(ctx)
			flush.Reset(f.nextFlushDelay())
		}
		if err != nil && ctx.Err() == nil {
			report(err)
		}
	}
}

// nextFlushDelay returns a random time of half to one and a half times
// FlushEvery.
func (f *Flusher) nextFlushDelay() time.Duration {
	return f.settings.FlushEvery/2 + time.Duration(f.jitter.Int64N(int64(f.settings.FlushEvery)))
}

// Flush writes the counters of this VM and the replicas of incarnations that
// are gone. It continues after a failure and returns the first one. The first
// call writes the document even if it is empty, which shows that this
// incarnation existed if it is lost with all its records.
func (f *Flusher) Flush(ctx context.Context) error {
	firstErr := f.flushOwn(ctx, false)
	for _, document := range f.ledger.replicaDocuments() {
		if !f.peers.IsGone(document.Holder) {
			continue
		}
		if err := f.mergeIntoStore(ctx, document); err != nil {
			firstErr = firstError(firstErr, err)
			continue
		}
		f.ledger.dropReplica(document.Holder)
	}
	return firstErr
}

// Finish makes the last exchange and writes the counters as final. Nothing may
// be recorded afterwards.
func (f *Flusher) Finish(ctx context.Context) error {
	err := f.Exchange(ctx)
	return firstError(f.flushOwn(ctx, true), err)
}

// flushOwn writes the counters of this VM if they changed since the last write,
// if there was no write yet, or if final is set.
func (f *Flusher) flushOwn(ctx context.Context, final bool) error {
	if _, version := f.ledger.changedSince(f.flushedVersion); f.created && version == f.flushedVersion && !final {
		return nil
	}
	document, version := f.ledger.changedSince(0)
	document.Final = final
	if err := f.mergeIntoStore(ctx, document); err != nil {
		return err
	}
	f.created, f.flushedVersion = true, version
	return nil
}

// mergeIntoStore merges a document into the stored one. After an ambiguous
// write it reads the object again, so that success means that the store has the
// counters.
func (f *Flusher) mergeIntoStore(ctx context.Context, document Document) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	var err error
	for range writeAttempts {
		var done bool
		if done, err = f.tryMerge(ctx, document); done || !retryable(err) {
			return err
		}
	}
	return err
}

// retryable reports whether tryMerge may succeed if it is repeated after err.
func retryable(err error) bool {
	return errs.Is(err, errs.Conflict) || errs.Is(err, errs.StoreAmbiguous) || errs.Is(err, errs.StoreStale)
}

// tryMerge reads the stored document and writes the merged one, unless there is
// nothing to add. It reports whether the store is known to have the counters.
func (f *Flusher) tryMerge(ctx context.Context, document Document) (bool, error) {
	key, merged := Key(document.Holder), newDocument(document.Holder)
	object, err := f.store.Get(ctx, key, 0)
	exists := err == nil
	if err != nil && !errs.Is(err, errs.NotFound) {
		return false, err
	}
	if exists {
		if merged, err = Parse(object.Value); err != nil {
			return false, err
		}
	}
	if !merged.merge(document) && exists {
		return true, nil
	}
	f.lastWrite++
	merged.Holder, merged.Writer, merged.Write = document.Holder, f.ledger.self, f.lastWrite
	value, err := merged.encode()
	if err != nil {
		return false, err
	}
	if exists {
		_, err = f.store.Update(ctx, key, value, object.Version)
	} else {
		_, err = f.store.Create(ctx, key, value)
	}
	return err == nil, err
}

// firstError returns first, or second if first is nil.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
