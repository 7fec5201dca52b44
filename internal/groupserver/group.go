package groupserver

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/bootclock"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

// group is this VM's state of one target group. It has a placement core while this
// VM owns the group.
type group struct {
	manager       *Manager
	name          string
	objectsRead   atomic.Bool
	actionRunning atomic.Bool

	mu         sync.Mutex
	tenure     *tenure.StateMachine
	orders     orderGate
	refusals   int                  // writes in succession that the store has refused
	actionFrom time.Duration        // no action is started before
	version    objectstore.Position // of the group's object in the current era, or of the last list without it
	params     placer.Params
	targets    []fleet.Target
	versions   map[placer.Adapter]*placer.VersionHistory

	core      *placer.Core // nil unless this VM owns the group, or has released it and no next owner is known
	epoch     int64
	fenced    bool // a target has received an order from a newer owner
	halted    bool // send no orders: this VM released or lost the group, and the next owner is not known yet
	waiters   map[string]chan grouprpc.AcquireReply
	timer     *time.Timer
	view      view
	lastCalls map[string]time.Duration // time of the last call by VM
	promise   tenure.Promise           // for the owner of promiseTo
	promiseTo int64                    // epoch of the owner that last replied
	closed    bool                     // when the core was last stopped, the orders of all earlier owners had arrived
	cancelled cancelledRequests        // for calls that arrive after the cancellation

	ownedSince time.Duration         // when the core was started
	formerGone bool                  // the former owner knows that it does not own the group
	charges    map[string]heldCharge // by request ID
	burstTaken bool                  // a coordinator of the group has begun with full buckets
}

func newGroup(manager *Manager, name string) *group {
	g := &group{
		manager: manager, name: name, versions: map[placer.Adapter]*placer.VersionHistory{},
		waiters: map[string]chan grouprpc.AcquireReply{}, lastCalls: map[string]time.Duration{}, charges: map[string]heldCharge{},
	}
	g.tenure = tenure.New(g.candidate())
	if manager.objectsRead.Load() {
		g.tenure.EnterEra(manager.listedEra())
		g.tenure.SetAbsent(manager.now(), objectstore.Position(manager.listedAt.Load()).Era())
		g.objectsRead.Store(true)
	}
	return g
}

func (g *group) candidate() tenure.Candidate {
	return tenure.Candidate{
		VM: g.manager.opt.VM, Incarnation: g.manager.opt.Incarnation, Jitter: g.manager.jitter(g.name, false), Lease: g.manager.opt.Lease,
		TargetsCheckFences: g.manager.opt.TargetsCheckFences, FirstStart: g.manager.opt.FirstStart,
	}
}

func (g *group) setFleet(params placer.Params, targets []fleet.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.params, g.targets = params, targets
	if g.core != nil {
		g.core.SetParams(params)
		g.core.SetTargets(g.manager.now(), targets)
		g.tick()
	}
}

func (g *group) parameters() placer.Params {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.params
}

func (g *group) setVersion(a placer.Adapter, announcement placer.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	history := g.versions[a]
	if history == nil {
		history = &placer.VersionHistory{}
		g.versions[a] = history
	}
	history.Add(announcement)
	if g.core != nil {
		g.core.SetAnnouncement(g.manager.now(), a, announcement)
		g.tick()
	}
}

func (g *group) owned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core != nil && !g.halted
}

func (g *group) status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, exists := g.tenure.Record()
	s := Status{Name: g.name, Record: record, Exists: exists, Owned: g.core != nil && !g.halted, HasTargets: len(g.targets) > 0}
	if s.Owned {
		s.FormerOwnerAtWork = g.formerOwnerAtWork(record)
		s.VMs, s.Rank = g.countVMs(g.manager.now()), g.rank(g.manager.opt.VM)
	}
	return s
}

// setAbsent records that the group had no object of the position's era in the store.
func (g *group) setAbsent(at objectstore.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at < g.version {
		return
	}
	g.version = at
	g.passConfirmation()
	g.tenure.SetAbsent(g.manager.now(), at.Era())
	g.updateCore()
}

func (g *group) setRecord(r tenure.Record, version objectstore.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The object of an earlier era tells who owned the group last, but no write replaces it.
	current := tenure.OfEra(r, version.Era())
	if current && version < g.version {
		return
	}
	before, _ := g.tenure.Record()
	if current {
		g.version = version
	}
	g.passConfirmation()
	g.tenure.SetRecord(g.manager.now(), r, version.Era())
	if after, _ := g.tenure.Record(); before.Epoch != after.Epoch || before.Released != after.Released {
		g.manager.opt.Observer.GroupChanged(g.name, after, tenure.NoAction, nil)
	}
	g.updateCore()
}

// updateCore starts or stops the core according to the newest record. The caller
// holds the lock.
func (g *group) updateCore() {
	record, _ := g.tenure.Record()
	switch {
	case g.tenure.Owns() && g.tenure.Confirmed() && g.core == nil:
		g.startCore(record)
	case g.tenure.Owns() && g.tenure.Confirmed() && record.Epoch != g.epoch:
		g.continueCore(record)
	case g.core == nil || g.tenure.Owns():
	case record.Epoch == g.epoch && record.Released:
		g.halted = true // requests for resident adapters are served until the next owner is known
	default:
		g.stopCore()
	}
}

func (g *group) startCore(record tenure.Record) {
	params := g.params
	params.FirstOwner = tenure.IsFirst(record.Epoch) && !g.tenure.MayBeRestored() && g.epoch != record.Epoch
	g.orders.permission = tenure.Permission{}
	g.core, g.epoch, g.halted, g.fenced = placer.New(params), record.Epoch, false, false
	now := g.manager.now()
	g.ownedSince = now
	for a, history := range g.versions {
		for _, announcement := range history.All() {
			g.core.SetAnnouncement(now, a, announcement)
		}
	}
	g.core.BeginOwnership(now)
	g.core.SetTargets(now, g.targets)
	if g.manager.opt.RateLimits != nil {
		g.setRateLimits(g.manager.opt.RateLimits())
	}
	g.view = newView()
	g.timer = time.AfterFunc(0, g.timerFired)
}

// continueCore goes on with the core under an epoch that replaces one of before the store was
// restored.
func (g *group) continueCore(record tenure.Record) {
	g.orders.permission = tenure.Permission{}
	g.epoch, g.halted, g.fenced = record.Epoch, false, false
}

// stopCore stops the core and refuses its waiting requests, so that the front ends ask
// the next owner.
func (g *group) stopCore() {
	g.core, g.closed = nil, g.manager.now() >= g.tenure.OrdersFrom()
	g.timer.Stop()
	for id, waiter := range g.waiters {
		waiter <- grouprpc.AcquireReply{Err: errs.NotRun(errs.NotOwner, "the group has a new owner")}
		delete(g.waiters, id)
	}
}

func (g *group) ownerResponded(epoch int64, reply *grouprpc.SyncReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if record, _ := g.tenure.Record(); record.Epoch != epoch {
		return
	}
	g.tenure.OwnerResponded(g.manager.now(), reply.Blind)
	g.promise, g.promiseTo = tenure.Promise{Given: reply.Asks, Stamp: reply.Stamp}, epoch
	if reply.Asks {
		g.tenure.Promise(g.manager.now())
	}
}

// promiseFor returns the promise to send to the owner of an epoch.
func (g *group) promiseFor(epoch int64) tenure.Promise {
	g.mu.Lock()
	defer g.mu.Unlock()
	if record, _ := g.tenure.Record(); record.Epoch != epoch || g.promiseTo != epoch {
		return tenure.Promise{}
	}
	return g.promise
}

func (g *group) ownerCallFailed(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if record, _ := g.tenure.Record(); record.Epoch == epoch {
		g.tenure.OwnerCallFailed(g.manager.now())
	}
}

// startAction starts the action that the tenure state machine asks for, unless an
// earlier one is still running. ownsGroup tells whether this VM owns a group.
func (g *group) startAction(ctx context.Context, ownsGroup bool) {
	g.mu.Lock()
	g.tenure.SetJitter(g.manager.jitter(g.name, ownsGroup))
	if len(g.targets) == 0 && g.core == nil {
		g.mu.Unlock()
		return
	}
	now := g.manager.now()
	action := g.tenure.NextAction(now, g.manager.opt.StoreReachable())
	postponed := now < g.actionFrom
	g.mu.Unlock()
	if action == tenure.NoAction || postponed || g.actionRunning.Swap(true) {
		return
	}
	if acquires := action == tenure.TakeOver || action == tenure.Challenge; acquires && g.manager.draining.Load() {
		g.actionRunning.Store(false)
		return
	}
	go func() {
		defer g.actionRunning.Store(false)
		defer g.manager.contain("action")
		g.runAction(ctx, action)
	}()
}

// storeTimeout bounds one read or write of a group's object.
const storeTimeout = 1500 * time.Millisecond

// runAction writes the record for an action, provided that the object has not changed
// in the store.
func (g *group) runAction(ctx context.Context, action tenure.Action) {
	if action == tenure.Release {
		g.halt(ctx)
	}
	g.mu.Lock()
	if action == tenure.Release && !g.tenure.Confirmed() {
		g.mu.Unlock()
		return // nobody owns the group in the current era of the store
	}
	previous, _ := g.tenure.Record()
	stored := g.tenure.Stored()
	record := g.tenure.RecordAfter(action, g.manager.opt.Address)
	version, key := g.version, objectKey(g.name, g.tenure.Era())
	g.mu.Unlock()
	sentAt := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(record)
	if err != nil {
		g.manager.opt.Observer.GroupChanged(g.name, record, action, errs.Wrap(err, errs.Internal, "encode the record of a group"))
		return
	}
	var object objectstore.Object
	if stored {
		object, err = g.manager.opt.Store.Update(ctx, key, value, int64(version))
	} else {
		object, err = g.manager.opt.Store.Create(ctx, key, value)
	}
	version = objectstore.Position(object.Version)
	g.manager.opt.Observer.GroupChanged(g.name, record, action, err)
	if refused := errs.Is(err, errs.StoreUnavailable); g.postponeAction(refused) {
		return // nothing has changed
	}
	if err != nil {
		g.readRecord()
		return
	}
	if action == tenure.TakeOver {
		g.setFormerGone(previous.Released)
	}
	g.setRecord(record, version)
	g.confirm(record, sentAt)
	if action == tenure.TakeOver && previous.Address != "" && previous.Address != g.manager.opt.Address {
		g.announce(previous, record, version)
	}
}

// Delays after refused writes of a group's object. Without them a store under load got a write and
// a read each 60 ms from each VM that wanted a group, 1,200 calls in half a second.
const (
	minActionDelay = 100 * time.Millisecond
	maxActionDelay = 400 * time.Millisecond
)

// postponeAction delays the next action after a write that the store has refused, and returns
// refused. The delay doubles with each refusal and is random, so that VMs do not call at once.
func (g *group) postponeAction(refused bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !refused {
		g.refusals = 0
		return false
	}
	longest := min(maxActionDelay, minActionDelay<<min(g.refusals, 10))
	g.refusals++
	g.actionFrom = g.manager.now() + longest/2 + rand.N(longest/2)
	return true
}

// announce informs the previous owner about the takeover. Its reply shortens the time for
// which this VM sends no orders.
func (g *group) announce(previous, record tenure.Record, version objectstore.Position) {
	reply, err := g.manager.opt.Announce(previous.Address, grouprpc.AnnounceRequest{Group: g.name, Record: record, Version: version})
	if err != nil || !reply.Stopped {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.formerGone = true
	g.tenure.PredecessorStopped(g.manager.now(), previous.Epoch, reply.OrdersArriveWithin)
	if g.core != nil {
		g.tick()
	}
}

// readRecord reads the group's object from the store, to learn the owner after a failed
// write, a pause of the process or a refused fencing token.
func (g *group) readRecord() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key, before := g.object()
	object, err := g.manager.opt.Store.Get(ctx, key, 0)
	switch {
	case errs.Is(err, errs.NotFound) && before.Era() < g.manager.era.Load():
		// The restored store lacks the object of the former era; the watch tells.
	case errs.Is(err, errs.NotFound):
		g.setAbsent(before)
	case err == nil:
		g.manager.setObject(object)
	}
	// Otherwise the watch delivers the object once the store is reachable again.
}

// object returns the key of the group's object and the newest version of it that is known.
func (g *group) object() (key string, version objectstore.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return objectKey(g.name, g.tenure.Era()), g.version
}

// kill stops the core without releasing the group, as if the process had died.
func (g *group) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.halted = true
	if g.core != nil {
		g.stopCore()
	}
}

func (g *group) limitedTargets() map[string]placer.LimitedTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil || g.halted {
		return nil
	}
	return g.core.RateLimits(g.manager.now())
}

func (g *group) queueStats() (int, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return 0, 0
	}
	return g.core.Queued(g.manager.now())
}

func (g *group) hasOwner() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, exists := g.tenure.Record()
	return exists && !record.Released
}
