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

// runtime drives the core of one owned group. The core is used only by the
// goroutine of loop; all other goroutines post events.
type runtime struct {
	ports  Ports
	group  string
	epoch  model.Epoch
	core   core.Decider
	start  time.Time
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	orders sync.WaitGroup
	writer *intentWriter
	onLost func()
	began  time.Time

	mu        sync.Mutex
	events    []core.Event
	wake      chan struct{}
	views     chan chan core.View
	stopped   bool
	waiters   map[model.RequestID]chan rpcapi.AcquireReply
	granted   map[model.RequestID]string // targets of permits that have not ended
	cancelled *recentIDs
	asking    map[model.Holder]bool // epoch confirmations in flight
	targets   map[string]model.Target
	resident  *residentSet
	grants    rateMeter
}

// Ports are the connections of a runtime to everything outside the core.
type Ports struct {
	Orders   Orders
	Peers    Peers
	Loads    Loads
	Accounts Accounts
	Liveness Liveness
	Events   timeline.Recorder
	Log      zerolog.Logger
}

// rememberedIDs bounds the memory of cancelled requests. An id needs to be
// remembered only while a delayed Acquire with it can arrive.
const rememberedIDs = 8192

func newRuntime(ports Ports, handle *group.Handle, decider core.Decider, start time.Time, onLost func()) *runtime {
	ctx, cancel := context.WithCancel(context.Background())
	record := handle.Record()
	r := &runtime{
		ports: ports, group: record.Group, epoch: record.Epoch, core: decider, start: start,
		log: ports.Log.With().Str("group", record.Group).Uint64("epoch", uint64(record.Epoch)).Logger(),
		ctx: ctx, cancel: cancel, done: make(chan struct{}), onLost: onLost, began: time.Now(),
		wake:    make(chan struct{}, 1),
		views:   make(chan chan core.View),
		waiters: map[model.RequestID]chan rpcapi.AcquireReply{}, targets: map[string]model.Target{},
		granted:   map[model.RequestID]string{},
		cancelled: newRecentIDs(rememberedIDs), asking: map[model.Holder]bool{},
		resident: newResidentSet(),
	}
	r.writer = newIntentWriter(handle, r)
	return r
}

func (r *runtime) run() {
	go r.writer.run(r.ctx)
	go r.pollTargets()
	r.loop()
}

func (r *runtime) now() core.Time { return time.Since(r.start) }

// post queues an event for the next tick.
func (r *runtime) post(event core.Event) {
	r.mu.Lock()
	r.events = append(r.events, event)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *runtime) takeEvents() []core.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := r.events
	r.events = nil
	return events
}

// minimumPause bounds the rate of ticks that no event has caused.
const minimumPause = time.Millisecond

func (r *runtime) loop() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case answer := <-r.views:
			r.showCore(answer)
			continue
		case <-r.wake:
		case <-timer.C:
		}
		now := r.now()
		for _, event := range r.takeEvents() {
			r.core.Apply(now, event)
		}
		for _, command := range r.core.Tick(now) {
			r.execute(command)
		}
		timer.Reset(max(r.core.NextTick(now)-r.now(), minimumPause))
	}
}

// stop ends the runtime: no grant, no order and no store write starts
// afterwards, and it returns when the last order has ended.
func (r *runtime) stop() {
	r.mu.Lock()
	first := !r.stopped
	r.stopped = true
	r.mu.Unlock()
	r.cancel()
	<-r.done
	if first {
		r.refuseAll()
	}
	r.orders.Wait()
}

func (r *runtime) refuseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal := errs.NotRun(errs.NotOwner, "group "+r.group+" has a new owner")
	for id, waiter := range r.waiters {
		waiter <- rpcapi.AcquireReply{Err: refusal}
		delete(r.waiters, id)
	}
}

// lost is called when a conditional write shows another owner.
func (r *runtime) lost() {
	r.log.Warn().Msg("group was taken over by another VM")
	r.ports.Events.Record(timeline.Event{Kind: timeline.GroupLost, Group: r.group, Epoch: r.epoch})
	go r.onLost()
}

// acquire waits until the core grants or refuses the request.
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

func (r *runtime) enqueue(request core.Request, waiter chan rpcapi.AcquireReply) *errs.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopped:
		return errs.NotRun(errs.NotOwner, "group "+r.group+" has a new owner")
	case r.cancelled.has(request.ID):
		return errs.NotRun(errs.Cancelled, "the caller stopped waiting")
	case r.waiters[request.ID] != nil:
		return errs.NotRun(errs.Conflict, "request id is in use")
	}
	r.waiters[request.ID] = waiter
	r.events = append(r.events, core.RequestQueued{Request: request})
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}

// cancelRequest ends a wait. If the permit was granted meanwhile it is
// released: the caller has given up and never uses it.
func (r *runtime) cancelRequest(id model.RequestID) {
	r.mu.Lock()
	r.cancelled.add(id)
	if waiter := r.waiters[id]; waiter != nil {
		waiter <- rpcapi.AcquireReply{Err: errs.NotRun(errs.Cancelled, "the caller stopped waiting")}
		delete(r.waiters, id)
	}
	target, granted := r.granted[id]
	r.mu.Unlock()
	r.post(core.RequestCancelled{ID: id})
	if granted {
		r.post(core.PermitReleased{ID: id, Target: target, Outcome: core.OutcomeNotSent})
	}
}

func (r *runtime) answer(id model.RequestID, reply rpcapi.AcquireReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiter := r.waiters[id]
	if waiter == nil || r.stopped {
		return false
	}
	delete(r.waiters, id)
	r.grants.add(r.now())
	if reply.Err == nil {
		r.granted[id] = reply.Permit.Target.Name
	}
	waiter <- reply
	return true
}

// ended forgets a permit that has ended.
func (r *runtime) ended(id model.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.granted, id)
}

// digest summarises the group for routing.
func (r *runtime) digest() rpcapi.GroupDigest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rpcapi.GroupDigest{
		Group: r.group, Epoch: r.epoch, ResidentVersion: r.resident.version,
		QueuedWork: r.grants.wait(r.now(), len(r.waiters)),
	}
}
