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

// acquireSlack is added to a request's deadline when the owner waits for its
// core, which refuses requests whose deadline has passed.
const acquireSlack = 2 * time.Second

// ownerRPC serves the calls of front ends to the owner of a group.
type ownerRPC struct{ d *Daemon }

// Acquire waits for a permit.
func (s *ownerRPC) Acquire(request *rpcapi.AcquireRequest, reply *rpcapi.AcquireReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.Request.Deadline+acquireSlack)
	defer cancel()
	*reply = s.d.acquireHere(ctx, *request)
	return nil
}

// Release ends a permit.
func (s *ownerRPC) Release(request *rpcapi.ReleaseRequest, reply *rpcapi.ReleaseReply) error {
	*reply = s.d.owners.Release(*request)
	return nil
}

// Cancel ends a wait for a permit.
func (s *ownerRPC) Cancel(request *rpcapi.CancelRequest, reply *rpcapi.CancelReply) error {
	*reply = s.d.owners.Cancel(*request)
	return nil
}

// Resident lists a group's resident adapters.
func (s *ownerRPC) Resident(request *rpcapi.ResidentRequest, reply *rpcapi.ResidentReply) error {
	*reply = s.d.owners.Resident(*request)
	return nil
}

// Progress takes reports of running requests.
func (s *ownerRPC) Progress(request *rpcapi.ProgressRequest, reply *rpcapi.ProgressReply) error {
	reply.Err = s.d.owners.Progress(*request)
	return nil
}

// LoadPermit waits until a load may start.
func (s *ownerRPC) LoadPermit(request *rpcapi.LoadPermitRequest, reply *rpcapi.LoadPermitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadPermitWait)
	defer cancel()
	reply.Err = s.d.coordinator.wait(ctx, *request)
	return nil
}

// nodeRPC serves calls that concern the whole VM.
type nodeRPC struct{ d *Daemon }

// ConfirmEpoch refuses older epochs of a group from now on.
func (s *nodeRPC) ConfirmEpoch(request *rpcapi.ConfirmEpochRequest, reply *rpcapi.ConfirmEpochReply) error {
	*reply = s.d.owners.ConfirmEpoch(*request)
	return nil
}

// Hedge advises the front end to start a second attempt.
func (s *nodeRPC) Hedge(request *core.HedgeRequest, reply *rpcapi.ReleaseReply) error {
	if !s.d.frontend.Hedge(*request) {
		reply.Err = errs.New(errs.NotFound, "the request is not running here")
	}
	return nil
}
