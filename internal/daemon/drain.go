package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/pause"
)

// handoverTimeout is the longest time that a draining VM waits for other VMs to
// take over its groups and journal shards, once none of its own callers'
// requests is in flight.
const handoverTimeout = 10 * time.Second

// drain takes the VM out of service: it accepts no new requests, waits for the
// requests in flight up to the drain limit in the settings, and hands its
// duties over.
func (d *Daemon) drain() error {
	d.log.Info().Msg("draining")
	d.readiness.drainStarted.Store(true)
	d.owners.Drain()
	ctx, cancel := d.drainContext()
	defer cancel()
	err := d.frontend.Drain(ctx)
	d.journal.flushBacklog(ctx)
	d.awaitHandover(ctx)
	d.flushAccounts(ctx)
	if err != nil {
		d.log.Error().Err(err).Msg("drain limit passed with requests in flight")
		return err
	}
	d.log.Info().Msg("drained")
	return nil
}

// drainContext returns a context that ends at the drain limit, or only with the
// daemon if no limit is set.
func (d *Daemon) drainContext() (context.Context, context.CancelFunc) {
	if limit := d.settings.Shutdown.Limit; limit > 0 {
		return context.WithTimeout(d.ctx, limit)
	}
	return context.WithCancel(d.ctx)
}

// awaitHandover waits until other VMs own the groups and journal shards of this
// VM and the owners have acknowledged all releases and cancellations of
// permits, or until handoverTimeout has passed.
func (d *Daemon) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.journal.drain(ctx); err != nil {
		d.log.Warn().Err(err).Msg("handing over journal shards failed")
	}
	for d.broker.PendingReturns() > 0 || d.owners.OwnedCount() > 0 && !d.onlyServingVM() {
		if !pause.For(ctx, dutyCheckInterval) {
			d.logNotHandedOver()
			return
		}
	}
}

// logNotHandedOver logs each group and journal shard that no other VM has taken
// over in time, and the number of permit releases and cancellations that no
// owner has acknowledged.
func (d *Daemon) logNotHandedOver() {
	for _, group := range d.owners.Digests() {
		d.log.Warn().Str("group", group.Group).Uint64("epoch", uint64(group.Epoch)).Msg("group was not handed over in time")
	}
	for _, shard := range d.journal.ownedShards() {
		d.log.Warn().Int("shard", shard).Msg("journal shard was not handed over in time")
	}
	if permits := d.broker.PendingReturns(); permits > 0 {
		d.log.Warn().Int("permits", permits).Msg("permit returns were not acknowledged in time")
	}
}

// onlyServingVM reports whether there is no other VM that could take over
// duties.
func (d *Daemon) onlyServingVM() bool {
	for _, entry := range d.members.peers() {
		if d.members.isServing(entry.Holder()) {
			return false
		}
	}
	return true
}

// flushRetryInterval is the pause between attempts to store the backlog of the
// journal client. During a store outage the owners of the shards refuse calls
// for longer than this.
const flushRetryInterval = 250 * time.Millisecond

// flushBacklog stores the outcomes and releases of at-most-once calls that have
// ended. If they are not stored, a repeat of such a call gets outcome_unknown
// once this VM is gone.
func (j *journalManager) flushBacklog(ctx context.Context) {
	components := j.components.Load()
	if components == nil {
		return
	}
	if remaining := flushUntilEmpty(ctx, components.client.FlushBacklog); remaining > 0 {
		j.d.log.Error().Int("records", remaining).Msg("outcomes and releases of at-most-once calls were not stored before the drain limit")
	}
}

// flushUntilEmpty calls flush until no records remain or ctx ends, and returns
// the number of records that remain. It calls flush at least once.
func flushUntilEmpty(ctx context.Context, flush func(context.Context) int) int {
	for {
		remaining := flush(ctx)
		if remaining == 0 || !pause.For(ctx, flushRetryInterval) {
			return remaining
		}
	}
}

// ownedShards returns the numbers of the journal shards that this VM owns.
func (j *journalManager) ownedShards() []int {
	if components := j.components.Load(); components != nil {
		return components.host.Owned()
	}
	return nil
}
