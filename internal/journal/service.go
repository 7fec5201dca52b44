package journal

import (
	"context"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// ServiceName is the net/rpc name under which Service is registered.
const ServiceName = "Journal"

// serviceTimeout bounds how long a call waits for its batch. net/rpc has no
// deadlines, and a client repeats the call with the same claim id.
const serviceTimeout = 2 * time.Second

// Service is the net/rpc receiver of the journal calls. Its methods return
// failures in the reply's Err field. A VM that does not own the shard replies
// errs.NotOwner.
type Service struct {
	host    *Host
	timeout time.Duration
}

// NewService returns the net/rpc receiver for a host.
func NewService(host *Host) *Service { return &Service{host: host, timeout: serviceTimeout} }

// Claim claims a key of at-most-once execution for a claim ID. The reply holds the
// state of the key.
func (s *Service) Claim(request *rpcapi.ClaimRequest, reply *rpcapi.ClaimReply) error {
	*reply = s.serve(context.Background(), request)
	return nil
}

// Outcome stores the first answer of a claimed call.
func (s *Service) Outcome(request *rpcapi.OutcomeRequest, reply *rpcapi.OutcomeReply) error {
	reply.Err = s.serve(context.Background(), request).Err
	return nil
}

// ReleaseClaim frees a key whose call was certainly not sent.
func (s *Service) ReleaseClaim(request *rpcapi.ReleaseClaimRequest, reply *rpcapi.ReleaseClaimReply) error {
	reply.Err = s.serve(context.Background(), request).Err
	return nil
}

// Lookup returns the state of a key without claiming it.
func (s *Service) Lookup(request *rpcapi.LookupRequest, reply *rpcapi.ClaimReply) error {
	*reply = s.serve(context.Background(), request)
	return nil
}

// serve handles any of the four requests and waits for the batch of the call, if
// it needs one.
func (s *Service) serve(ctx context.Context, request any) rpcapi.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var call *Call
	switch r := request.(type) {
	case *rpcapi.ClaimRequest:
		call = s.host.shardOf(r.Key).Claim(*r)
	case *rpcapi.OutcomeRequest:
		call = s.host.shardOf(r.Key).Outcome(*r)
	case *rpcapi.ReleaseClaimRequest:
		call = s.host.shardOf(r.Key).Release(*r)
	case *rpcapi.LookupRequest:
		call = s.host.shardOf(r.Key).Lookup(*r)
	default:
		return rpcapi.ClaimReply{Err: errs.New(errs.Internal, "unknown journal request")}
	}
	select {
	case <-call.Done():
		return call.Reply()
	case <-ctx.Done():
		return rpcapi.ClaimReply{Err: errs.New(errs.Timeout, "the journal batch is not committed yet")}
	}
}
