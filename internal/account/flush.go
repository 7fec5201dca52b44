package account

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// Store is the part of the object API that the account uses.
type Store interface {
	Get(ctx context.Context, key string, minRevision int64) (objectstore.Object, error)
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error)
}

// Peers reaches the other VMs.
type Peers interface {
	// Holders returns the two VMs that hold this VM's counters.
	Holders() []model.Holder
	// Hold calls Ledger.Hold on a VM.
	Hold(ctx context.Context, on model.Holder, document Document) error
	// TakeOver calls Ledger.TakeOver on the VM that the batch is for.
	TakeOver(ctx context.Context, batch Batch) error
	// IsGone reports whether an incarnation is confirmed gone.
	IsGone(holder model.Holder) bool
}

// Settings are the rates of a flusher. Zero fields take the defaults.
type Settings struct {
	// FlushEvery is the mean time between writes to the store, default 10 s. At
	// 350 VMs this is 35 writes/s. Each wait is between half and one and a half
	// of it, so that VMs do not write at the same time after an outage.
	FlushEvery time.Duration
	// ExchangeEvery is the time between messages to peers, default 1 s. It bounds
	// what is lost with a VM.
	ExchangeEvery time.Duration
	// CallTimeout bounds each call, default 2 s.
	CallTimeout time.Duration
	// Workers is the number of entry VMs that are called at the same time,
	// default 16.
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

// writeAttempts bounds the conditional writes of one flush. A conflict means
// that another VM wrote between the read and the write.
const writeAttempts = 4

// Flusher moves a ledger's records to the store and to peers. Its methods must
// not be called concurrently.
type Flusher struct {
	ledger   *Ledger
	store    Store
	peers    Peers
	settings Settings
	writes   uint64
	opened   bool                    // the store has a document of this incarnation
	flushed  uint64                  // version of the ledger in the store
	accepted map[model.Holder]uint64 // version that each holder has accepted
	jitter   *rand.Rand
}

// NewFlusher returns a flusher. The seed sets the jitter.
func NewFlusher(ledger *Ledger, store Store, peers Peers, settings Settings, seed uint64) *Flusher {
	return &Flusher{
		ledger: ledger, store: store, peers: peers, settings: settings.withDefaults(),
		accepted: map[model.Holder]uint64{}, jitter: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Run flushes at once and then exchanges and flushes until the context ends.
// Failures are passed to report and tried again at the next turn.
func (f *Flusher) Run(ctx context.Context, report func(error)) {
	if err := f.Flush(ctx); err != nil && ctx.Err() == nil {
		report(err)
	}
	exchange := time.NewTicker(f.settings.ExchangeEvery)
	defer exchange.Stop()
	flush := time.NewTimer(f.wait())
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
			flush.Reset(f.wait())
		}
		if err != nil && ctx.Err() == nil {
			report(err)
		}
	}
}

func (f *Flusher) wait() time.Duration {
	return f.settings.FlushEvery/2 + time.Duration(f.jitter.Int64N(int64(f.settings.FlushEvery)))
}

// Flush writes this VM's counters and those held for gone incarnations. The
// first failure is returned; the rest is tried all the same. The first call
// writes also an empty document, which shows that this incarnation existed, even
// if it is lost with all its records.
func (f *Flusher) Flush(ctx context.Context) error {
	first := f.flushOwn(ctx, false)
	for _, document := range f.ledger.heldDocuments() {
		if !f.peers.IsGone(document.Holder) {
			continue
		}
		if err := f.write(ctx, document); err != nil {
			first = firstOf(first, err)
			continue
		}
		f.ledger.release(document.Holder)
	}
	return first
}

// Finish does the last exchange and writes the counters as final. Nothing may
// be recorded afterwards.
func (f *Flusher) Finish(ctx context.Context) error {
	err := f.Exchange(ctx)
	return firstOf(f.flushOwn(ctx, true), err)
}

func (f *Flusher) flushOwn(ctx context.Context, final bool) error {
	if _, version := f.ledger.since(f.flushed); f.opened && version == f.flushed && !final {
		return nil
	}
	document, version := f.ledger.since(0)
	document.Final = final
	if err := f.write(ctx, document); err != nil {
		return err
	}
	f.opened, f.flushed = true, version
	return nil
}

// write merges a document into the store's. An ambiguous write is resolved by
// reading the object again, so that success means that the store has it.
func (f *Flusher) write(ctx context.Context, document Document) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	var err error
	for range writeAttempts {
		var done bool
		if done, err = f.attempt(ctx, document); done || !retryable(err) {
			return err
		}
	}
	return err
}

func retryable(err error) bool {
	return errs.Is(err, errs.Conflict) || errs.Is(err, errs.StoreAmbiguous) || errs.Is(err, errs.StoreStale)
}

// attempt reports whether the store is known to have the document.
func (f *Flusher) attempt(ctx context.Context, document Document) (bool, error) {
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
	f.writes++
	merged.Holder, merged.Writer, merged.Write = document.Holder, f.ledger.self, f.writes
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

func firstOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
