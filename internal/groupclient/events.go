package groupclient

import (
	"context"
	"time"

	"cicadaslip/internal/gateway"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// trackRunning remembers a request that runs under an owner's grant, to report it to the
// next owner.
func (c *Client) trackRunning(group string, request placer.Request, grant placer.Grant) {
	c.opt.CountAgainstLimit(grant.Target)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[group] == nil {
		c.running[group] = map[string]*grouprpc.RunningRequest{}
	}
	request.Parts, request.Exclude = nil, nil
	c.running[group][request.ID] = &grouprpc.RunningRequest{Request: request, Target: grant.Target}
}

// Started implements gateway.Placement.
func (c *Client) Started(lease gateway.Lease, head gateway.TargetStatement) {
	if lease.Owner == "" {
		return
	}
	c.mu.Lock()
	if h := c.running[lease.Group][lease.Grant.Request]; h != nil {
		h.Started = true
	}
	c.mu.Unlock()
	c.queueEvent(lease.Group, grouprpc.Event{ID: lease.Grant.Request, Kind: grouprpc.EventStarted, Slowness: head.Slowness, RateLimit: head.RateLimit, Age: head.Age()})
}

// Stated implements gateway.Placement.
func (c *Client) Stated(lease gateway.Lease, head gateway.TargetStatement) {
	if lease.Owner == "" {
		return
	}
	if head.Leaving {
		c.tellOwner(lease.Group)
	}
	if head.RateLimit > 0 {
		c.queueEvent(lease.Group, grouprpc.Event{ID: lease.Grant.Request, Kind: grouprpc.EventLimited, RateLimit: head.RateLimit, Age: head.Age()})
	}
}

// Release implements gateway.Placement.
func (c *Client) Release(lease gateway.Lease, outcome placer.Outcome) {
	if lease.Owner != "" {
		c.mu.Lock()
		delete(c.running[lease.Group], lease.Grant.Request)
		c.mu.Unlock()
		c.queueEvent(lease.Group, grouprpc.Event{ID: lease.Grant.Request, Kind: grouprpc.EventReleased, Outcome: outcome})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.localShares.remove(lease.Grant.Request)
	if c.localGrants[lease.Grant.Target]--; c.localGrants[lease.Grant.Target] <= 0 {
		delete(c.localGrants, lease.Grant.Target)
	}
}

// queueEvent queues an event for the owner of a group. Events beyond maxQueuedEvents are
// dropped.
func (c *Client) queueEvent(group string, e grouprpc.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.groups[group]
	if o == nil {
		return
	}
	if o.local {
		go c.opt.Groups.Events(grouprpc.EventsRequest{Group: group, VM: c.opt.VM, Events: []grouprpc.Event{e}})
		return
	}
	if len(c.events[group]) < maxQueuedEvents {
		c.events[group] = append(c.events[group], e)
	}
	if !c.flushScheduled[group] {
		c.flushScheduled[group] = true
		time.AfterFunc(eventBatchDelay, func() { c.sendEvents(group) })
	}
}

// sendEvents sends the queued events to the owner of a group. Events are lost if the call
// fails; if a release is lost, the owner ends the request at its deadline.
func (c *Client) sendEvents(group string) {
	c.mu.Lock()
	o := c.groups[group]
	events, address, local := c.events[group], o.address, o.local
	delete(c.events, group)
	c.flushScheduled[group] = false
	c.mu.Unlock()
	request := grouprpc.EventsRequest{Group: group, VM: c.opt.VM, Events: events}
	if local {
		c.opt.Groups.Events(request)
		return
	}
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply grouprpc.EventsReply
	if err := c.opt.Peers.Call(ctx, address, grouprpc.EventsMethod, request, &reply); err != nil {
		c.syncSoon(o)
	}
}
