package account

import (
	"context"
	"sync"

	"cicadaslip/internal/model"
)

// maxBatchesPerRound bounds the batches to one entry VM in one round, so that a
// long queue does not delay the others.
const maxBatchesPerRound = 16

// maxInbox is how many batch numbers are kept without a check whether their
// senders are gone: about two weeks of replaced VMs at the large size.
const maxInbox = 4096

// Exchange gives the counters that are not in the store to the holders and hands
// given entries over to their entry VMs. The first failure is returned.
func (f *Flusher) Exchange(ctx context.Context) error {
	first := f.replicate(ctx)
	f.ledger.mu.Lock()
	f.ledger.round++
	receivers := f.ledger.outbox.holders()
	f.ledger.pruneInbox(f.peers.IsGone)
	f.ledger.mu.Unlock()
	return firstOf(first, f.handOverAll(ctx, receivers))
}

// handOverAll hands over to several entry VMs at the same time. A VM that does
// not answer delays only one worker.
func (f *Flusher) handOverAll(ctx context.Context, receivers []model.Holder) error {
	var mu sync.Mutex
	var first error
	var workers sync.WaitGroup
	next := make(chan model.Holder)
	for range f.settings.Workers {
		workers.Go(func() {
			for to := range next {
				err := f.handOver(ctx, to)
				mu.Lock()
				first = firstOf(first, err)
				mu.Unlock()
			}
		})
	}
	for _, to := range receivers {
		if f.peers.IsGone(to) {
			f.ledger.abandon(to)
			continue
		}
		next <- to
	}
	close(next)
	workers.Wait()
	return first
}

// pruneInbox forgets the batch numbers of gone incarnations when there are many.
// They are kept until then, because a delayed batch may still arrive.
func (l *Ledger) pruneInbox(gone func(model.Holder) bool) {
	if len(l.inbox) <= maxInbox {
		return
	}
	for from := range l.inbox {
		if gone(from) {
			delete(l.inbox, from)
		}
	}
}

// replicate sends each holder the rows that neither it nor the store has.
func (f *Flusher) replicate(ctx context.Context) error {
	accepted := make(map[model.Holder]uint64)
	var first error
	for _, holder := range f.peers.Holders() {
		before, held := f.accepted[holder]
		known := max(before, f.flushed)
		part, version := f.ledger.since(known)
		if version == known && (held || f.opened) {
			accepted[holder] = known
			continue
		}
		if err := f.hold(ctx, holder, part); err != nil {
			first = firstOf(first, err)
			if held {
				accepted[holder] = before
			}
			continue
		}
		accepted[holder] = version
	}
	f.accepted = accepted
	return first
}

func (f *Flusher) hold(ctx context.Context, on model.Holder, part Document) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	return f.peers.Hold(ctx, on, part)
}

func (f *Flusher) handOver(ctx context.Context, to model.Holder) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	for range maxBatchesPerRound {
		batch, ok := f.ledger.batch(to)
		if !ok {
			return nil
		}
		if err := f.peers.TakeOver(ctx, batch); err != nil {
			return err
		}
		f.ledger.batchDone(batch)
	}
	return nil
}
