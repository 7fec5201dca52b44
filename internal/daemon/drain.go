package daemon

import (
	"context"
	"time"
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
	for d.broker.Unreturned() > 0 || d.owners.Owned() > 0 && !d.alone() {
		if !sleep(ctx, dutyInterval) {
			d.log.Warn().Int("groups", d.owners.Owned()).Int("permits", d.broker.Unreturned()).
				Msg("duties were not handed over in time")
			return
		}
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
