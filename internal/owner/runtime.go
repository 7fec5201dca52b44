package owner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// runtime drives the core of one owned group. Only the goroutine of loop uses
// the core; all other goroutines post events.
type runtime struct {
	ports      Ports
	group      string
	epoch      model.Epoch
	core       core.Decider
	clockStart time.Time // zero of the core's time
	log        zerolog.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}  // closed when loop has returned
	orders     sync.WaitGroup // orders in flight
	writer     *intentWriter
	onLost     func() // called when another VM owns the group
	startedAt  time.Time

	mu                sync.Mutex
	pending           []core.Event // events for the next tick
	wake              chan struct{}
	viewRequests      chan chan core.View // each is answered with one view
	stopped           bool
	waiters           map[model.RequestID]chan rpcapi.AcquireReply
	permitTargets     map[model.RequestID]string // target names by permit, until the permit has ended
	recentlyCancelled *recentIDs
	confirming        map[model.Holder]bool // holders with an epoch confirmation in flight
	targets           map[string]model.Target
	resident          *residentSet
	replyRate         rateMeter // grants and refusals
}

// Ports are the interfaces through which a runtime reaches its environment.
type Ports struct {
	Orders      Orders
	Peers       Peers
	LoadPermits LoadPermits
	Accounting  Accounting
	Liveness    Liveness
	Events      timeline.Recorder
	Log         zerolog.Logger
}

// cancelledIDCapacity is the number of cancelled request ids that a runtime
// remembers. An id is needed only as long as a delayed Acquire call with this id
// can arrive.
const cancelledIDCapacity = 8192

func newRuntime(ports Ports, handle *group.Handle, decider core.Decider, clockStart time.Time, onLost func()) *runtime {
	ctx, cancel := context.WithCancel(context.Background())
	record := handle.Record()
	r := &runtime{
		ports: ports, group: record.Group, epoch: record.Epoch, core: decider, clockStart: clockStart,
		log: ports.Log.With().Str("group", record.Group).Uint64("epoch", uint64(record.Epoch)).Logger(),
		ctx: ctx, cancel: cancel, done: make(chan struct{}), onLost: onLost, startedAt: time.Now(),
		wake:         make(chan struct{}, 1),
		viewRequests: make(chan chan core.View),
		waiters:      map[model.RequestID]chan rpcapi.AcquireReply{}, targets: map[string]model.Target{},
		permitTargets:     map[model.RequestID]string{},
		recentlyCancelled: newRecentIDs(cancelledIDCapacity), confirming: map[model.Holder]bool{},
		resident: newResidentSet(),
	}
	r.writer = newIntentWriter(handle, r)
	return r
}

// run serves the group until the runtime is stopped.
func (r *runtime) run() {
	go r.writer.run(r.ctx)
	go r.pollTargets()
	r.loop()
}

func (r *runtime) now() core.Time { return time.Since(r.clockStart) }

// post queues an event for the next tick.
func (r *runtime) post(event core.Event) {
	r.mu.Lock()
	r.pending = append(r.pending, event)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// takePending removes and returns the queued events.
func (r *runtime) takePending() []core.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := r.pending
	r.pending = nil
	return events
}

// minTickDelay bounds the rate of ticks that are caused by the timer.
const minTickDelay = time.Millisecond

// loop applies events to the core, ticks it and executes its commands until the
// runtime is stopped.
func (r *runtime) loop() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case result := <-r.viewRequests:
			r.sendView(result)
			continue
		case <-r.wake:
		case <-timer.C:
		}
		now := r.now()
		for _, event := range r.takePending() {
			r.core.Apply(now, event)
		}
		for _, command := range r.core.Tick(now) {
			r.execute(command)
		}
		timer.Reset(max(r.core.NextTick(now)-r.now(), minTickDelay))
	}
}

// stop ends the runtime and returns when its last order has ended. No new grant,
// order or store write starts after that.
func (r *runtime) stop() {
	r.mu.Lock()
	firstStop := !r.stopped
	r.stopped = true
	r.mu.Unlock()
	r.cancel()
	<-r.done
	if firstStop {
		r.refuseWaiters()
	}
	r.orders.Wait()
}

// refuseWaiters replies errs.NotOwner to all waiting callers.
func (r *runtime) refuseWaiters() {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal := errs.NotRun(errs.NotOwner, "group "+r.group+" is no longer owned by this VM")
	for id, waiter := range r.waiters {
		waiter <- rpcapi.AcquireReply{Err: refusal}
		delete(r.waiters, id)
	}
}

// handleLoss steps down after a conditional write has shown that another VM owns
// the group.
func (r *runtime) handleLoss() {
	r.log.Warn().Msg("group was taken over by another VM; stepping down")
	r.ports.Events.Record(timeline.Event{Kind: timeline.GroupLost, Group: r.group, Epoch: r.epoch})
	go r.onLost()
}

// acquire queues the request and waits until the core grants or refuses it, or
// until ctx ends.
func (r *runtime) acquire(ctx context.Context, request core.Request) rpcapi.AcquireReply {
	waiter := make(chan rpcapi.AcquireReply, 1)
	if refusal := r.enqueue(request, waiter); refusal != nil {
		return rpcapi.AcquireReply{Err: refusal}
	}
	select {
	case reply := <-waiter:
		return reply
	case <-ctx.Done():
		r.cancelRequest(request.ID)
		return rpcapi.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
	}
}

// enqueue passes the request to the core and registers the channel that receives
// its reply.
func (r *runtime) enqueue(request core.Request, waiter chan rpcapi.AcquireReply) *errs.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopped:
		return errs.NotRun(errs.NotOwner, "group "+r.group+" is no longer owned by this VM")
	case r.recentlyCancelled.contains(request.ID):
		return errs.NotRun(errs.Cancelled, "the caller stopped waiting")
	case r.waiters[request.ID] != nil:
		return errs.NotRun(errs.Conflict, "another request with this id is waiting")
	}
	r.waiters[request.ID] = waiter
	r.pending = append(r.pending, core.RequestQueued{Request: request})
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}

// cancelRequest cancels a waiting request. If its permit has been granted in the
// meantime, the permit is released, because the caller no longer waits and never
// uses it.
func (r *runtime) cancelRequest(id model.RequestID) {
	r.mu.Lock()
	r.recentlyCancelled.add(id)
	if waiter := r.waiters[id]; waiter != nil {
		waiter <- rpcapi.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
		delete(r.waiters, id)
	}
	target, granted := r.permitTargets[id]
	r.mu.Unlock()
	r.post(core.RequestCancelled{ID: id})
	if granted {
		r.post(core.PermitReleased{ID: id, Target: target, Outcome: core.OutcomeNotSent})
	}
}

// reply sends the reply to the waiting caller of a request. It returns false if
// no caller waits or the runtime is stopped.
func (r *runtime) reply(id model.RequestID, reply rpcapi.AcquireReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiter := r.waiters[id]
	if waiter == nil || r.stopped {
		return false
	}
	delete(r.waiters, id)
	r.replyRate.count(r.now())
	if reply.Err == nil {
		r.permitTargets[id] = reply.Permit.Target.Name
	}
	waiter <- reply
	return true
}

// forgetPermit removes the target of a permit that has ended.
func (r *runtime) forgetPermit(id model.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.permitTargets, id)
}

// digest returns a summary of the group for routing.
func (r *runtime) digest() rpcapi.GroupDigest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rpcapi.GroupDigest{
		Group: r.group, Epoch: r.epoch, ResidentVersion: r.resident.version,
		QueuedWork: r.replyRate.estimateWait(r.now(), len(r.waiters)),
	}
}
