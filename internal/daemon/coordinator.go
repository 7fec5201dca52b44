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

// maxLoadPermitWait is the longest time that one LoadPermit call waits. The
// client repeats the call after that, so that it notices when another VM has
// become the coordinator.
const maxLoadPermitWait = 5 * time.Second

// coordinatorDuty is the name of the duty to coordinate adapter loads.
const coordinatorDuty = "load-coordinator"

// loadBurst is the number of loads that may start at once after a period
// without loads.
const loadBurst = 2

// coordinator answers LoadPermit calls. Every VM has a coordinator, but clients
// call only that of the VM that holds the duty. While the duty moves, two
// coordinators can be active and together exceed the load rate for a moment,
// which slows loads down but has no other effect.
type coordinator struct {
	start time.Time

	mu        sync.Mutex
	scheduler *loadcoord.Coordinator
	waiters   map[loadcoord.Key]*loadWaiter
	timer     *time.Timer
}

// loadWaiter is shared by all calls that wait for a permit for the same load.
type loadWaiter struct {
	granted chan struct{} // closed when the load may start
	calls   int           // number of calls that wait
}

func newCoordinator() *coordinator {
	return &coordinator{
		start: time.Now(), waiters: map[loadcoord.Key]*loadWaiter{},
		scheduler: loadcoord.New(loadcoord.Params{LoadsPerSecond: 1, Burst: loadBurst}),
	}
}

// setRate sets the number of loads per second that may start.
func (c *coordinator) setRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.SetRate(time.Since(c.start), loadcoord.Params{LoadsPerSecond: perSecond, Burst: loadBurst})
}

// wait blocks until the load may start and then returns nil. It returns a
// Timeout error if ctx ends first.
func (c *coordinator) wait(ctx context.Context, request rpcapi.LoadPermitRequest) *errs.Error {
	key := loadcoord.Key{Group: request.Group, Adapter: request.Adapter}
	waiter := c.addWaiter(key, request)
	select {
	case <-waiter.granted:
		return nil
	case <-ctx.Done():
		c.removeWaiter(key, waiter)
		return errs.New(errs.Timeout, "load permit was not granted before the call ended")
	}
}

// addWaiter requests the load from the scheduler and adds a call to the load's
// waiter.
func (c *coordinator) addWaiter(key loadcoord.Key, request rpcapi.LoadPermitRequest) *loadWaiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.start)
	c.scheduler.Add(now, loadcoord.LoadRequest{Key: key, Worth: request.Worth, Due: now + request.Due})
	waiter := c.waiters[key]
	if waiter == nil {
		waiter = &loadWaiter{granted: make(chan struct{})}
		c.waiters[key] = waiter
	}
	waiter.calls++
	c.grantDue()
	return waiter
}

// removeWaiter removes a call from its waiter and withdraws the load if no
// other call waits for it.
func (c *coordinator) removeWaiter(key loadcoord.Key, waiter *loadWaiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiter.calls--
	if waiter.calls == 0 && c.waiters[key] == waiter {
		c.scheduler.Remove(key)
		delete(c.waiters, key)
	}
}

// grantDue grants the loads that may start now and sets the timer for the next
// one. The caller must hold c.mu.
func (c *coordinator) grantDue() {
	now := time.Since(c.start)
	for _, key := range c.scheduler.Tick(now) {
		if waiter := c.waiters[key]; waiter != nil {
			close(waiter.granted)
			delete(c.waiters, key)
		}
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	if next, ok := c.scheduler.NextTick(now); ok {
		c.timer = time.AfterFunc(next-now, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.grantDue()
		})
	}
}

// loadPermits requests load permits from the coordinator for the groups that
// this VM owns. It implements owner.LoadPermits.
type loadPermits struct {
	d *Daemon

	mu             sync.Mutex
	pending        map[loadcoord.Key]context.CancelFunc
	start          time.Time
	localScheduler *loadcoord.Coordinator // grants loads while no coordinator answers, at a fixed fraction of the load rate
}

// localRateFraction is the fraction of the load rate that all VMs together use
// while they reach no coordinator. Each VM uses an equal part of it. VMs that
// are cut off from each other count fewer VMs and take larger parts; the unused
// rest of the rate leaves room for that.
const localRateFraction = 0.5

func newLoadPermits(d *Daemon) *loadPermits {
	return &loadPermits{
		d: d, pending: map[loadcoord.Key]context.CancelFunc{}, start: time.Now(),
		localScheduler: loadcoord.New(loadcoord.Params{LoadsPerSecond: localRateFraction, Burst: 1}),
	}
}

// Request implements owner.LoadPermits. It requests the permit in the
// background until the permit is granted or the request is cancelled, and
// replaces an earlier request for the same load.
func (l *loadPermits) Request(group string, load core.RequestLoadPermit, due time.Duration, granted func(model.AdapterVersion)) {
	key := loadcoord.Key{Group: group, Adapter: load.Adapter}
	ctx, cancel := context.WithCancel(l.d.ctx)
	l.mu.Lock()
	if cancelPrevious := l.pending[key]; cancelPrevious != nil {
		cancelPrevious()
	}
	l.pending[key] = cancel
	l.mu.Unlock()
	request := rpcapi.LoadPermitRequest{Group: group, Adapter: load.Adapter, Worth: load.Worth, Due: due}
	go func() {
		defer cancel()
		if l.wait(ctx, key, request) {
			granted(load.Adapter)
		}
	}()
}

// Cancel implements owner.LoadPermits. It withdraws a Request.
func (l *loadPermits) Cancel(group string, adapter model.AdapterVersion) {
	key := loadcoord.Key{Group: group, Adapter: adapter}
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.pending[key]; cancel != nil {
		cancel()
		delete(l.pending, key)
	}
}

// wait calls the coordinator until it grants the permit, and reports whether
// the load may start. While no coordinator answers, it uses the local
// scheduler.
func (l *loadPermits) wait(ctx context.Context, key loadcoord.Key, request rpcapi.LoadPermitRequest) bool {
	for ctx.Err() == nil {
		err := l.d.requestLoadPermit(ctx, request)
		switch {
		case err == nil:
			return ctx.Err() == nil
		case errs.Is(err, errs.Timeout):
		case l.grantLocally(key, request):
			return ctx.Err() == nil
		default:
			pause.For(ctx, coordinatorRetryInterval)
		}
	}
	return false
}

// coordinatorRetryInterval is the pause before the next call when no
// coordinator answers and the local scheduler has not granted the load.
const coordinatorRetryInterval = 250 * time.Millisecond

// grantLocally reports whether the local scheduler lets the load start now.
func (l *loadPermits) grantLocally(key loadcoord.Key, request rpcapi.LoadPermitRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(l.start)
	rate := l.d.loadRate() * localRateFraction / float64(l.d.members.reachableCount())
	l.localScheduler.SetRate(now, loadcoord.Params{LoadsPerSecond: rate, Burst: 1})
	l.localScheduler.Add(now, loadcoord.LoadRequest{Key: key, Worth: request.Worth, Due: now + request.Due})
	for _, granted := range l.localScheduler.Tick(now) {
		if granted == key {
			return true
		}
	}
	l.localScheduler.Remove(key)
	return false
}
