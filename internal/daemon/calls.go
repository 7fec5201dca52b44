package daemon

import (
	"context"
	"strconv"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// call calls a method of another VM.
func (d *Daemon) call(ctx context.Context, vm, method string, args, reply any) error {
	address, known := d.members.address(vm)
	if !known {
		return errs.NotRun(errs.PeerUnavailable, "VM "+vm+" is not registered")
	}
	began := time.Now()
	err := d.client.Call(ctx, address, method, args, reply)
	if !waitingMethods[method] {
		d.metrics.Observe(metrics.PeerLatency, time.Since(began))
	}
	return d.metrics.CountError(metrics.PeerCallsByOutcome, err)
}

// waitingMethods are the calls that wait in a queue of the called VM.
var waitingMethods = map[string]bool{
	ownerService + ".Acquire": true, ownerService + ".LoadPermit": true, nodeService + ".ConfirmEpoch": true,
}

// ownerCalls implements permit.OwnerClient: calls to an owner here or elsewhere.
type ownerCalls struct{ d *Daemon }

func (c ownerCalls) local(vm string) bool { return vm == c.d.self.Name }

// remote calls a method of another VM and returns its reply.
func remote[Request, Reply any](ctx context.Context, d *Daemon, vm, method string, request Request) (Reply, error) {
	var reply Reply
	err := d.call(ctx, vm, method, &request, &reply)
	return reply, err
}

// Acquire implements permit.OwnerClient.
func (c ownerCalls) Acquire(ctx context.Context, vm string, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error) {
	if c.local(vm) {
		return c.d.acquireHere(ctx, request), nil
	}
	return remote[rpcapi.AcquireRequest, rpcapi.AcquireReply](ctx, c.d, vm, ownerService+".Acquire", request)
}

// Release implements permit.OwnerClient.
func (c ownerCalls) Release(ctx context.Context, vm string, request rpcapi.ReleaseRequest) (rpcapi.ReleaseReply, error) {
	if c.local(vm) {
		return c.d.owners.Release(request), nil
	}
	return remote[rpcapi.ReleaseRequest, rpcapi.ReleaseReply](ctx, c.d, vm, ownerService+".Release", request)
}

// Cancel implements permit.OwnerClient.
func (c ownerCalls) Cancel(ctx context.Context, vm string, request rpcapi.CancelRequest) (rpcapi.CancelReply, error) {
	if c.local(vm) {
		return c.d.owners.Cancel(request), nil
	}
	return remote[rpcapi.CancelRequest, rpcapi.CancelReply](ctx, c.d, vm, ownerService+".Cancel", request)
}

// Progress implements permit.OwnerClient.
func (c ownerCalls) Progress(ctx context.Context, vm string, request rpcapi.ProgressRequest) (rpcapi.ProgressReply, error) {
	if c.local(vm) {
		return rpcapi.ProgressReply{Err: c.d.owners.Progress(request)}, nil
	}
	return remote[rpcapi.ProgressRequest, rpcapi.ProgressReply](ctx, c.d, vm, ownerService+".Progress", request)
}

// ownerPeers implements owner.Peers.
type ownerPeers struct{ d *Daemon }

// ConfirmEpoch implements owner.Peers.
func (p ownerPeers) ConfirmEpoch(ctx context.Context, vm string, request rpcapi.ConfirmEpochRequest) (rpcapi.ConfirmEpochReply, error) {
	if vm == p.d.self.Name {
		return p.d.owners.ConfirmEpoch(request), nil
	}
	return remote[rpcapi.ConfirmEpochRequest, rpcapi.ConfirmEpochReply](ctx, p.d, vm, nodeService+".ConfirmEpoch", request)
}

// Hedge implements owner.Peers.
func (p ownerPeers) Hedge(ctx context.Context, vm string, request core.HedgeRequest) error {
	if vm == p.d.self.Name {
		p.d.frontend.Hedge(request)
		return nil
	}
	var reply rpcapi.ReleaseReply
	return p.d.call(ctx, vm, nodeService+".Hedge", &request, &reply)
}

// journalPeers implements journal.Peers.
type journalPeers struct{ d *Daemon }

// ShardOwner implements journal.Peers.
func (p journalPeers) ShardOwner(shard int) (model.Holder, bool) {
	vm, found := p.d.members.dutyOwner(shardDuty(shard), "")
	return model.Holder{VM: vm.Name, Incarnation: vm.Incarnation}, found
}

// Call implements journal.Peers.
func (p journalPeers) Call(ctx context.Context, to model.Holder, method string, args, reply any) error {
	return p.d.call(ctx, to.VM, method, args, reply)
}

func shardDuty(shard int) string { return "shard/" + strconv.Itoa(shard) }

func versionText(version uint64) string { return "version " + strconv.FormatUint(version, 10) }
