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
	// ShardOwner returns the VM expected to own the shard, or false when none is
	// known.
	ShardOwner(shard int) (model.Holder, bool)
	// Call makes a net/rpc call and returns before the context's deadline. Errors:
	// errs.PeerUnavailable, errs.Timeout, errs.Cancelled.
	Call(ctx context.Context, to model.Holder, method string, args, reply any) error
}

// Times of a client's attempts.
const (
	attemptTimeout  = 1500 * time.Millisecond // of one call to an owner
	attemptPauseMin = 5 * time.Millisecond    // before the second attempt; doubles
	attemptPauseMax = 250 * time.Millisecond
)

// Client asks the owners of the shards. It asks again with the same claim id
// when a reply is lost or the owner moves, so that a claim that was committed is
// found as granted.
type Client struct {
	self    model.Holder
	shards  int
	local   *Service
	peers   Peers
	backlog *backlog
}

// NewClient returns a client of one VM. Calls for shards that this VM owns go
// to the local service.
func NewClient(self model.Holder, local *Service, peers Peers) *Client {
	return &Client{
		self: self, shards: local.host.Shards(), local: local, peers: peers,
		backlog: newBacklog(local.host.counters),
	}
}

// Claim asks for the key with the claim id. Errors say that the call was not
// run: the claim id must not be used for a dispatch afterwards. A claim that may
// be recorded nevertheless is released in the background.
func (c *Client) Claim(ctx context.Context, request rpcapi.ClaimRequest) (rpcapi.ClaimReply, error) {
	reply, uncertain, err := c.ask(ctx, request.Key, &request, claimRetries)
	if err == nil {
		return reply, nil
	}
	if uncertain {
		c.backlog.add(request.Key, &rpcapi.ReleaseClaimRequest{Key: request.Key, ID: request.ID}, 0)
	}
	return rpcapi.ClaimReply{}, errs.As(err).WithRan(errs.RanNo)
}

// Outcome stores the first answer. When it cannot be stored before ctx ends, an
// error is returned and storing goes on in the background.
func (c *Client) Outcome(ctx context.Context, request rpcapi.OutcomeRequest) error {
	_, _, err := c.ask(ctx, request.Key, &request, endRetries)
	if err != nil && !final(err) {
		c.backlog.add(request.Key, &request, len(request.Response.Body))
	}
	return err
}

// ReleaseClaim frees a key whose call was certainly not sent and will not be.
// When it fails before ctx ends, it goes on in the background.
func (c *Client) ReleaseClaim(ctx context.Context, request rpcapi.ReleaseClaimRequest) error {
	_, _, err := c.ask(ctx, request.Key, &request, endRetries)
	if err != nil && !final(err) {
		c.backlog.add(request.Key, &request, 0)
	}
	return err
}

// Lookup returns the state of a key. ClaimAbsent holds at the time of the call
// only: a claim may follow.
func (c *Client) Lookup(ctx context.Context, request rpcapi.LookupRequest) (rpcapi.ClaimReply, error) {
	reply, _, err := c.ask(ctx, request.Key, &request, claimRetries)
	return reply, err
}

// claimRetries are the failures after which another attempt may help at once. A
// store outage is not among them: the caller gets the retry time instead.
var claimRetries = []errs.Code{
	errs.NotOwner, errs.NotReady, errs.Draining, errs.PeerUnavailable, errs.Timeout, errs.StoreAmbiguous,
}

// endRetries adds the failures through which an outcome or a release is kept.
var endRetries = append([]errs.Code{errs.StoreUnavailable, errs.Overloaded}, claimRetries...)

// final reports whether repeating an outcome or release is pointless.
func final(err error) bool {
	return errs.Is(err, errs.Conflict) || errs.Is(err, errs.InvalidRequest)
}

// ask repeats the request until it is answered, fails for good or ctx ends.
// Uncertain tells whether the request may have taken effect all the same.
func (c *Client) ask(ctx context.Context, key rpcapi.ClaimKey, request any, retries []errs.Code) (rpcapi.ClaimReply, bool, error) {
	uncertain := false
	pause := attemptPauseMin
	for {
		reply, sent, err := c.once(ctx, ShardOf(key, c.shards), request)
		if err == nil {
			return reply, false, nil
		}
		uncertain = uncertain || (sent && inDoubt(reply.Err))
		if !slices.Contains(retries, errs.As(err).Code) {
			return reply, uncertain, err
		}
		if !sleep(ctx, pause) {
			return reply, uncertain, err
		}
		pause = min(2*pause, attemptPauseMax)
	}
}

// inDoubt reports whether a request that was sent may have taken effect. A
// refusal by the owner says so itself; without a reply nothing is known.
func inDoubt(refusal *errs.Error) bool {
	return refusal == nil || refusal.Code == errs.Timeout || slices.Contains(refusal.Details, detailInDoubt)
}

// sleep waits between half of d and d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, d/2+rand.N(d/2+1))
}

// once makes one attempt and tells whether it was sent.
func (c *Client) once(ctx context.Context, shard int, request any) (rpcapi.ClaimReply, bool, error) {
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
		reply, err = c.remote(ctx, owner, request)
	}
	if err == nil && reply.Err != nil {
		err = reply.Err
	}
	return reply, true, err
}

func (c *Client) remote(ctx context.Context, owner model.Holder, request any) (reply rpcapi.ClaimReply, err error) {
	switch request.(type) {
	case *rpcapi.ClaimRequest:
		err = c.peers.Call(ctx, owner, ServiceName+".Claim", request, &reply)
	case *rpcapi.LookupRequest:
		err = c.peers.Call(ctx, owner, ServiceName+".Lookup", request, &reply)
	case *rpcapi.OutcomeRequest:
		var end rpcapi.OutcomeReply
		err = c.peers.Call(ctx, owner, ServiceName+".Outcome", request, &end)
		reply.Err = end.Err
	case *rpcapi.ReleaseClaimRequest:
		var end rpcapi.ReleaseClaimReply
		err = c.peers.Call(ctx, owner, ServiceName+".ReleaseClaim", request, &end)
		reply.Err = end.Err
	}
	if err != nil {
		return rpcapi.ClaimReply{}, errs.As(err)
	}
	return reply, nil
}
