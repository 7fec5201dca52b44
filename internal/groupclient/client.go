package groupclient

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/quarantine"
	"cicadaslip/internal/ratelimit"
)

const (
	// syncInterval is the time between sync calls to an owner. With several groups it
	// is multiplied by half their number.
	syncInterval = 200 * time.Millisecond
	// callTimeout is the time limit of calls that do not wait in a queue.
	callTimeout = 400 * time.Millisecond
	// suspectAfter is how long a request waits at an owner before this VM checks whether
	// the owner still responds.
	suspectAfter = 150 * time.Millisecond
	// maxReportAge is the age up to which an owner's report of its load is used.
	maxReportAge = 2500 * time.Millisecond
	// maxOwnerWait is the longest time that a request waits for an owner that responds.
	maxOwnerWait = 2500 * time.Millisecond
	// ownerPollInterval is the time between two attempts during this wait.
	ownerPollInterval = 25 * time.Millisecond
	// maxViewAge is the age up to which the view of the resident adapters is used.
	maxViewAge = 20 * time.Second
	// maxLocalPerTarget bounds the concurrent requests that this VM sends to one target
	// without a grant of an owner, because the other VMs do the same.
	maxLocalPerTarget = 4
	// minLocalEstimate is the least estimate of the time until the first event for a request
	// without a grant of an owner.
	minLocalEstimate = 500 * time.Millisecond
	// otherGroupPenalty is how much shorter the backlog of a group must be, for each rank
	// below another one up to the second, for its owner to be asked first. The penalty
	// exists because the adapter would have to be loaded in that group.
	otherGroupPenalty = 600 * time.Millisecond
	// noOwnerRetryAfter is the retry delay that callers are advised while a group has no
	// owner that responds.
	noOwnerRetryAfter = 700 * time.Millisecond
	// eventBatchDelay is how long events are collected, so that one call carries several.
	eventBatchDelay = 8 * time.Millisecond
	// maxQueuedEvents bounds the queued events of one group.
	maxQueuedEvents = 4096
	// checkInterval is the time between checks for owners that are due for a sync call.
	checkInterval = 50 * time.Millisecond
)

// Caller makes calls to peers. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Observer is notified when owners stop or start responding. Its methods must not
// block.
type Observer interface {
	// OwnerSilent is called when an owner stops responding. The silence is the time
	// since its last response.
	OwnerSilent(group, owner string, epoch int64, silence time.Duration)
	// OwnerRecovered is called when such an owner responds again.
	OwnerRecovered(group, owner string, epoch int64)
}

// Quarantine is implemented by *quarantine.Table.
type Quarantine interface {
	// Since returns what the table has learned after a version of it.
	Since(version uint64) quarantine.Delta
	// OwnSince is like Since, but leaves out what other VMs have seen.
	OwnSince(version uint64) quarantine.Delta
	// Merge adds what another VM has sent.
	Merge(d quarantine.Delta)
}

// Options holds the settings and dependencies of a Client.
type Options struct {
	VM         string
	DataCentre string
	Groups     *groupserver.Manager
	Peers      Caller
	Observer   Observer
	// Target returns a target by ID, and whether requests may be sent to it.
	Target func(id string) (fleet.Target, bool)
	// RequiredVersion returns the oldest version of an adapter that may be used.
	// It is 0 if any version may be used.
	RequiredVersion func(a placer.Adapter) int64
	// SeenRevisions returns the newest object positions that this VM has seen, by kind
	// of object, and HandlePeerRevisions receives those that an owner has seen.
	SeenRevisions       func() map[string]objectstore.Position
	HandlePeerRevisions func(seen map[string]objectstore.Position)
	// KnownRevisions returns the store revisions up to which this VM knows the
	// deployment.
	KnownRevisions func() grouprpc.StoreRevisions
	// UpdateFor returns the changes of the deployment to send to an owner, nil if none.
	UpdateFor func(owner string) *grouprpc.DeploymentUpdate
	// HandleReply receives the reply to a sync call of the owner at an address.
	HandleReply func(owner, address string, reply *grouprpc.SyncReply)
	// LeavingSince returns the targets of which this VM has heard after a version of its table
	// that they leave, with own set only from the targets themselves. MergeLeaving receives
	// those of an owner.
	LeavingSince func(version uint64, own bool) advisory.Delta
	MergeLeaving func(d advisory.Delta)
	// Pauses returns the targets that want no requests from this VM now. Nil means that there
	// are none.
	Pauses func() []advisory.Pause
	// RateLimits returns the limits that targets have named to this VM, by target.
	RateLimits func() map[string]float64
	// TakeFromLimit reports whether this VM may send a request to a target without a grant,
	// and counts it. repeat tells that another target has had the request before.
	TakeFromLimit func(target string, repeat bool) bool
	// CountAgainstLimit counts a request that is sent to a target under a grant.
	CountAgainstLimit func(target string)
	// Quarantine is the table of parts that crash targets. VMs exchange it with their calls.
	Quarantine Quarantine
	// CountOwn counts a request to which this VM gives a target without a grant against the quota
	// of its organisation, or refuses it. It is called for requests with a QuotaCost.
	CountOwn func(ctx context.Context, request *placer.Request) *errs.Error
	// Contain, deferred, reports a panic while a reply of an owner is applied. Nil contains none.
	Contain func(place string, failure *error)
	// ConfigVersion returns the version of the configuration in force here.
	ConfigVersion func() uint64
}

// Client implements gateway.Placement. It is safe for concurrent use.
type Client struct {
	opt   Options
	start time.Time

	mu             sync.Mutex
	groups         map[string]*ownerState
	running        map[string]map[string]*grouprpc.RunningRequest // requests that run under owners' grants, by group and request ID
	localGrants    map[string]int                                 // number of requests sent without an owner's grant, by target
	localShares    localShares                                    // of the organisations in localGrants
	events         map[string][]grouprpc.Event
	flushScheduled map[string]bool
	vms            int
	hearsAllOwners bool
	position       ratelimit.Position
}

var _ gateway.Placement = (*Client)(nil)

// New returns a client.
func New(opt Options) *Client {
	return &Client{
		opt: opt, start: time.Now(), groups: map[string]*ownerState{}, running: map[string]map[string]*grouprpc.RunningRequest{}, localGrants: map[string]int{},
		events: map[string][]grouprpc.Event{}, flushScheduled: map[string]bool{}, vms: 1,
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

// VMs returns the estimated number of VMs in the deployment.
func (c *Client) VMs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

// HearsAllOwners reports whether the owners of all groups with targets have answered their last calls.
// There is one at least.
func (c *Client) HearsAllOwners() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hearsAllOwners
}

// Position returns the place of this VM among those of the deployment.
func (c *Client) Position() ratelimit.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// Run makes the sync calls to the owners until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		c.updateOwners()
		for _, o := range c.dueForSync() {
			go c.sync(ctx, o)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
