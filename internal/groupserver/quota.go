package groupserver

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/bootclock"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/quota"
	"cicadaslip/internal/tenure"
)

// Quota keeps the usage of organisations within their limits. Each admitted request is followed by
// either Begin or Refund, once.
type Quota interface {
	// Admit waits for credit, and counts the request or refuses it.
	Admit(ctx context.Context, request *placer.Request) *errs.Error
	// Begin reports that an admitted request has got a target, and that this can't be undone.
	Begin(request *placer.Request)
	// Refund reports that an admitted request has not been sent to a target, and returns its cost.
	Refund(request *placer.Request)
}

// acquireCounted counts a request against its organisation's quota and then acquires a target.
func (g *group) acquireCounted(ctx context.Context, request grouprpc.AcquireRequest) grouprpc.AcquireReply {
	r := &request.Request
	counted := *r
	began := time.Now()
	if failure := g.manager.opt.Quota.Admit(ctx, &counted); failure != nil {
		return grouprpc.AcquireReply{Err: failure}
	}
	waited := time.Since(began)
	r.Objective, r.Deadline = r.Objective-waited, r.Deadline-waited
	if r.Abandon != 0 {
		r.Abandon -= waited
	}
	granted := false
	defer func() { // also after a panic, or the request would count as queued for ever
		if !granted || !g.holdCharge(&counted) {
			g.manager.opt.Quota.Refund(&counted)
		}
	}()
	reply := g.acquire(ctx, request)
	granted = reply.Err == nil
	return reply
}

// unconfirmedTime is how long after its grant a request counts as queued unless its VM is heard of. If the
// reply was lost, the VM cancels the request meanwhile: it has no grant, so nothing was sent. A
// later refund would bring the tokens back in a later window than that in which they were taken.
const unconfirmedTime = 500 * time.Millisecond

// heldCharge is the charge of a granted request of which the owner has not heard again.
type heldCharge struct {
	request *placer.Request
	timer   *time.Timer // ends the wait
}

// holdCharge holds the charge of a granted request until an event of the request comes, for
// unconfirmedTime at most. It reports false if the request was cancelled before.
func (g *group) holdCharge(r *placer.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancelled.has(r.ID) {
		return false
	}
	g.charges[r.ID] = heldCharge{request: r, timer: time.AfterFunc(unconfirmedTime, func() {
		g.mu.Lock()
		held := g.takeCharge(r.ID)
		g.mu.Unlock()
		g.settleCharge(held, false)
	})}
	return true
}

// takeCharge ends the hold of a charge and returns its request, nil if none is held. The caller holds
// the lock.
func (g *group) takeCharge(id string) *placer.Request {
	held, found := g.charges[id]
	if !found {
		return nil
	}
	held.timer.Stop()
	delete(g.charges, id)
	return held.request
}

// settleCharge reports what has become of a charge that was held. Nil is ignored. The caller doesn't hold
// the lock, which Quota may take.
func (g *group) settleCharge(r *placer.Request, cancelled bool) {
	switch {
	case r == nil:
	case cancelled:
		g.manager.opt.Quota.Refund(r)
	default:
		g.manager.opt.Quota.Begin(r)
	}
}

// coordinators holds the token buckets of the organisations whose coordinator this VM is.
type coordinators struct {
	mu      sync.Mutex
	limits  map[string]quota.Limit
	byGroup map[string]*coordinator
}

type coordinator struct {
	epoch   int64
	buckets *quota.Coordinator
}

// firstBurstTime is how long after the first takeover of a group its owner may begin with full
// buckets.
const firstBurstTime = 10 * time.Second

// SetQuotas sets the limits of organisations.
func (m *Manager) SetQuotas(limits map[string]quota.Limit) {
	c := &m.coordinators
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	for _, each := range c.byGroup {
		each.buckets.SetLimits(bootclock.Now(), limits)
	}
}

// Quota answers a call to this VM as the coordinator of organisations.
func (m *Manager) Quota(request grouprpc.QuotaRequest) grouprpc.QuotaReply {
	g := m.lookup(request.Group)
	if g == nil {
		return grouprpc.QuotaReply{NotOwner: true}
	}
	epoch := g.ownedEpoch()
	c := &m.coordinators
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch == 0 || epoch != request.Epoch { // the caller's may be an old one, which ends nothing
		return grouprpc.QuotaReply{NotOwner: true}
	}
	each := c.byGroup[request.Group]
	if each == nil || each.epoch != epoch {
		each = &coordinator{epoch: epoch, buckets: quota.NewCoordinator(m.opt.QuotaBounds, g.takeBurst(epoch))}
		each.buckets.SetLimits(bootclock.Now(), c.limits)
		if c.byGroup == nil {
			c.byGroup = map[string]*coordinator{}
		}
		c.byGroup[request.Group] = each
	}
	return grouprpc.QuotaReply{Reply: each.buckets.Handle(bootclock.Now(), m.quotaGroups(), request.Call)}
}

// QuotaStates returns the states of the limits whose coordinator this VM is, by organisation. It forgets
// those of groups that are gone, that have no targets or that this VM does not own any more: another
// VM may have granted their tokens since.
func (m *Manager) QuotaStates() map[string]quota.State {
	groups := m.quotaGroups()
	c := &m.coordinators
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]quota.State{}
	for name, each := range c.byGroup {
		if g := m.lookup(name); g == nil || g.ownedEpoch() != each.epoch || !g.status().HasTargets {
			delete(c.byGroup, name)
			continue
		}
		for organisation, state := range each.buckets.States(bootclock.Now(), groups) {
			all[organisation] = state
		}
	}
	return all
}

// quotaGroups returns the number of groups whose owners take part in the quotas.
func (m *Manager) quotaGroups() int {
	count := 0
	for _, g := range m.allGroups() {
		if s := g.status(); s.Exists && s.HasTargets {
			count++
		}
	}
	return count
}

// ownedEpoch returns the epoch in which this VM owns the group, 0 if it does not.
func (g *group) ownedEpoch() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil || g.halted {
		return 0
	}
	return g.epoch
}

// takeBurst reports whether the coordinator of an epoch begins with full buckets: that of the group's
// first owner, once and soon after the takeover. After a restore of the store an earlier owner may be
// unrecorded.
func (g *group) takeBurst(epoch int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.burstTaken || !tenure.IsFirst(epoch) || g.tenure.MayBeRestored() || g.manager.now()-g.ownedSince >= firstBurstTime {
		return false
	}
	g.burstTaken = true
	return true
}

func (g *group) setFormerGone(gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.formerGone = gone
}

// formerOwnerAtWork reports whether the former owner may not know that this VM owns the group. The
// caller holds the lock.
func (g *group) formerOwnerAtWork(record tenure.Record) bool {
	return !g.formerGone && len(record.Past) > 0 && record.Past[0] != g.manager.opt.VM && g.manager.now()-g.ownedSince < quota.TakeoverRetention
}
