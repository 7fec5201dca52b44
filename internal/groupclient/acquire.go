package groupclient

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/placer"
)

// candidate is the owner of a group that may be asked to grant a target.
type candidate struct {
	state      *ownerState
	name       string
	owner      string
	address    string
	epoch      int64
	local      bool
	waitsEnded <-chan struct{}
	cost       time.Duration
	rateLimits map[string]float64 // for an owner that may not know the limits that targets have named
}

// candidates returns the owners that respond, in the order in which they are asked. The
// order is that of the groups' ranks for the adapter, unless a group's backlog exceeds
// that of a lower-ranked one by more than otherGroupPenalty for each rank.
func (c *Client) candidates(names []string) []candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var all []candidate
	for rank, name := range names {
		o := c.groups[name]
		if o == nil || o.owner == "" || o.silent && !o.local {
			continue
		}
		cost := time.Duration(min(rank, 2)) * otherGroupPenalty
		if now-o.report.receivedAt < maxReportAge {
			cost += o.report.backlog
		}
		var rateLimits map[string]float64
		if !o.responded {
			rateLimits = c.opt.RateLimits()
		}
		all = append(all, candidate{
			rateLimits: rateLimits,
			state:      o, name: o.name, owner: o.owner, address: o.address, epoch: o.epoch, local: o.local, waitsEnded: o.waitsEnded, cost: cost,
		})
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// Acquire implements gateway.Placement. While no owner responds, it chooses a target
// from this VM's view of the groups. A request whose adapter is not resident waits
// for the next owner, for at most maxOwnerWait since the last one responded. A hedge waits for
// nothing.
func (c *Client) Acquire(ctx context.Context, service string, request placer.Request) (gateway.Lease, *errs.Error) {
	request.Holder, request.DataCentre = c.opt.VM, c.opt.DataCentre
	if request.Hedge {
		return c.acquireHedge(ctx, service, request)
	}
	began, id := time.Now(), request.ID
	ownerHeardAt := began
	for repetition := 1; ; repetition++ {
		names := c.opt.Groups.RankedGroups(service, request.Adapter.Model+"/"+request.Adapter.Name)
		askedAt := time.Now()
		lease, failure := c.askOwners(ctx, c.candidates(names), request, began)
		if failure == nil {
			return lease, nil
		}
		if !isOwnerUnavailable(failure) {
			return gateway.Lease{}, failure
		}
		lease, limited := c.chooseLocally(names, request)
		if lease.Grant.Target != "" {
			return lease, nil
		}
		if time.Since(askedAt) > suspectAfter {
			ownerHeardAt = time.Now() // the request has waited at an owner that responded
		}
		if time.Since(ownerHeardAt) > maxOwnerWait || ctx.Err() != nil {
			return gateway.Lease{}, noOwner(limited)
		}
		pause.For(ctx, ownerPollInterval)
		// An owner takes a request whose ID was cancelled for one that has ended.
		request.ID = id + "." + strconv.Itoa(repetition)
	}
}

// noOwner returns the error for requests of a service none of whose owners responds. limited
// tells that a target has the adapter, and that its rate limit left this VM no request.
func noOwner(limited bool) *errs.Error {
	message := "no owner of a target group of the service responds"
	if limited {
		message += ", and this VM has used up its share of the rate limit of the target that has the adapter"
	}
	return errs.NotRun(errs.NotOwner, message).WithRetry(noOwnerRetryAfter)
}

// maxOwners is the number of owners whose refusals for overload end a request.
const maxOwners = 2

// askOwners asks the owners in turn until one grants a target. It skips owners that
// cannot be reached, and stops after maxOwners refusals for overload.
func (c *Client) askOwners(ctx context.Context, candidates []candidate, request placer.Request, began time.Time) (gateway.Lease, *errs.Error) {
	failure := errs.NotRun(errs.NotOwner, "no target group of the service has an owner that responds")
	refused := 0
	for _, o := range candidates {
		r := request
		r.Objective -= time.Since(began)
		r.Deadline -= time.Since(began)
		if r.Abandon != 0 {
			r.Abandon -= time.Since(began)
		}
		reply := c.askOwner(ctx, o, r)
		if reply.Err == nil {
			c.trackRunning(o.name, r, reply.Grant)
			return gateway.Lease{Grant: reply.Grant, Estimate: reply.Estimate, Owner: o.owner, Group: o.name, Hold: reply.Hold, Pause: reply.Pause}, nil
		}
		if isOwnerUnavailable(reply.Err) && refused > 0 {
			continue
		}
		failure = reply.Err
		if ctx.Err() != nil || reply.Err.Code == errs.DeadlineUnreachable {
			return gateway.Lease{}, failure
		}
		if !isOwnerUnavailable(reply.Err) {
			if refused++; refused >= maxOwners {
				break
			}
		}
	}
	return gateway.Lease{}, failure
}

// isOwnerUnavailable reports whether an error says that the owner could not be asked, as
// opposed to a refusal by the owner.
func isOwnerUnavailable(e *errs.Error) bool {
	return e.Code == errs.NotOwner || e.Code == errs.PeerUnavailable || e.Code == errs.Timeout || e.Code == errs.Draining
}

// askOwner requests a target from an owner and waits for the grant. The wait ends early
// if the owner stops responding.
func (c *Client) askOwner(ctx context.Context, o candidate, request placer.Request) grouprpc.AcquireReply {
	args := grouprpc.AcquireRequest{Group: o.name, Epoch: o.epoch, Request: request, RateLimits: o.rateLimits}
	if c.opt.Pauses != nil {
		args.Pauses = c.opt.Pauses()
	}
	if o.local {
		return c.opt.Groups.Acquire(ctx, args)
	}
	waitCtx, cancel := context.WithTimeout(ctx, max(request.Deadline, time.Millisecond))
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go c.watchOwner(o, stop, cancel)
	var reply grouprpc.AcquireReply
	if err := c.opt.Peers.Call(waitCtx, o.address, grouprpc.AcquireMethod, args, &reply); err != nil {
		c.queueEvent(o.name, grouprpc.Event{ID: request.ID, Kind: grouprpc.EventCancelled})
		code := errs.As(err).Code
		if code == errs.Cancelled && ctx.Err() == nil {
			code = errs.PeerUnavailable // watchOwner has ended the wait
		}
		return grouprpc.AcquireReply{Err: errs.NotRun(code, "the owner of the target group did not answer")}
	}
	return reply
}

// watchOwner cancels a wait when its owner stops responding, and checks the owner by an
// early sync each time that the wait has lasted for another suspectAfter.
func (c *Client) watchOwner(o candidate, stop <-chan struct{}, cancel context.CancelFunc) {
	timer := time.NewTimer(suspectAfter)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-o.waitsEnded:
			cancel()
			return
		case <-timer.C:
			c.syncSoon(o.state)
			timer.Reset(suspectAfter)
		}
	}
}

// chooseLocally chooses a target from this VM's view of the groups, for use while no
// owner responds. The lease has no target if there is none; limited tells that this is for the
// rate limit of one.
func (c *Client) chooseLocally(names []string, request placer.Request) (lease gateway.Lease, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.localShares.observe(c.now(), request.Organisation)
	var best placer.ResidentAdapter
	var bestTarget fleet.Target
	found := false
	required := c.opt.RequiredVersion(request.Adapter)
	for _, name := range names {
		o := c.groups[name]
		if o == nil {
			continue
		}
		for _, r := range c.residents(o, request.Adapter) {
			t, usable := c.opt.Target(r.Target)
			if r.Version < required || !usable || slices.Contains(request.Exclude, r.Target) || c.localGrants[r.Target] >= maxLocalPerTarget || c.localShares.exceeds(c.now(), r.Target, request.Organisation) {
				continue
			}
			if !found || c.localGrants[r.Target] < c.localGrants[best.Target] {
				best, bestTarget, found = r, t, true
			}
		}
	}
	if !found {
		return gateway.Lease{}, false
	}
	if !c.opt.TakeFromLimit(best.Target, len(request.Exclude) > 0) {
		return gateway.Lease{}, true
	}
	c.localGrants[best.Target]++
	c.localShares.add(&request, best.Target)
	grant := placer.Grant{Request: request.ID, Target: best.Target, Address: bestTarget.Address, Version: best.Version, Priority: c.localShares.enginePriority(c.now(), &request), Born: bestTarget.Born}
	return gateway.Lease{Grant: grant, Estimate: max(minLocalEstimate, request.Objective/2)}, false
}

// residents returns where an adapter is resident according to this VM's view of a
// group, or nil if the view is too old. The caller holds the lock.
func (c *Client) residents(o *ownerState, a placer.Adapter) []placer.ResidentAdapter {
	if c.now()-o.lastResponseAt > maxViewAge || !o.responded && o.resident == nil {
		return nil
	}
	return o.resident[a]
}
