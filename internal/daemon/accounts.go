package daemon

import (
	"context"

	"cicadaslip/internal/account"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// accountReplicas is the number of peers that hold a copy of the usage counters
// of this VM.
const accountReplicas = 2

// buildAccounts creates the ledger of usage counters and its flusher.
func (d *Daemon) buildAccounts() {
	d.accounts = account.NewLedger(d.holder(), account.Bounds{})
	d.flusher = account.NewFlusher(d.accounts, d.store, accountPeers{d}, account.Settings{}, uint64(d.self.Incarnation))
}

// startAccounts runs the flusher in the background and sets stopFlusher, which
// stops the flusher and waits until it has returned.
func (d *Daemon) startAccounts() {
	ctx, cancel := context.WithCancel(d.ctx)
	done := make(chan struct{})
	d.stopFlusher = func() {
		cancel()
		<-done
	}
	d.runInBackground(func(context.Context) {
		defer close(done)
		d.flusher.Run(ctx, func(err error) {
			d.log.Warn().Err(err).Msg("writing usage counters failed; will retry")
		})
	})
}

// flushAccounts stops the flusher and writes the final values of the usage
// counters.
func (d *Daemon) flushAccounts(ctx context.Context) {
	d.stopFlusher()
	if err := d.flusher.Finish(ctx); err != nil {
		d.log.Error().Err(err).Msg("writing the final usage counters failed")
	}
}

// accountPeers implements account.Peers with calls to other daemons.
type accountPeers struct{ d *Daemon }

// ReplicaPeers implements account.Peers. It returns the highest-ranked peers for the
// account of this VM, at most accountReplicas.
func (p accountPeers) ReplicaPeers() []model.Holder {
	var holders []model.Holder
	for _, vm := range p.d.members.ranked("account/"+p.d.self.Name, accountReplicas+1) {
		if vm.Name != p.d.self.Name && len(holders) < accountReplicas {
			holders = append(holders, model.Holder{VM: vm.Name, Incarnation: vm.Incarnation})
		}
	}
	return holders
}

// SendReplica implements account.Peers.
func (p accountPeers) SendReplica(ctx context.Context, peer model.Holder, document account.Document) error {
	var reply account.Reply
	return callError(p.d.call(ctx, peer.VM, account.MethodHold, document, &reply), &reply.Err)
}

// SendBatch implements account.Peers. A batch that is addressed to this VM is
// applied to the local ledger.
func (p accountPeers) SendBatch(ctx context.Context, batch account.Batch) error {
	if batch.To == p.d.holder() {
		return p.d.accounts.ReceiveBatch(batch)
	}
	var reply account.Reply
	return callError(p.d.call(ctx, batch.To.VM, account.MethodTakeOver, batch, &reply), &reply.Err)
}

// IsGone implements account.Peers.
func (p accountPeers) IsGone(holder model.Holder) bool { return p.d.members.Gone(holder) }

// callError returns the error of a call, or else the refusal in its reply. It
// returns nil if the call succeeded.
func callError(err error, refusal **errs.Error) error {
	if err != nil {
		return err
	}
	if *refusal != nil {
		return *refusal
	}
	return nil
}
