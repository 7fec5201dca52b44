package groupserver

import (
	"context"
	"time"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/bootclock"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

const (
	// callerRetention is how long after its last call a VM counts as active.
	callerRetention = 3 * time.Second
	// maxVerifyWait is the longest time that an order waits for the ownership to be
	// verified after a pause of the process.
	maxVerifyWait = time.Second
	// verifyPollInterval is the time between two checks during this wait.
	verifyPollInterval = 10 * time.Millisecond
)

// Acquire queues a request at a group and waits for a target. If ctx ends first, the
// request is cancelled.
func (m *Manager) Acquire(ctx context.Context, request grouprpc.AcquireRequest) grouprpc.AcquireReply {
	g := m.lookup(request.Group)
	if g == nil {
		return notOwner()
	}
	if request.Request.QuotaCost > 0 && m.opt.Quota != nil {
		return g.acquireCounted(ctx, request)
	}
	return g.acquire(ctx, request)
}

// acquire is Acquire for a request that no quota concerns, or that its quota has admitted.
func (g *group) acquire(ctx context.Context, request grouprpc.AcquireRequest) grouprpc.AcquireReply {
	reply := make(chan grouprpc.AcquireReply, 1)
	if !g.enqueue(request, reply) {
		return notOwner()
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		g.applyEvent(grouprpc.Event{ID: request.Request.ID, Kind: grouprpc.EventCancelled})
		return grouprpc.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
	}
}

func notOwner() grouprpc.AcquireReply {
	return grouprpc.AcquireReply{Err: errs.NotRun(errs.NotOwner, "this VM does not own the group")}
}

func (g *group) enqueue(request grouprpc.AcquireRequest, reply chan grouprpc.AcquireReply) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil || g.fenced || request.Epoch > g.epoch {
		return false
	}
	id := request.Request.ID
	if g.cancelled.has(id) {
		reply <- grouprpc.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
		return true
	}
	g.recordCall(request.Request.Holder)
	g.waiters[id] = reply
	g.setRateLimits(request.RateLimits)
	g.setPauses(request.Request.Holder, request.Pauses)
	g.core.Enqueue(g.manager.now(), request.Request)
	g.tick()
	return true
}

// recordCall records a call from another VM. The caller holds the lock.
func (g *group) recordCall(vm string) {
	if vm == "" || vm == g.manager.opt.VM {
		return
	}
	now := g.manager.now()
	g.lastCalls[vm] = now
	if !g.formerGone {
		record, _ := g.tenure.Record()
		g.formerGone = len(record.Past) == 0 || record.Past[0] == vm
	}
	g.tenure.PeerCalled(now)
}

// Events applies events of requests to a group.
func (m *Manager) Events(request grouprpc.EventsRequest) grouprpc.EventsReply {
	g := m.lookup(request.Group)
	if g == nil || !g.hasCore() {
		return grouprpc.EventsReply{NotOwner: true}
	}
	for _, e := range request.Events {
		g.applyEvent(e)
	}
	return grouprpc.EventsReply{}
}

func (g *group) hasCore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core != nil
}

func (g *group) applyEvent(e grouprpc.Event) {
	var charged *placer.Request
	defer func() { g.settleCharge(charged, e.Kind == grouprpc.EventCancelled) }() // without the lock, also after a panic
	g.mu.Lock()
	defer g.mu.Unlock()
	charged = g.takeCharge(e.ID)
	if g.core == nil {
		return
	}
	now := g.manager.now()
	switch e.Kind {
	case grouprpc.EventStarted:
		g.core.HandleFirstEvent(now, e.ID, e.Slowness)
		g.core.SetRateLimitOfRun(now, e.ID, e.RateLimit, e.Age)
	case grouprpc.EventLimited:
		g.core.SetRateLimitOfRun(now, e.ID, e.RateLimit, e.Age)
	case grouprpc.EventReleased:
		g.core.Release(now, e.ID, e.Outcome)
	case grouprpc.EventCancelled:
		if waiter := g.waiters[e.ID]; waiter != nil { // so that its charge is returned now
			waiter <- grouprpc.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
		}
		delete(g.waiters, e.ID)
		g.cancelled.add(now, e.ID)
		g.core.Cancel(now, e.ID)
		g.core.Release(now, e.ID, placer.Cancelled)
	}
	if g.core.HasQueue() {
		g.tick()
	}
}

// Sync returns the changes of a group since the version that the caller knows.
func (m *Manager) Sync(request grouprpc.SyncRequest) grouprpc.SyncReply {
	g := m.lookup(request.Group)
	if g == nil {
		return grouprpc.SyncReply{NotOwner: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil || g.halted || request.Epoch > g.epoch {
		record, _ := g.tenure.Record()
		return grouprpc.SyncReply{NotOwner: true, Stopping: g.core != nil && g.halted, Record: record, At: g.version}
	}
	g.recordCall(request.VM)
	now, stamp := g.manager.now(), bootclock.Now()
	if request.Epoch != g.epoch {
		request.Promise = tenure.Promise{} // made to another owner
	}
	switch {
	case m.opt.TargetsCheckFences:
	case request.Leaving:
		g.orders.permission.HandleLeave(request.VM, request.Incarnation)
	default:
		g.orders.permission.HandleCall(stamp, request.VM, request.Incarnation, request.Promise)
	}
	for _, h := range request.Held {
		g.core.AdoptRun(now, h.Request, h.Target, h.Started)
	}
	g.setRateLimits(request.RateLimits)
	reply := grouprpc.SyncReply{
		Epoch: g.epoch, Blind: m.opt.StoreLost() || g.confirmationOverdue(stamp), VMs: g.countVMs(now), Rank: g.rank(request.VM), Backlog: g.core.Backlog(now),
	}
	if g.view.dueForUpdate(now) {
		g.view.update(g.core.ResidentAdapters(now))
	}
	g.view.fillReply(request.Since, &reply)
	reply.Asks, reply.Stamp = g.orders.permission.NeedsPromises(stamp), stamp
	if request.Epoch < g.epoch {
		reply.Record, _ = g.tenure.Record()
		reply.At = g.version
	}
	return reply
}

// countVMs returns the number of VMs that called recently, including this one.
func (g *group) countVMs(now time.Duration) int {
	count := 1
	for vm, at := range g.lastCalls {
		if now-at > callerRetention {
			delete(g.lastCalls, vm)
			continue
		}
		count++
	}
	return count
}

// setRateLimits takes over the limits that targets have named to another VM. The caller holds
// the lock.
func (g *group) setRateLimits(limits map[string]float64) {
	for target, perSecond := range limits {
		g.core.SetRateLimit(g.manager.now(), target, perSecond, 0)
	}
}

// setPauses takes over which targets want no requests from a VM. The caller holds the lock.
func (g *group) setPauses(vm string, pauses []advisory.Pause) {
	for _, p := range pauses {
		g.core.SetPause(g.manager.now(), vm, p.Target, p.Born, p.Left)
	}
}

// holdOrders reports whether a target wants nothing from this VM now. The core's orders and
// reports of the target then wait.
func (g *group) holdOrders(core *placer.Core, target string) bool {
	if g.manager.opt.PausedFor == nil {
		return false
	}
	left := g.manager.opt.PausedFor(target)
	if left <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == core {
		core.HoldOrders(g.manager.now(), target, left)
	}
	return true
}

// rank returns the position of a VM, by name, among this VM and those that called recently.
// The caller holds the lock.
func (g *group) rank(vm string) int {
	rank := 0
	if g.manager.opt.VM < vm {
		rank++
	}
	for other := range g.lastCalls {
		if other < vm {
			rank++
		}
	}
	return rank
}

func (g *group) isDeputy(vm string) bool {
	if g.manager.groupCount() >= deputyGroupLimit {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.manager.now()
	before := 0
	for other, at := range g.lastCalls {
		if other < vm && now-at <= callerRetention {
			before++
		}
	}
	return before < maxDeputies
}

const (
	// maxDeputies is the number of VMs that watch the store in addition to an owner,
	// because the store may refuse calls of some VMs and serve others.
	maxDeputies = 2
	// deputyGroupLimit is the number of groups from which on no deputies are needed,
	// because the owners exchange the changes that they read from the store.
	deputyGroupLimit = 3
)

func (g *group) timerFired() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != nil {
		g.tick()
	}
}

// tick runs the core, executes its commands and sets the timer for its next run. The
// caller holds the lock.
func (g *group) tick() {
	defer g.containCore()
	now := g.manager.now()
	allowed, expectedWait := g.ordersAllowed()
	g.core.SetOrdersAllowed(now, allowed, expectedWait)
	for _, command := range g.core.Tick(now) {
		g.execute(command)
	}
	g.timer.Reset(max(time.Millisecond, g.core.NextTick()-now))
}

func (g *group) execute(command placer.Command) {
	switch c := command.(type) {
	case placer.GrantRequest:
		g.manager.opt.Observer.Granted(g.name, g.epoch, c)
		g.sendReply(c.Grant.Request, grouprpc.AcquireReply{Grant: c.Grant, Estimate: c.Estimate, Hold: c.Hold, Pause: c.Pause})
	case placer.RefuseRequest:
		g.manager.opt.Observer.Refused(g.name, g.epoch, c)
		g.sendReply(c.ID, grouprpc.AcquireReply{Err: c.Err})
	case placer.SendOrder:
		go g.sendOrder(g.core, g.epoch, c.Order)
	case placer.FetchReport:
		go g.fetchReport(g.core, c)
	case placer.RelinquishOwnership:
		g.halted, g.fenced = true, true
		go func() {
			defer g.manager.contain("record")
			g.readRecord()
		}()
	}
}

// sendReply replies to a waiting call. If the call was cancelled in the meantime, its
// target is released.
func (g *group) sendReply(id string, reply grouprpc.AcquireReply) {
	waiter := g.waiters[id]
	if waiter == nil {
		if reply.Err == nil {
			g.core.Release(g.manager.now(), id, placer.Cancelled)
		}
		return
	}
	delete(g.waiters, id)
	waiter <- reply
}

// sendOrder sends one order. After a pause of the process it first waits, for at most
// maxVerifyWait, until the ownership of the group is verified.
func (g *group) sendOrder(core *placer.Core, epoch int64, order placer.Order) {
	for waited := time.Duration(0); !g.manager.ownershipVerified.Load() && waited < maxVerifyWait; waited += verifyPollInterval {
		time.Sleep(verifyPollInterval)
	}
	result, number := g.attemptOrder(core, epoch, order)
	g.mu.Lock()
	defer g.mu.Unlock()
	if result != placer.Unanswered {
		g.orders.answered(number)
	}
	if g.core == core {
		g.update(func() { core.HandleOrderResult(g.manager.now(), order, result) })
	}
}

func (g *group) fetchReport(core *placer.Core, c placer.FetchReport) {
	defer g.manager.contain("report")
	// A pause of the owner's VM binds no other, but none is granted a target of unknown state.
	mayRead := c.StateUnknown && g.manager.opt.TakeCall != nil && g.manager.opt.TakeCall(c.Target)
	if !mayRead && g.holdOrders(core, c.Target) {
		return
	}
	askedAt := g.manager.now()
	report, err := g.manager.callReport(c)
	g.manager.opt.Observer.Reported(g.name, c.Target, err)
	if err == nil {
		for _, part := range report.Ignored {
			g.manager.opt.Observer.ReportPartIgnored(c.Target, part)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == core {
		g.update(func() { core.HandleReport(g.manager.now(), askedAt, c.Target, report) })
	}
}
