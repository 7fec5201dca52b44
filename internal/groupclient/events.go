package groupclient

import (
	"context"
	"time"

	"cicadaslip/internal/gateway"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// hold remembers what runs under an owner's grant, for the next owner.
func (c *Client) hold(group string, request placer.Request, grant placer.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[group] == nil {
		c.held[group] = map[string]*grouprpc.RunningRequest{}
	}
	request.Parts, request.Exclude = nil, nil
	c.held[group][request.ID] = &grouprpc.RunningRequest{Request: request, Target: grant.Target}
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
