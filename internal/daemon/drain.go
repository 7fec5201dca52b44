package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/pause"
)

// handoverLimit is the longest time that a draining VM waits for others to take
// its groups over once no request of its own callers is in flight.
const handoverLimit = 10 * time.Second

// drain takes the VM out of service: no new requests, duties handed over, every
// request in flight awaited up to the limit of the settings.
func (d *Daemon) drain() error {
	d.log.Info().Msg("draining")
	d.readiness.drain.Store(true)
	d.owners.Drain()
	ctx, cancel := d.drainContext()
	defer cancel()
	err := d.frontend.Drain(ctx)
	d.journal.flush(ctx)
	d.handOver(ctx)
	d.flushAccounts(ctx)
	if err != nil {
		d.log.Error().Err(err).Msg("drain limit reached with requests in flight")
		return err
	}
	d.log.Info().Msg("drained")
	return nil
}

func (d *Daemon) drainContext() (context.Context, context.CancelFunc) {
	if limit := d.settings.Shutdown.Limit; limit > 0 {
		return context.WithTimeout(d.ctx, limit)
	}
	return context.WithCancel(d.ctx)
}

// handOver waits until other VMs own the groups and shards, and until all ended
// permits are acknowledged.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	if err := d.journal.drain(ctx); err != nil {
		d.log.Warn().Err(err).Msg("journal shards were not handed over in time")
	}
	for d.broker.PendingReturns() > 0 || d.owners.OwnedCount() > 0 && !d.alone() {
		if !pause.For(ctx, dutyInterval) {
			d.logRefused()
			return
		}
	}
}

// logRefused logs each duty that no other VM has taken over in time.
func (d *Daemon) logRefused() {
	for _, group := range d.owners.Digests() {
		d.log.Warn().Str("group", group.Group).Uint64("epoch", uint64(group.Epoch)).Msg("group was not handed over in time")
	}
	for _, shard := range d.journal.owned() {
		d.log.Warn().Int("shard", shard).Msg("journal shard was not handed over in time")
	}
	if permits := d.broker.PendingReturns(); permits > 0 {
		d.log.Warn().Int("permits", permits).Msg("returns of permits were not acknowledged in time")
	}
}

// alone reports whether no other VM could take duties over.
func (d *Daemon) alone() bool {
	for _, entry := range d.members.peers() {
		if d.members.serves(entry.Holder()) {
			return false
		}
	}
	return true
}

// flushPause is the time between attempts to store the journal's backlog. The
// shards' owners refuse calls for longer than this during a store outage.
const flushPause = 250 * time.Millisecond

// flush stores the outcomes and releases of at-most-once calls that have ended.
// Without them a repeat of such a call gets outcome_unknown once this VM is gone.
func (j *journalDuty) flush(ctx context.Context) {
	parts := j.parts.Load()
	if parts == nil {
		return
	}
	if left := flushUntilEmpty(ctx, parts.client.FlushBacklog); left > 0 {
		j.d.log.Error().Int("records", left).Msg("outcomes of at-most-once calls were not stored before the drain's limit")
	}
}

// flushUntilEmpty calls flush until nothing is left or ctx ends, and returns
// what is left. It calls flush at least once.
func flushUntilEmpty(ctx context.Context, flush func(context.Context) int) int {
	for {
		left := flush(ctx)
		if left == 0 || !pause.For(ctx, flushPause) {
			return left
		}
	}
}

// owned returns the shards that this VM owns.
func (j *journalDuty) owned() []int {
	if parts := j.parts.Load(); parts != nil {
		return parts.host.Owned()
	}
	return nil
}
