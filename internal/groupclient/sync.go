package groupclient

import (
	"context"
	"time"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/ratelimit"
)

// maxVMs is more VMs than any deployment has. Limits and budgets are divided by their number.
const maxVMs = 1 << 16

// updateOwners updates the owners of the groups from the group manager.
func (c *Client) updateOwners() {
	status := c.opt.Groups.Status()
	heard, withTargets := 0, 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range status {
		o := c.groups[s.Name]
		if o == nil {
			o = &ownerState{name: s.Name, resident: map[placer.Adapter][]placer.ResidentAdapter{}}
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
		o.local = s.Owned
		if o.local {
			o.report = ownerReport{receivedAt: c.now(), vms: s.VMs, rank: s.Rank}
		}
		if s.HasTargets {
			withTargets++
			if o.local || o.owner != "" && o.responded && !o.silent {
				heard++
			}
		}
	}
	c.estimateVMs(c.now())
	c.hearsAllOwners = heard > 0 && heard == withTargets
}

// dueForSync returns the groups whose owners are due for a sync call, and marks these calls
// as started.
func (c *Client) dueForSync() []*ownerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var due []*ownerState
	for _, o := range c.groups {
		if o.owner == "" || o.local || o.syncing || now-o.lastSyncAt < c.syncIntervalFor(o) {
			continue
		}
		o.syncing, o.lastSyncAt = true, now
		due = append(due, o)
	}
	return due
}

// syncIntervalFor returns the time between sync calls to one owner. With many groups each
// owner is called less often, so that the number of calls grows more slowly than the
// number of groups. Less frequent calls suffice because every owner sends the changes
// of the deployment. The caller holds the lock.
func (c *Client) syncIntervalFor(o *ownerState) time.Duration {
	if o.silent {
		return syncInterval
	}
	return syncInterval * time.Duration(max(1, (len(c.groups)+1)/2))
}

// sync calls an owner for the changes of its group and of the deployment.
func (c *Client) sync(ctx context.Context, o *ownerState) {
	c.mu.Lock()
	request := grouprpc.SyncRequest{Group: o.name, Epoch: o.epoch, VM: c.opt.VM, Since: o.version, Seen: c.opt.SeenRevisions()}
	if !o.responded {
		for _, h := range c.running[o.name] {
			request.Held = append(request.Held, *h)
		}
		request.RateLimits = c.opt.RateLimits()
	}
	address, epoch, owner := o.address, o.epoch, o.owner
	wants, sent, seen := c.exchangesQuarantine(o), o.quarantineSent, o.quarantineSeen
	leavingSent, leavingSeen := o.leavingSent, o.leavingSeen
	c.mu.Unlock()
	request.LeavingTargets, request.LeavingSeen, request.WantsLeaving = c.leavingSince(leavingSent, wants), leavingSeen, wants
	if wants {
		request.WantsQuarantine, request.Quarantine, request.QuarantineSeen = true, c.quarantineSince(sent), seen
	}
	request.FetchesConfig = true
	request.Known, request.Push, request.Config = c.opt.KnownRevisions(), c.opt.UpdateFor(owner), c.opt.ConfigVersion()
	request.Promise, request.Incarnation, request.Leaving = c.opt.Groups.Promise(o.name, epoch), c.opt.Groups.Incarnation(), c.opt.Groups.Leaving()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply grouprpc.SyncReply
	err := c.opt.Peers.Call(ctx, address, grouprpc.SyncMethod, request, &reply)
	if err == nil {
		c.applyReply(request.Group, epoch, owner, address, &reply)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.syncing = false
	if o.epoch != epoch {
		return
	}
	if err != nil {
		c.ownerCallFailed(o)
		c.opt.Groups.OwnerCallFailed(o.name, epoch)
		return
	}
	if reply.NotOwner && !reply.Stopping {
		// A process that was started again owns nothing until it has read the store.
		c.opt.Groups.OwnerCallFailed(o.name, epoch)
	}
	if reply.NotOwner || reply.Epoch != epoch {
		return
	}
	if wants {
		o.quarantineSent, o.quarantineSeen = request.Quarantine.Version, reply.Quarantine.Version
	}
	o.leavingSent = request.LeavingTargets.Version
	if wants {
		o.leavingSeen = reply.LeavingTargets.Version
	}
	c.ownerResponded(o)
	now := c.now()
	o.report = ownerReport{receivedAt: now, vms: max(0, min(reply.VMs, maxVMs)), rank: max(0, min(reply.Rank, maxVMs)), backlog: max(0, min(reply.Backlog, fleet.MaxDuration))}
	o.applySync(reply)
	c.estimateVMs(now)
	c.opt.Groups.OwnerResponded(o.name, epoch, &reply)
	if reply.Asks && !request.Promise.Given {
		o.lastSyncAt = 0 // the owner waits for the promise
	}
}

// applyReply applies what a reply tells of the deployment. The owner has answered, whatever that
// is.
func (c *Client) applyReply(group string, epoch int64, owner, address string, reply *grouprpc.SyncReply) {
	if c.opt.Contain != nil {
		var failure error // Contain reports it
		defer c.opt.Contain("sync_reply", &failure)
	}
	c.opt.HandlePeerRevisions(reply.Seen)
	c.opt.Quarantine.Merge(reply.Quarantine)
	c.opt.MergeLeaving(reply.LeavingTargets)
	if reply.NotOwner || reply.Epoch > epoch {
		c.opt.Groups.SetRecord(group, reply.Record, reply.At)
	}
	if !reply.NotOwner {
		c.opt.HandleReply(owner, address, reply)
	}
}

// ownerCallFailed records a failed sync call. The waits at the owner are cancelled, so
// that their requests go to other owners or targets. The caller holds the lock.
func (c *Client) ownerCallFailed(o *ownerState) {
	if o.silent {
		return
	}
	o.silent = true
	c.opt.Observer.OwnerSilent(o.name, o.owner, o.epoch, c.now()-o.lastResponseAt)
	o.endWaits()
}

func (c *Client) ownerResponded(o *ownerState) {
	o.lastResponseAt = c.now()
	if o.silent {
		version := o.version
		o.reset()
		o.version = version
		c.opt.Observer.OwnerRecovered(o.name, o.owner, o.epoch)
	}
	o.responded = true
}

// estimateVMs estimates the number of VMs in the deployment. Each VM calls all owners,
// so the largest number that an owner reports is that of the deployment; a sum over
// owners would count VMs more than once. The caller holds the lock.
func (c *Client) estimateVMs(now time.Duration) {
	c.position = ratelimit.Position{VMs: 1}
	for _, o := range c.groups {
		report := o.report
		if now-report.receivedAt < maxReportAge && report.vms > c.position.VMs {
			c.position = ratelimit.Position{Rank: report.rank, VMs: report.vms}
		}
	}
	c.vms = c.position.VMs
}

// syncSoon makes the next sync call to an owner due at once, unless the owner responded
// within suspectAfter.
func (c *Client) syncSoon(o *ownerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now()-o.lastResponseAt >= suspectAfter {
		o.lastSyncAt = 0
	}
}
