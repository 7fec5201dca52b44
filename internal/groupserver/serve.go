package groupserver

import (
	"context"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

const (
	// callerMemory is the time for which a VM counts after its last call.
	callerMemory = 3 * time.Second
	// retiredMemory is the time for which a cancelled request is remembered, in
	// case its own call arrives later.
	retiredMemory = 10 * time.Second
	// orderHold is the longest wait of an order for the check after a pause.
	orderHold = time.Second
	holdPoll  = 10 * time.Millisecond
)

// Acquire waits in a group's queue.
func (m *Manager) Acquire(ctx context.Context, request grouprpc.AcquireRequest) grouprpc.AcquireReply {
	g := m.find(request.Group)
	if g == nil {
		return notOwner()
	}
	reply := make(chan grouprpc.AcquireReply, 1)
	if !g.queue(request, reply) {
		return notOwner()
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		g.event(grouprpc.Event{ID: request.Request.ID, Kind: grouprpc.EventCancelled})
		return grouprpc.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
	}
}

func notOwner() grouprpc.AcquireReply {
	return grouprpc.AcquireReply{Err: errs.NotRun(errs.NotOwner, "this VM does not own the group")}
}

func (g *group) queue(request grouprpc.AcquireRequest, reply chan grouprpc.AcquireReply) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil || g.fenced || request.Epoch > g.epoch {
		return false
	}
	id := request.Request.ID
	if _, gone := g.retired[id]; gone {
		reply <- grouprpc.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
		return true
	}
	g.heard(request.Request.Holder)
	g.waiters[id] = reply
	g.core.Queue(g.m.now(), request.Request)
	g.tick()
	return true
}

// heard enters a call of another VM.
func (g *group) heard(vm string) {
	if vm == "" || vm == g.m.opt.VM {
		return
	}
	now := g.m.now()
	g.callers[vm] = now
	g.tenure.PeerCalled(now)
}

// Events enters what happened to requests.
func (m *Manager) Events(request grouprpc.EventsRequest) grouprpc.EventsReply {
	g := m.find(request.Group)
	if g == nil || !g.has() {
		return grouprpc.EventsReply{NotOwner: true}
	}
	for _, e := range request.Events {
		g.event(e)
	}
	return grouprpc.EventsReply{}
}

func (g *group) has() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core != nil
}

func (g *group) event(e grouprpc.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return
	}
	now := g.m.now()
	switch e.Kind {
	case grouprpc.EventStarted:
		g.core.Started(now, e.ID, e.Slowness)
	case grouprpc.EventReleased:
		g.core.Release(now, e.ID, e.Outcome)
	case grouprpc.EventCancelled:
		delete(g.waiters, e.ID)
		g.retire(now, e.ID)
		g.core.Cancel(now, e.ID)
		g.core.Release(now, e.ID, placer.Cancelled)
	}
	g.tick()
}

func (g *group) retire(now time.Duration, id string) {
	for known, at := range g.retired {
		if now-at > retiredMemory {
			delete(g.retired, known)
		}
	}
	g.retired[id] = now
}

// Sync tells news of a group.
func (m *Manager) Sync(request grouprpc.SyncRequest) grouprpc.SyncReply {
	g := m.find(request.Group)
	if g == nil {
		return grouprpc.SyncReply{NotOwner: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil || g.halted || request.Epoch > g.epoch {
		record, _ := g.tenure.Record()
		return grouprpc.SyncReply{NotOwner: true, Record: record, At: g.version}
	}
	g.heard(request.VM)
	now := g.m.now()
	for _, h := range request.Held {
		g.core.Adopt(now, h.Request, h.Target, h.Started)
	}
	reply := grouprpc.SyncReply{
		Epoch: g.epoch, Blind: m.opt.StoreBlind(), VMs: g.vms(now), Backlog: g.core.Backlog(now),
	}
	g.view.update(g.core.Resident(now))
	g.view.since(request.Since, &reply)
	return reply
}

// vms counts this VM and those that called lately.
func (g *group) vms(now time.Duration) int {
	count := 1
	for vm, at := range g.callers {
		if now-at > callerMemory {
			delete(g.callers, vm)
			continue
		}
		count++
	}
	return count
}

func (g *group) deputy(vm string) bool {
	if g.m.count() >= manyGroups {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.m.now()
	before := 0
	for other, at := range g.callers {
		if other < vm && now-at <= callerMemory {
			before++
		}
	}
	return before < deputies
}

const (
	// deputies is the number of VMs that follow the store besides an owner. The
	// store may turn some VMs away and serve others.
	deputies = 2
	// manyGroups is the number of groups from which their owners tell each other
	// what they read, so that no deputies are needed.
	manyGroups = 3
)

func (g *group) timed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != nil {
		g.tick()
	}
}

// tick runs the core and carries out its commands. The caller holds the lock.
func (g *group) tick() {
	now := g.m.now()
	for _, command := range g.core.Tick(now) {
		g.execute(command)
	}
	g.timer.Reset(max(time.Millisecond, g.core.Next()-now))
}

func (g *group) execute(command placer.Command) {
	switch c := command.(type) {
	case placer.GrantRequest:
		g.m.opt.Observer.Granted(g.name, g.epoch, c)
		g.answer(c.Grant.Request, grouprpc.AcquireReply{Grant: c.Grant, Estimate: c.Estimate})
	case placer.RefuseRequest:
		g.m.opt.Observer.Refused(g.name, g.epoch, c)
		g.answer(c.ID, grouprpc.AcquireReply{Err: c.Err})
	case placer.SendOrder:
		go g.send(g.core, g.epoch, c.Order)
	case placer.AskReport:
		go g.ask(g.core, c)
	case placer.LoseOwnership:
		g.halted, g.fenced = true, true
		go g.refresh()
	}
}

// answer replies to a waiting call. The target of a call that was given up
// meanwhile is free again.
func (g *group) answer(id string, reply grouprpc.AcquireReply) {
	waiter := g.waiters[id]
	if waiter == nil {
		if reply.Err == nil {
			g.core.Release(g.m.now(), id, placer.Cancelled)
		}
		return
	}
	delete(g.waiters, id)
	waiter <- reply
}

// send sends one order. After a pause of the process it waits until the group
// is known to be owned still.
func (g *group) send(core *placer.Core, epoch int64, order placer.Order) {
	for waited := time.Duration(0); !g.m.verified.Load() && waited < orderHold; waited += holdPoll {
		time.Sleep(holdPoll)
	}
	result := placer.NotSent
	began := time.Now()
	if g.mayOrder(core) {
		result = g.m.opt.Orders.Order(context.Background(), order, g.m.opt.VM, epoch)
	}
	g.m.opt.Observer.Ordered(g.name, epoch, order, result, time.Since(began))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != core {
		return
	}
	g.core.Ordered(g.m.now(), order, result)
	g.tick()
}

func (g *group) mayOrder(core *placer.Core) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core == core && !g.halted && !g.tenure.Isolated(g.m.now())
}

func (g *group) ask(core *placer.Core, c placer.AskReport) {
	asked := g.m.now()
	report, err := g.m.opt.Orders.Report(context.Background(), c.Target, c.Address)
	g.m.opt.Observer.Reported(g.name, c.Target, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != core {
		return
	}
	g.core.Reported(g.m.now(), asked, c.Target, report)
	g.tick()
}
