package groupclient

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/placer"
)

const (
	// syncPeriod is the time between questions to an owner.
	syncPeriod = 200 * time.Millisecond
	// answerLimit bounds the answer to a question that does not wait.
	answerLimit = 400 * time.Millisecond
	// suspectWait is the time after which a waiting request makes this VM ask
	// whether the owner is still there.
	suspectWait = 150 * time.Millisecond
	// digestAge is the age up to which what an owner tells is believed.
	digestAge = 2500 * time.Millisecond
	// ownerWait is the longest wait for a group's next owner.
	ownerWait = 2500 * time.Millisecond
	ownerPoll = 25 * time.Millisecond
	// viewAge is the age up to which resident adapters are believed.
	viewAge = 20 * time.Second
	// ownPerTarget bounds the requests that this VM sends to one target by its own
	// choice, because the other VMs do the same.
	ownPerTarget = 4
	// otherGroup is the backlog by which another group must be better to be asked
	// before the adapter's own one: the adapter would be loaded there.
	otherGroup = 600 * time.Millisecond
	// ownerlessRetry is the advice to callers while a group has no owner.
	ownerlessRetry = 700 * time.Millisecond
	// eventDelay collects events, so that one call tells several.
	eventDelay = 8 * time.Millisecond
	// maxEvents bounds the events that wait for one owner.
	maxEvents = 4096
	// beat is the time between looks at what is due.
	beat = 50 * time.Millisecond
)

// Caller calls peers. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Observer is told of changes of what this VM believes. Its methods must not block.
type Observer interface {
	OwnerSilent(group, owner string, epoch int64, silence time.Duration)
	OwnerHeard(group, owner string, epoch int64)
}

// Options of a Client.
type Options struct {
	VM         string
	DataCentre string
	Groups     *groupserver.Manager
	Peers      Caller
	Observer   Observer
	// Target returns a target that requests may be sent to.
	Target func(id string) (fleet.Target, bool)
	// Version returns the oldest version of an adapter that may be used.
	Version func(a placer.Adapter) int64
	// Seen and OthersSaw exchange the newest revisions of the store's objects.
	Seen      func() map[string]int64
	OthersSaw func(seen map[string]int64)
	// Known returns what this VM knows of the deployment, Push what it tells an owner,
	// and Told enters what an owner has told.
	Known func() grouprpc.StoreRevisions
	Push  func(owner string) *grouprpc.DeploymentUpdate
	Told  func(owner string, reply *grouprpc.SyncReply)
	// Config returns the version of the configuration in force here.
	Config func() uint64
}

// Client implements gateway.Placement. It is safe for concurrent use.
type Client struct {
	opt   Options
	start time.Time

	mu     sync.Mutex
	groups map[string]*ownerState
	held   map[string]map[string]*grouprpc.RunningRequest // granted by owners, by group and request
	own    map[string]int                                 // requests sent by this VM's own choice, by target
	events map[string][]grouprpc.Event
	flush  map[string]bool
	vms    int
}

var _ gateway.Placement = (*Client)(nil)

// New returns a client.
func New(opt Options) *Client {
	return &Client{
		opt: opt, start: time.Now(), groups: map[string]*ownerState{}, held: map[string]map[string]*grouprpc.RunningRequest{}, own: map[string]int{},
		events: map[string][]grouprpc.Event{}, flush: map[string]bool{}, vms: 1,
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

// VMs estimates the number of VMs in the deployment.
func (c *Client) VMs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

// Run asks the owners for news until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		c.refresh()
		for _, o := range c.due() {
			go c.sync(ctx, o)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
