package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// Names of the net/rpc services between daemons.
const (
	ownerService = "Owner"
	nodeService  = "Node"
)

// acquireDeadlineMargin is added to the deadline of a request when the RPC
// handler waits for a permit, so that the owner's core, which refuses requests
// whose deadline has passed, can answer before the handler gives up.
const acquireDeadlineMargin = 2 * time.Second

// ownerRPC serves calls of front ends to the owner of a group, and calls to the
// load coordinator.
type ownerRPC struct{ d *Daemon }

// Acquire waits for a permit.
func (s *ownerRPC) Acquire(request *rpcapi.AcquireRequest, reply *rpcapi.AcquireReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.Request.Deadline+acquireDeadlineMargin)
	defer cancel()
	*reply = s.d.acquireLocal(ctx, *request)
	return nil
}

// Release returns a permit to the owner.
func (s *ownerRPC) Release(request *rpcapi.ReleaseRequest, reply *rpcapi.ReleaseReply) error {
	*reply = s.d.owners.Release(*request)
	return nil
}

// Cancel cancels a wait for a permit.
func (s *ownerRPC) Cancel(request *rpcapi.CancelRequest, reply *rpcapi.CancelReply) error {
	*reply = s.d.owners.Cancel(*request)
	return nil
}

// Resident returns the resident adapters of a group.
func (s *ownerRPC) Resident(request *rpcapi.ResidentRequest, reply *rpcapi.ResidentReply) error {
	*reply = s.d.owners.Resident(*request)
	return nil
}

// Progress applies progress reports of running requests.
func (s *ownerRPC) Progress(request *rpcapi.ProgressRequest, reply *rpcapi.ProgressReply) error {
	reply.Err = s.d.owners.Progress(*request)
	return nil
}

// LoadPermit waits until the load may start, at most maxLoadPermitWait.
func (s *ownerRPC) LoadPermit(request *rpcapi.LoadPermitRequest, reply *rpcapi.LoadPermitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxLoadPermitWait)
	defer cancel()
	reply.Err = s.d.coordinator.wait(ctx, *request)
	return nil
}

// nodeRPC serves calls that concern the VM as a whole.
type nodeRPC struct{ d *Daemon }

// ConfirmEpoch makes the VM refuse older epochs of a group from now on.
func (s *nodeRPC) ConfirmEpoch(request *rpcapi.ConfirmEpochRequest, reply *rpcapi.ConfirmEpochReply) error {
	*reply = s.d.owners.ConfirmEpoch(*request)
	return nil
}

// Hedge advises the front end to start a second attempt.
func (s *nodeRPC) Hedge(request *core.HedgeRequest, reply *rpcapi.ReleaseReply) error {
	if !s.d.frontend.Hedge(*request) {
		reply.Err = errs.New(errs.NotFound, "the request is not running on this VM")
	}
	return nil
}
