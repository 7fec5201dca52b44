package groupclient

import "cicadaslip/internal/advisory"

// leavingSince returns the leaving targets to send to an owner that has received a version of
// this VM's table. All owners get what this VM has heard from targets itself. What it has
// heard from others it tells, if it is an owner, to those with which it exchanges.
func (c *Client) leavingSince(version uint64, exchanges bool) advisory.Delta {
	return c.opt.LeavingSince(version, !exchanges || !c.opt.Groups.OwnsAny())
}

// TellLeaving makes the next sync calls due at once to the owners that pass on to all VMs
// which targets leave.
func (c *Client) TellLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.groups {
		if c.exchangesQuarantine(o) {
			o.lastSyncAt = 0
		}
	}
}

// tellOwner makes the next sync call to the owner of a group due at once, unless it knows
// which targets have told this VM that they leave.
func (c *Client) tellOwner(group string) {
	c.mu.Lock()
	o := c.groups[group]
	if o == nil || o.local {
		c.mu.Unlock()
		return
	}
	sent := o.leavingSent
	c.mu.Unlock()
	if len(c.opt.LeavingSince(sent, true).Leaving) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.lastSyncAt = 0
}
