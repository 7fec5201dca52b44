package daemon

import (
	"context"

	"cicadaslip/internal/account"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// accountHolders is the number of peers that hold this VM's counters.
const accountHolders = 2

func (d *Daemon) buildAccounts() {
	d.accounts = account.NewLedger(d.holder(), account.Bounds{})
	d.flusher = account.NewFlusher(d.accounts, d.store, accountPeers{d}, account.Settings{}, uint64(d.self.Incarnation))
}

// startAccounts runs the flusher until stopFlusher is called, which waits.
func (d *Daemon) startAccounts() {
	ctx, cancel := context.WithCancel(d.ctx)
	ended := make(chan struct{})
	d.stopFlusher = func() {
		cancel()
		<-ended
	}
	d.goRun(func(context.Context) {
		defer close(ended)
		d.flusher.Run(ctx, func(err error) {
			d.log.Warn().Err(err).Msg("account could not be written, trying again")
		})
	})
}

// flushAccounts writes the final counters.
func (d *Daemon) flushAccounts(ctx context.Context) {
	d.stopFlusher()
	if err := d.flusher.Finish(ctx); err != nil {
		d.log.Error().Err(err).Msg("final counters were not written")
	}
}

// accountPeers implements account.Peers.
type accountPeers struct{ d *Daemon }

// ReplicaPeers implements account.Peers.
func (p accountPeers) ReplicaPeers() []model.Holder {
	var holders []model.Holder
	for _, vm := range p.d.members.ranked("account/"+p.d.self.Name, accountHolders+1) {
		if vm.Name != p.d.self.Name && len(holders) < accountHolders {
			holders = append(holders, model.Holder{VM: vm.Name, Incarnation: vm.Incarnation})
		}
	}
	return holders
}

// SendReplica implements account.Peers.
func (p accountPeers) SendReplica(ctx context.Context, on model.Holder, document account.Document) error {
	var reply account.Reply
	return outcome(p.d.call(ctx, on.VM, account.MethodHold, document, &reply), &reply.Err)
}

// SendBatch implements account.Peers.
func (p accountPeers) SendBatch(ctx context.Context, batch account.Batch) error {
	if batch.To == p.d.holder() {
		return p.d.accounts.ReceiveBatch(batch)
	}
	var reply account.Reply
	return outcome(p.d.call(ctx, batch.To.VM, account.MethodTakeOver, batch, &reply), &reply.Err)
}

// IsGone implements account.Peers.
func (p accountPeers) IsGone(holder model.Holder) bool { return p.d.members.Gone(holder) }

// outcome joins the failure of a call and the typed refusal in its reply.
func outcome(err error, refusal **errs.Error) error {
	if err != nil {
		return err
	}
	if *refusal != nil {
		return *refusal
	}
	return nil
}
