package journal

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/rpcapi"
)

// Peers finds a shard's owner and calls it.
type Peers interface {
	// ShardOwner returns the VM that is expected to own the shard, or false if
	// none is known.
	ShardOwner(shard int) (model.Holder, bool)
	// Call makes a net/rpc call and returns before the context's deadline. Errors:
	// errs.PeerUnavailable, errs.Timeout, errs.Cancelled.
	Call(ctx context.Context, to model.Holder, method string, args, reply any) error
}

// Timing of a client's attempts.
const (
	attemptTimeout = 1500 * time.Millisecond // limit of one call to an owner
	minRetryDelay  = 5 * time.Millisecond    // before the second attempt; doubles with each further one
	maxRetryDelay  = 250 * time.Millisecond
)

// Client calls the owners of the shards. When a reply is lost or the shard moves
// to another owner, it repeats the call with the same claim id. A claim that was
// already committed is then answered as granted.
type Client struct {
	self    model.Holder
	shards  int
	local   *Service
	peers   Peers
	backlog *backlog
}

// NewClient returns the client of the VM self. Calls for shards that this VM owns
// go to the local service.
func NewClient(self model.Holder, local *Service, peers Peers) *Client {
	return &Client{
		self: self, shards: local.host.Shards(), local: local, peers: peers,
		backlog: newBacklog(local.host.counters),
	}
}

// Claim requests the key for the claim id. After an error the call did not run,
// and the claim id must not be used to dispatch it. If the claim may be recorded
// despite the error, Run releases it in the background.
func (c *Client) Claim(ctx context.Context, request rpcapi.ClaimRequest) (rpcapi.ClaimReply, error) {
	reply, uncertain, err := c.callWithRetries(ctx, request.Key, &request, claimRetryCodes)
	if err == nil {
		return reply, nil
	}
	if uncertain {
		c.backlog.add(request.Key, &rpcapi.ReleaseClaimRequest{Key: request.Key, ID: request.ID}, 0)
	}
	return rpcapi.ClaimReply{}, errs.As(err).WithRan(errs.RanNo)
}

// Outcome stores the first answer. If that fails before ctx ends, Outcome returns
// an error, and Run continues to try in the background unless the error is
// permanent.
func (c *Client) Outcome(ctx context.Context, request rpcapi.OutcomeRequest) error {
	_, _, err := c.callWithRetries(ctx, request.Key, &request, outcomeRetryCodes)
	if err != nil && !isPermanent(err) {
		c.backlog.add(request.Key, &request, len(request.Response.Body))
	}
	return err
}

// ReleaseClaim frees a key whose call was certainly not sent and will not be. If
// that fails before ctx ends, ReleaseClaim returns an error, and Run continues to
// try in the background unless the error is permanent.
func (c *Client) ReleaseClaim(ctx context.Context, request rpcapi.ReleaseClaimRequest) error {
	_, _, err := c.callWithRetries(ctx, request.Key, &request, outcomeRetryCodes)
	if err != nil && !isPermanent(err) {
		c.backlog.add(request.Key, &request, 0)
	}
	return err
}

// Lookup returns the state of a key. ClaimAbsent is valid only for the time of
// the call, because a claim may follow.
func (c *Client) Lookup(ctx context.Context, request rpcapi.LookupRequest) (rpcapi.ClaimReply, error) {
	reply, _, err := c.callWithRetries(ctx, request.Key, &request, claimRetryCodes)
	return reply, err
}

// claimRetryCodes are the errors after which another attempt may succeed soon. A
// store outage is not among them; its error tells the caller when to retry.
var claimRetryCodes = []errs.Code{
	errs.NotOwner, errs.NotReady, errs.Draining, errs.PeerUnavailable, errs.Timeout, errs.StoreAmbiguous,
}

// outcomeRetryCodes are the errors after which an outcome or a release is tried
// again. They include a store outage and an overloaded shard, because the outcome
// must not be lost.
var outcomeRetryCodes = append([]errs.Code{errs.StoreUnavailable, errs.Overloaded}, claimRetryCodes...)

// isPermanent reports whether an outcome or release fails with this error however
// often it is repeated.
func isPermanent(err error) bool {
	return errs.Is(err, errs.Conflict) || errs.Is(err, errs.InvalidRequest)
}

// callWithRetries repeats the request until it is answered, fails with a code
// that is not in retryCodes, or ctx ends. Its second result reports whether a
// request that failed may have taken effect.
func (c *Client) callWithRetries(ctx context.Context, key rpcapi.ClaimKey, request any, retryCodes []errs.Code) (rpcapi.ClaimReply, bool, error) {
	uncertain := false
	delay := minRetryDelay
	for {
		reply, sent, err := c.callOnce(ctx, ShardOf(key, c.shards), request)
		if err == nil {
			return reply, false, nil
		}
		uncertain = uncertain || (sent && mayHaveTakenEffect(reply.Err))
		if !slices.Contains(retryCodes, errs.As(err).Code) {
			return reply, uncertain, err
		}
		if !sleepWithJitter(ctx, delay) {
			return reply, uncertain, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// mayHaveTakenEffect reports whether a request that was sent may have taken
// effect. A refusal by the owner states this in its details. Without a reply, or
// after a time-out, the request may have taken effect.
func mayHaveTakenEffect(refusal *errs.Error) bool {
	return refusal == nil || refusal.Code == errs.Timeout || slices.Contains(refusal.Details, detailMayBeRecorded)
}

// sleepWithJitter waits for a random time between d/2 and d. It returns false if
// ctx ends first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, d/2+rand.N(d/2+1))
}

// callOnce makes one attempt and reports whether the request was sent.
func (c *Client) callOnce(ctx context.Context, shard int, request any) (rpcapi.ClaimReply, bool, error) {
	if ctx.Err() != nil {
		return rpcapi.ClaimReply{}, false, errs.Wrap(ctx.Err(), errs.Timeout, "no time left for the journal call")
	}
	owner, found := c.peers.ShardOwner(shard)
	if !found {
		return rpcapi.ClaimReply{}, false, errs.New(errs.NotReady, "no owner of the journal shard is known")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var reply rpcapi.ClaimReply
	var err error
	if owner == c.self {
		reply = c.local.serve(ctx, request)
	} else {
		reply, err = c.callRemote(ctx, owner, request)
	}
	if err == nil && reply.Err != nil {
		err = reply.Err
	}
	return reply, true, err
}

func (c *Client) callRemote(ctx context.Context, owner model.Holder, request any) (reply rpcapi.ClaimReply, err error) {
	switch request.(type) {
	case *rpcapi.ClaimRequest:
		err = c.peers.Call(ctx, owner, ServiceName+".Claim", request, &reply)
	case *rpcapi.LookupRequest:
		err = c.peers.Call(ctx, owner, ServiceName+".Lookup", request, &reply)
	case *rpcapi.OutcomeRequest:
		var errorReply rpcapi.OutcomeReply
		err = c.peers.Call(ctx, owner, ServiceName+".Outcome", request, &errorReply)
		reply.Err = errorReply.Err
	case *rpcapi.ReleaseClaimRequest:
		var errorReply rpcapi.ReleaseClaimReply
		err = c.peers.Call(ctx, owner, ServiceName+".ReleaseClaim", request, &errorReply)
		reply.Err = errorReply.Err
	}
	if err != nil {
		return rpcapi.ClaimReply{}, errs.As(err)
	}
	return reply, nil
}
