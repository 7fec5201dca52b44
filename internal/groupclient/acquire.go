package groupclient

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/placer"
)

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
		names := c.opt.Groups.RankedGroups(service, request.Adapter.Model+"/"+request.Adapter.Name)
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
		pause.For(ctx, ownerPoll)
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
