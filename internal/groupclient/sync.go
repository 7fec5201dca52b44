package groupclient

import (
	"context"
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

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
		o.own = s.Owned
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
// Any owner tells the changes of the deployment.
func (c *Client) period(o *ownerState) time.Duration {
	if o.silent {
		return syncPeriod
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
	request.Known, request.Push, request.Config = c.opt.Known(), c.opt.Push(owner), c.opt.Config()
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	var reply grouprpc.SyncReply
	err := c.opt.Peers.Call(ctx, address, grouprpc.SyncMethod, request, &reply)
	if err == nil {
		c.opt.OthersSaw(reply.Seen)
		if reply.NotOwner {
			c.opt.Groups.SetRecord(request.Group, reply.Record, reply.At)
		} else {
			c.opt.Told(owner, &reply)
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
		c.opt.Groups.OwnerCallFailed(o.name, epoch)
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
	c.opt.Groups.OwnerResponded(o.name, epoch, reply.Blind)
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

// hurry makes the next question to an owner due now.
func (c *Client) hurry(o *ownerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now()-o.heardAt >= suspectWait {
		o.askedAt = 0
	}
}
