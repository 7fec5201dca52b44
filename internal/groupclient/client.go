package groupclient

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/errs"
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
	// Follows reports whether an owner's feed is followed, Feed returns the place in
	// it, and News enters what the owner has told.
	Follows func(owner string) bool
	Feed    func(owner string) (grouprpc.FeedRequest, bool)
	News    func(*grouprpc.News)
	// Push returns what this VM tells an owner, Config the version in force here, and
	// NoteConfig enters that of another VM.
	Push       func(owner string) *grouprpc.News
	Config     func() uint64
	NoteConfig func(version uint64)
}

// Client implements gateway.Placement. It is safe for concurrent use.
type Client struct {
	opt   Options
	start time.Time

	mu     sync.Mutex
	groups map[string]*ownerState
	held   map[string]map[string]*grouprpc.Held // granted by owners, by group and request
	own    map[string]int                       // requests sent by this VM's own choice, by target
	events map[string][]grouprpc.Event
	flush  map[string]bool
	vms    int
}

var _ gateway.Placement = (*Client)(nil)

// New returns a client.
func New(opt Options) *Client {
	return &Client{
		opt: opt, start: time.Now(), groups: map[string]*ownerState{}, held: map[string]map[string]*grouprpc.Held{}, own: map[string]int{},
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

// refresh takes over who owns the groups.
func (c *Client) refresh() {
	status := c.opt.Groups.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range status {
		o := c.groups[s.Name]
		if o == nil {
			o = &ownerState{name: s.Name, resident: map[placer.Adapter][]placer.Resident{}}
			o.reset()
			c.groups[s.Name] = o
		}
		owner, address := s.Record.Owner, s.Record.Address
		if !s.Exists {
			owner, address = "", ""
		}
		if o.epoch != s.Record.Epoch || o.owner != owner {
			o.reset()
			o.epoch, o.owner, o.address = s.Record.Epoch, owner, address
		}
		o.own = s.Own
	}
}

// due returns the groups whose owners are to be asked now.
func (c *Client) due() []*ownerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var due []*ownerState
	for _, o := range c.groups {
		if o.owner == "" || o.own || o.asking || now-o.askedAt < c.period(o) {
			continue
		}
		o.asking, o.askedAt = true, now
		due = append(due, o)
	}
	return due
}

// period is the time between questions to one owner. With many groups each is
// asked less often, so that the questions of all VMs grow slower than the groups.
// The one that tells the changes of the deployment is asked often in any case.
func (c *Client) period(o *ownerState) time.Duration {
	if o.silent {
		return syncPeriod
	}
	if c.opt.Follows(o.owner) {
		return min(2, time.Duration(len(c.groups))) * syncPeriod
	}
	return syncPeriod * time.Duration(max(1, (len(c.groups)+1)/2))
}

// sync asks an owner for news.
func (c *Client) sync(ctx context.Context, o *ownerState) {
	c.mu.Lock()
	request := grouprpc.SyncRequest{Group: o.name, Epoch: o.epoch, VM: c.opt.VM, Since: o.version, Seen: c.opt.Seen()}
	if !o.heard {
		for _, h := range c.held[o.name] {
			request.Held = append(request.Held, *h)
		}
	}
	address, epoch, owner := o.address, o.epoch, o.owner
	c.mu.Unlock()
	if feed, followed := c.opt.Feed(owner); followed {
		request.Feed = &feed
	}
	request.Push, request.Config = c.opt.Push(owner), c.opt.Config()
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	var reply grouprpc.SyncReply
	err := c.opt.Peers.Call(ctx, address, grouprpc.SyncMethod, request, &reply)
	if err == nil {
		c.opt.OthersSaw(reply.Seen)
		if reply.NotOwner {
			c.opt.Groups.Learn(request.Group, reply.Record, reply.At)
		} else {
			c.opt.News(&reply.News)
			c.opt.NoteConfig(reply.Config)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.asking = false
	if o.epoch != epoch {
		return
	}
	if err != nil {
		c.missed(o)
		c.opt.Groups.Missed(o.name, epoch)
		return
	}
	if reply.NotOwner || reply.Epoch != epoch {
		return
	}
	c.heardOf(o)
	now := c.now()
	o.digest = digest{at: now, vms: reply.VMs, backlog: reply.Backlog}
	o.fold(reply)
	c.countVMs(now)
	c.opt.Groups.Contact(o.name, epoch, reply.Blind)
}

// missed enters a call without an answer. The waits at a silent owner end, so
// that their requests go elsewhere. The caller holds the lock.
func (c *Client) missed(o *ownerState) {
	if o.silent {
		return
	}
	o.silent = true
	c.opt.Observer.OwnerSilent(o.name, o.owner, o.epoch, c.now()-o.heardAt)
	o.end()
}

func (c *Client) heardOf(o *ownerState) {
	o.heardAt = c.now()
	if o.silent {
		heard := o.version
		o.reset()
		o.version = heard
		c.opt.Observer.OwnerHeard(o.name, o.owner, o.epoch)
	}
	o.heard = true
}

// countVMs adds up the VMs that the owners hear. Owners of several services hear
// the same VMs, so the largest sum over one data centre's groups would do; each
// VM calls all owners, so the largest count is that of the deployment.
func (c *Client) countVMs(now time.Duration) {
	most := 1
	for _, o := range c.groups {
		if now-o.digest.at < digestAge {
			most = max(most, o.digest.vms)
		}
	}
	c.vms = most
}

// option is the owner of a group that may serve a request.
type option struct {
	state   *ownerState
	name    string
	owner   string
	address string
	epoch   int64
	own     bool
	wait    <-chan struct{}
	cost    time.Duration
}

// options returns the owners that answer, in the order in which they are asked: by
// the rank of their groups for the adapter, unless a group has much more to do
// than a later one.
func (c *Client) options(names []string) []option {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var all []option
	for rank, name := range names {
		o := c.groups[name]
		if o == nil || o.owner == "" || o.silent && !o.own {
			continue
		}
		cost := time.Duration(min(rank, 2)) * otherGroup
		if now-o.digest.at < digestAge {
			cost += o.digest.backlog
		}
		all = append(all, option{
			state: o, name: o.name, owner: o.owner, address: o.address, epoch: o.epoch, own: o.own, wait: o.wait, cost: cost,
		})
	}
	slices.SortStableFunc(all, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// Acquire implements gateway.Placement. While the group has no owner that
// answers, a target is chosen by this VM's own view; a request that needs a load
// waits for the next owner.
func (c *Client) Acquire(ctx context.Context, service string, request placer.Request) (gateway.Lease, *errs.Error) {
	request.Holder, request.DataCentre = c.opt.VM, c.opt.DataCentre
	began := time.Now()
	for {
		names := c.opt.Groups.Ranked(service, request.Adapter.Model+"/"+request.Adapter.Name)
		lease, failure := c.askAll(ctx, c.options(names), request, began)
		if failure == nil {
			return lease, nil
		}
		if !unreachable(failure) {
			return gateway.Lease{}, failure
		}
		if lease, found := c.choose(names, request); found {
			return lease, nil
		}
		if time.Since(began) > ownerWait || ctx.Err() != nil {
			return gateway.Lease{}, errs.NotRun(errs.NotOwner, "no owner of the service's targets answers").WithRetry(ownerlessRetry)
		}
		sleep(ctx, ownerPoll)
	}
}

// maxOwners is the number of owners that are asked for one request.
const maxOwners = 2

// askAll asks the owners in turn until one grants a target. An owner that cannot
// be reached is left out; two refusals for overload are final.
func (c *Client) askAll(ctx context.Context, options []option, request placer.Request, began time.Time) (gateway.Lease, *errs.Error) {
	failure := errs.NotRun(errs.NotOwner, "no group has an owner")
	refused := 0
	for _, o := range options {
		r := request
		r.Objective -= time.Since(began)
		r.Deadline -= time.Since(began)
		reply := c.ask(ctx, o, r)
		if reply.Err == nil {
			c.hold(o.name, r, reply.Grant)
			return gateway.Lease{Grant: reply.Grant, Estimate: reply.Estimate, Owner: o.owner, Group: o.name}, nil
		}
		if unreachable(reply.Err) && refused > 0 {
			continue
		}
		failure = reply.Err
		if ctx.Err() != nil || reply.Err.Code == errs.DeadlineUnreachable {
			return gateway.Lease{}, failure
		}
		if !unreachable(reply.Err) {
			if refused++; refused >= maxOwners {
				break
			}
		}
	}
	return gateway.Lease{}, failure
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// hold remembers what runs under an owner's grant, for the next owner.
func (c *Client) hold(group string, request placer.Request, grant placer.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[group] == nil {
		c.held[group] = map[string]*grouprpc.Held{}
	}
	request.Parts, request.Exclude = nil, nil
	c.held[group][request.ID] = &grouprpc.Held{Request: request, Target: grant.Target}
}

func unreachable(e *errs.Error) bool {
	return e.Code == errs.NotOwner || e.Code == errs.PeerUnavailable || e.Code == errs.Timeout || e.Code == errs.Draining
}

// ask waits in the queue of an owner. The wait ends when the owner falls silent.
func (c *Client) ask(ctx context.Context, o option, request placer.Request) grouprpc.AcquireReply {
	args := grouprpc.AcquireRequest{Group: o.name, Epoch: o.epoch, Request: request}
	if o.own {
		return c.opt.Groups.Acquire(ctx, args)
	}
	ctx, cancel := context.WithTimeout(ctx, max(request.Deadline, time.Millisecond))
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go c.guard(o, stop, cancel)
	var reply grouprpc.AcquireReply
	if err := c.opt.Peers.Call(ctx, o.address, grouprpc.AcquireMethod, args, &reply); err != nil {
		c.tell(o.name, grouprpc.Event{ID: request.ID, Kind: grouprpc.EventCancelled})
		failure := errs.As(err)
		return grouprpc.AcquireReply{Err: errs.NotRun(failure.Code, "the owner of the target group did not answer")}
	}
	return reply
}

// guard ends a wait when its owner falls silent, and asks the owner whether it is
// there when the wait becomes long.
func (c *Client) guard(o option, stop <-chan struct{}, cancel context.CancelFunc) {
	timer := time.NewTimer(suspectWait)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-o.wait:
			cancel()
			return
		case <-timer.C:
			c.hurry(o.state)
			timer.Reset(suspectWait)
		}
	}
}

// hurry makes the next question to an owner due now.
func (c *Client) hurry(o *ownerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now()-o.heardAt >= suspectWait {
		o.askedAt = 0
	}
}

// choose picks a target by this VM's own view, while no owner can be asked.
func (c *Client) choose(names []string, request placer.Request) (gateway.Lease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best placer.Resident
	var bestTarget fleet.Target
	found := false
	required := c.opt.Version(request.Adapter)
	for _, name := range names {
		o := c.groups[name]
		if o == nil {
			continue
		}
		for _, r := range c.residents(o, request.Adapter) {
			t, usable := c.opt.Target(r.Target)
			if r.Version < required || !usable || slices.Contains(request.Exclude, r.Target) || c.own[r.Target] >= ownPerTarget {
				continue
			}
			if !found || c.own[r.Target] < c.own[best.Target] {
				best, bestTarget, found = r, t, true
			}
		}
	}
	if !found {
		return gateway.Lease{}, false
	}
	c.own[best.Target]++
	grant := placer.Grant{Request: request.ID, Target: best.Target, Address: bestTarget.Address, Version: best.Version, Priority: request.Priority}
	return gateway.Lease{Grant: grant, Estimate: request.Objective / 2}, true
}

// residents returns where an adapter is resident by the view of a group.
func (c *Client) residents(o *ownerState, a placer.Adapter) []placer.Resident {
	if c.now()-o.heardAt > viewAge || !o.heard && o.resident == nil {
		return nil
	}
	return o.resident[a]
}

// Started implements gateway.Placement.
func (c *Client) Started(lease gateway.Lease, slowness float64) {
	if lease.Owner == "" {
		return
	}
	c.mu.Lock()
	if h := c.held[lease.Group][lease.Grant.Request]; h != nil {
		h.Started = true
	}
	c.mu.Unlock()
	c.tell(lease.Group, grouprpc.Event{ID: lease.Grant.Request, Kind: grouprpc.EventStarted, Slowness: slowness})
}

// Release implements gateway.Placement.
func (c *Client) Release(lease gateway.Lease, outcome placer.Outcome) {
	if lease.Owner != "" {
		c.mu.Lock()
		delete(c.held[lease.Group], lease.Grant.Request)
		c.mu.Unlock()
		c.tell(lease.Group, grouprpc.Event{ID: lease.Grant.Request, Kind: grouprpc.EventReleased, Outcome: outcome})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own[lease.Grant.Target]--; c.own[lease.Grant.Target] <= 0 {
		delete(c.own, lease.Grant.Target)
	}
}

// tell queues an event for the owner of a group.
func (c *Client) tell(group string, e grouprpc.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.groups[group]
	if o == nil {
		return
	}
	if o.own {
		go c.opt.Groups.Events(grouprpc.EventsRequest{Group: group, VM: c.opt.VM, Events: []grouprpc.Event{e}})
		return
	}
	if len(c.events[group]) < maxEvents {
		c.events[group] = append(c.events[group], e)
	}
	if !c.flush[group] {
		c.flush[group] = true
		time.AfterFunc(eventDelay, func() { c.send(group) })
	}
}

// send tells the queued events to a group's owner. Events that do not arrive are
// lost; the owner ends the runs of a lost release by their deadlines.
func (c *Client) send(group string) {
	c.mu.Lock()
	o := c.groups[group]
	events, address, own := c.events[group], o.address, o.own
	delete(c.events, group)
	c.flush[group] = false
	c.mu.Unlock()
	request := grouprpc.EventsRequest{Group: group, VM: c.opt.VM, Events: events}
	if own {
		c.opt.Groups.Events(request)
		return
	}
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	var reply grouprpc.EventsReply
	if err := c.opt.Peers.Call(ctx, address, grouprpc.EventsMethod, request, &reply); err != nil {
		c.hurry(o)
	}
}
