package account

import (
	"context"
	"sync"

	"cicadaslip/internal/model"
)

// maxBatchesPerExchange is the largest number of batches sent to one entry VM
// in one exchange, so that a long queue does not delay the entries for other
// VMs.
const maxBatchesPerExchange = 16

// lastBatchesPruneSize is the number of senders in Ledger.lastBatches above
// which those that are gone are removed. In a cluster of 350 VMs it covers the
// senders of about two weeks of VM replacements.
const lastBatchesPruneSize = 4096

// Exchange replicates the counters that are not in the store to the replica
// peers and sends given entries to their entry VMs. It continues after a
// failure and returns the first one.
func (f *Flusher) Exchange(ctx context.Context) error {
	firstErr := f.replicate(ctx)
	f.ledger.mu.Lock()
	f.ledger.exchanges++
	entryVMs := f.ledger.outbox.recipients()
	f.ledger.pruneLastBatches(f.peers.IsGone)
	f.ledger.mu.Unlock()
	return firstError(firstErr, f.sendAllBatches(ctx, entryVMs))
}

// sendAllBatches sends batches to several entry VMs concurrently. A VM that
// does not respond delays only one worker. The entries for VMs that are gone are
// moved to the open requests.
func (f *Flusher) sendAllBatches(ctx context.Context, entryVMs []model.Holder) error {
	var mu sync.Mutex
	var firstErr error
	var workers sync.WaitGroup
	next := make(chan model.Holder)
	for range f.settings.Workers {
		workers.Go(func() {
			for to := range next {
				err := f.sendBatches(ctx, to)
				mu.Lock()
				firstErr = firstError(firstErr, err)
				mu.Unlock()
			}
		})
	}
	for _, to := range entryVMs {
		if f.peers.IsGone(to) {
			f.ledger.moveToOpen(to)
			continue
		}
		next <- to
	}
	close(next)
	workers.Wait()
	return firstErr
}

// pruneLastBatches removes the last batch numbers of senders that are gone if
// there are more than lastBatchesPruneSize. Until then they are kept to
// recognise a delayed batch of such a sender as a repeat.
func (l *Ledger) pruneLastBatches(isGone func(model.Holder) bool) {
	if len(l.lastBatches) <= lastBatchesPruneSize {
		return
	}
	for from := range l.lastBatches {
		if isGone(from) {
			delete(l.lastBatches, from)
		}
	}
}

// replicate sends each replica peer the rows that neither the peer nor the
// store has in their current version.
func (f *Flusher) replicate(ctx context.Context) error {
	replicaVersions := make(map[model.Holder]uint64)
	var firstErr error
	for _, peer := range f.peers.ReplicaPeers() {
		replicaVersion, hasReplica := f.replicaVersions[peer]
		savedVersion := max(replicaVersion, f.flushedVersion)
		part, version := f.ledger.changedSince(savedVersion)
		if version == savedVersion && (hasReplica || f.created) {
			replicaVersions[peer] = savedVersion
			continue
		}
		if err := f.sendReplica(ctx, peer, part); err != nil {
			firstErr = firstError(firstErr, err)
			if hasReplica {
				replicaVersions[peer] = replicaVersion
			}
			continue
		}
		replicaVersions[peer] = version
	}
	f.replicaVersions = replicaVersions
	return firstErr
}

func (f *Flusher) sendReplica(ctx context.Context, to model.Holder, part Document) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	return f.peers.SendReplica(ctx, to, part)
}

func (f *Flusher) sendBatches(ctx context.Context, to model.Holder) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	for range maxBatchesPerExchange {
		batch, ok := f.ledger.nextBatch(to)
		if !ok {
			return nil
		}
		if err := f.peers.SendBatch(ctx, batch); err != nil {
			return err
		}
		f.ledger.acknowledgeBatch(batch)
	}
	return nil
}
