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

// call calls an RPC method of another VM, waits for the reply and records the
// latency and outcome of the call.
func (d *Daemon) call(ctx context.Context, vm, method string, args, reply any) error {
	rpcAddress, registered := d.members.rpcAddress(vm)
	if !registered {
		return errs.NotRun(errs.PeerUnavailable, "VM "+vm+" is not registered")
	}
	start := time.Now()
	err := d.client.Call(ctx, rpcAddress, method, args, reply)
	if !queueingMethods[method] {
		d.metrics.Observe(metrics.PeerLatency, time.Since(start))
	}
	return d.metrics.CountError(metrics.PeerCallsByOutcome, err)
}

// queueingMethods are the methods that may wait in a queue of the called VM.
// Their latency is not recorded in PeerLatency.
var queueingMethods = map[string]bool{
	ownerService + ".Acquire": true, ownerService + ".LoadPermit": true, nodeService + ".ConfirmEpoch": true,
}

// ownerCalls implements permit.OwnerClient. It calls the owner of a group
// directly if the owner is this VM, and by RPC otherwise.
type ownerCalls struct{ d *Daemon }

func (c ownerCalls) isLocal(vm string) bool { return vm == c.d.self.Name }

// callRemote calls an RPC method of another VM and returns the reply.
func callRemote[Request, Reply any](ctx context.Context, d *Daemon, vm, method string, request Request) (Reply, error) {
	var reply Reply
	err := d.call(ctx, vm, method, &request, &reply)
	return reply, err
}

// Acquire implements permit.OwnerClient.
func (c ownerCalls) Acquire(ctx context.Context, vm string, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error) {
	if c.isLocal(vm) {
		return c.d.acquireLocal(ctx, request), nil
	}
	return callRemote[rpcapi.AcquireRequest, rpcapi.AcquireReply](ctx, c.d, vm, ownerService+".Acquire", request)
}

// Release implements permit.OwnerClient.
func (c ownerCalls) Release(ctx context.Context, vm string, request rpcapi.ReleaseRequest) (rpcapi.ReleaseReply, error) {
	if c.isLocal(vm) {
		return c.d.owners.Release(request), nil
	}
	return callRemote[rpcapi.ReleaseRequest, rpcapi.ReleaseReply](ctx, c.d, vm, ownerService+".Release", request)
}

// Cancel implements permit.OwnerClient.
func (c ownerCalls) Cancel(ctx context.Context, vm string, request rpcapi.CancelRequest) (rpcapi.CancelReply, error) {
	if c.isLocal(vm) {
		return c.d.owners.Cancel(request), nil
	}
	return callRemote[rpcapi.CancelRequest, rpcapi.CancelReply](ctx, c.d, vm, ownerService+".Cancel", request)
}

// Progress implements permit.OwnerClient.
func (c ownerCalls) Progress(ctx context.Context, vm string, request rpcapi.ProgressRequest) (rpcapi.ProgressReply, error) {
	if c.isLocal(vm) {
		return rpcapi.ProgressReply{Err: c.d.owners.Progress(request)}, nil
	}
	return callRemote[rpcapi.ProgressRequest, rpcapi.ProgressReply](ctx, c.d, vm, ownerService+".Progress", request)
}

// ownerPeers implements owner.Peers. It handles calls to this VM directly and
// sends all others by RPC.
type ownerPeers struct{ d *Daemon }

// ConfirmEpoch implements owner.Peers.
func (p ownerPeers) ConfirmEpoch(ctx context.Context, vm string, request rpcapi.ConfirmEpochRequest) (rpcapi.ConfirmEpochReply, error) {
	if vm == p.d.self.Name {
		return p.d.owners.ConfirmEpoch(request), nil
	}
	return callRemote[rpcapi.ConfirmEpochRequest, rpcapi.ConfirmEpochReply](ctx, p.d, vm, nodeService+".ConfirmEpoch", request)
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

// journalPeers implements journal.Peers with calls to other daemons.
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

// shardDuty returns the name of the duty to own a journal shard.
func shardDuty(shard int) string { return "shard/" + strconv.Itoa(shard) }

// formatVersion returns the text for a configuration version in timeline
// events.
func formatVersion(version uint64) string { return "version " + strconv.FormatUint(version, 10) }
