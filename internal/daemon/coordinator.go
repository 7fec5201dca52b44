package daemon

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/loadcoord"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/rpcapi"
)

// loadPermitWait is the longest time that one LoadPermit call waits. The asker
// repeats the call, so that it notices when the coordinator moves.
const loadPermitWait = 5 * time.Second

// coordinatorDuty is the duty of the load coordinator.
const coordinatorDuty = "load-coordinator"

// loadBurst is the number of loads that may start at once after a quiet time.
const loadBurst = 2

// coordinator answers load permit calls. Every VM has one; only the one that
// holds the duty is asked. Two coordinators during a change of the duty can
// exceed the rate for a moment, which slows loads but harms nothing else.
type coordinator struct {
	start time.Time

	mu      sync.Mutex
	table   *loadcoord.Coordinator
	waiters map[loadcoord.Key]*loadWaiter
	timer   *time.Timer
}

// loadWaiter is shared by all calls that wait for the same load.
type loadWaiter struct {
	granted chan struct{}
	calls   int
}

func newCoordinator() *coordinator {
	return &coordinator{
		start: time.Now(), waiters: map[loadcoord.Key]*loadWaiter{},
		table: loadcoord.New(loadcoord.Params{LoadsPerSecond: 1, Burst: loadBurst}),
	}
}

func (c *coordinator) setRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetRate(time.Since(c.start), loadcoord.Params{LoadsPerSecond: perSecond, Burst: loadBurst})
}

// wait returns when the load may start.
func (c *coordinator) wait(ctx context.Context, request rpcapi.LoadPermitRequest) *errs.Error {
	key := loadcoord.Key{Group: request.Group, Adapter: request.Adapter}
	waiter := c.add(key, request)
	select {
	case <-waiter.granted:
		return nil
	case <-ctx.Done():
		c.leave(key, waiter)
		return errs.New(errs.Timeout, "no load permit yet")
	}
}

func (c *coordinator) add(key loadcoord.Key, request rpcapi.LoadPermitRequest) *loadWaiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.start)
	c.table.Add(now, loadcoord.LoadRequest{Key: key, Worth: request.Worth, Due: now + request.Due})
	waiter := c.waiters[key]
	if waiter == nil {
		waiter = &loadWaiter{granted: make(chan struct{})}
		c.waiters[key] = waiter
	}
	waiter.calls++
	c.tick()
	return waiter
}

func (c *coordinator) leave(key loadcoord.Key, waiter *loadWaiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiter.calls--
	if waiter.calls == 0 && c.waiters[key] == waiter {
		c.table.Remove(key)
		delete(c.waiters, key)
	}
}

// tick starts what may start and arms the timer for the next load. The caller
// holds the lock.
func (c *coordinator) tick() {
	now := time.Since(c.start)
	for _, key := range c.table.Tick(now) {
		if waiter := c.waiters[key]; waiter != nil {
			close(waiter.granted)
			delete(c.waiters, key)
		}
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	if next, ok := c.table.NextTick(now); ok {
		c.timer = time.AfterFunc(next-now, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.tick()
		})
	}
}

// loads asks the coordinator for the groups that this VM owns. It implements
// owner.LoadPermits.
type loads struct {
	d *Daemon

	mu      sync.Mutex
	asking  map[loadcoord.Key]context.CancelFunc
	started time.Time
	local   *loadcoord.Coordinator // fixed fraction of the rate while no coordinator answers
}

// localPart is the part of the load rate that all VMs together use while they
// reach no coordinator; each takes an equal part of it. VMs that are cut off
// from each other count fewer VMs, which the rest of the rate allows for.
const localPart = 0.5

func newLoads(d *Daemon) *loads {
	return &loads{
		d: d, asking: map[loadcoord.Key]context.CancelFunc{}, started: time.Now(),
		local: loadcoord.New(loadcoord.Params{LoadsPerSecond: localPart, Burst: 1}),
	}
}

// Request asks in the background until the permit is granted or withdrawn.
func (l *loads) Request(group string, ask core.RequestLoadPermit, due time.Duration, granted func(model.AdapterVersion)) {
	key := loadcoord.Key{Group: group, Adapter: ask.Adapter}
	ctx, cancel := context.WithCancel(l.d.ctx)
	l.mu.Lock()
	if former := l.asking[key]; former != nil {
		former()
	}
	l.asking[key] = cancel
	l.mu.Unlock()
	request := rpcapi.LoadPermitRequest{Group: group, Adapter: ask.Adapter, Worth: ask.Worth, Due: due}
	go func() {
		defer cancel()
		if l.wait(ctx, key, request) {
			granted(ask.Adapter)
		}
	}()
}

// Cancel withdraws a Request.
func (l *loads) Cancel(group string, adapter model.AdapterVersion) {
	key := loadcoord.Key{Group: group, Adapter: adapter}
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.asking[key]; cancel != nil {
		cancel()
		delete(l.asking, key)
	}
}

func (l *loads) wait(ctx context.Context, key loadcoord.Key, request rpcapi.LoadPermitRequest) bool {
	for ctx.Err() == nil {
		err := l.d.askCoordinator(ctx, request)
		switch {
		case err == nil:
			return ctx.Err() == nil
		case errs.Is(err, errs.Timeout):
		case l.startLocally(key, request):
			return ctx.Err() == nil
		default:
			pause.For(ctx, coordinatorPause)
		}
	}
	return false
}

// coordinatorPause is the pause before asking again when no coordinator answers.
const coordinatorPause = 250 * time.Millisecond

func (l *loads) startLocally(key loadcoord.Key, request rpcapi.LoadPermitRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(l.started)
	rate := l.d.loadRate() * localPart / float64(l.d.members.alive())
	l.local.SetRate(now, loadcoord.Params{LoadsPerSecond: rate, Burst: 1})
	l.local.Add(now, loadcoord.LoadRequest{Key: key, Worth: request.Worth, Due: now + request.Due})
	for _, started := range l.local.Tick(now) {
		if started == key {
			return true
		}
	}
	l.local.Remove(key)
	return false
}
