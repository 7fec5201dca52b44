package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
)

// Core schedules the requests and adapters of one target group. It is not safe
// for concurrent use.
type Core struct {
	params    Params
	now       Time
	latencies latencyModel
	commands  []Command

	targets     []*targetState // sorted by ID
	targetsByID map[string]*targetState
	adapters    map[Adapter]*adapterState
	queuedByID  map[string]*queuedRequest
	queue       []*queuedRequest // in order of arrival
	runs        map[string]*activeRun
	lateLoads   map[string]*lateLoads // by target ID
	transit     transitLimit

	enginePriorities EnginePriorities
	shares           *shares // nil unless requests name organisations

	requestCount      uint64
	orderCount        uint64
	modelLoadCredit   float64 // number of base model loads from the weights store that are allowed now
	modelLoadCreditAt Time    // when modelLoadCredit was updated
	draining          bool
	ordersAllowed     bool
	ordersFrom        Time            // while orders are not allowed: when they are expected to be
	adoptUntil        Time            // no adapter is unloaded before
	dispatchPass      uint64          // number of the current pass over the queue
	lastFullPass      Time            // when the whole queue was last dispatched
	limitBoundPass    uint64          // pass over the queue in which the limited targets were marked that requests depend on
	allLimited        bool            // no target without a limit takes work, as of limitBoundPass
	hasNewRequest     bool            // a request arrived since the last pass
	coldLoads         int             // adapters being loaded from the weights store, as of coldLoadsPass
	coldLoadsPass     uint64          // pass over the queue in which coldLoads was counted
	busyAdapters      []*adapterState // that may need a further target
	anyStale          bool            // an adapter may be placed in an outdated version
	lastRunExpiry     Time            // when expired runs were last removed
	lastForgetting    Time            // when adapters were last forgotten
	newAdapters       int             // adapters whose states were created since
	lastSpareCheck    Time            // when spare slots were last freed
	lastPauseEnd      Time            // when no target pauses for any VM any more
}

// New returns a core without targets.
func New(params Params) *Core {
	return &Core{
		params: params, latencies: newLatencyModel(), targetsByID: map[string]*targetState{}, adapters: map[Adapter]*adapterState{},
		queuedByID: map[string]*queuedRequest{}, runs: map[string]*activeRun{}, lateLoads: map[string]*lateLoads{}, transit: newTransitLimit(params.MaxColdLoads), modelLoadCredit: 1, ordersAllowed: true,
	}
}

// SetParams replaces the settings, except for FirstOwner.
func (c *Core) SetParams(params Params) {
	params.FirstOwner = c.params.FirstOwner
	c.params = params
	for _, t := range c.targets {
		t.prefixes.limitTokens = params.Engine.CacheTokens
	}
}

// advance sets the current time, which never goes back.
func (c *Core) advance(now Time) {
	c.now = max(c.now, now)
}

// SetTargets replaces the group's targets.
func (c *Core) SetTargets(now Time, targets []fleet.Target) {
	c.advance(now)
	listed := map[string]bool{}
	for _, description := range targets {
		listed[description.ID] = true
		c.setTarget(description)
	}
	for _, t := range slices.Clone(c.targets) {
		if !listed[t.description.ID] {
			c.removeTarget(t)
		}
	}
	c.dropLateLoads()
}

func (c *Core) setTarget(description fleet.Target) {
	t := c.targetsByID[description.ID]
	if t == nil {
		t = &targetState{description: description}
		c.resetTarget(t)
		if c.params.FirstOwner {
			c.applyDescription(t)
		}
		c.targetsByID[description.ID] = t
		c.targets = append(c.targets, t)
		slices.SortFunc(c.targets, func(a, b *targetState) int { return strings.Compare(a.description.ID, b.description.ID) })
		return
	}
	restarted := t.description.Born != description.Born
	t.description = description
	if restarted {
		// A target counts accepted orders from 0 after a restart, so its description
		// is all that the core needs.
		c.resetTarget(t)
		c.applyDescription(t)
	}
}

// resetTarget removes all placements and runs of a target and clears its state after a
// restart. Loads without an answer stay recorded in lateLoads, including the one that
// is in flight.
func (c *Core) resetTarget(t *targetState) {
	for _, pl := range t.placements {
		c.removePlacement(pl)
	}
	for id, run := range t.runs {
		if c.runs[id] == run {
			delete(c.runs, id)
		}
	}
	late := c.lateLoadsOf(t.description.ID)
	if t.inFlight != nil && t.inFlight.Operation == Load {
		late.addUnanswered(t.inFlight.Precondition, t.inFlight.Adapter, c.now)
	}
	late.targetRestarted()
	t.placements, t.runs = map[Adapter]*placement{}, map[string]*activeRun{}
	t.acceptedOrders, t.stateKnown, t.plannedOrders, t.inFlight = 0, false, nil, nil
	t.needsReport, t.reportRequested, t.reportsValidFrom, t.noOrdersUntil = true, false, c.now, 0
	t.runTokens, t.prefillUntil, t.extraSlowness, t.prefillShare, t.consecutiveFailures, t.avoidUntil = 0, 0, 0, 0, 0, 0
	t.averageSlowness, t.heldUntil, t.prefillGranted, t.eventGap = 1, 0, 0, 0
	t.recentlyUnloaded, t.prefixes = &recentAdapters{}, newPrefixCache(c.params.Engine.CacheTokens)
}

// applyDescription initializes the state of a target from its own description, on
// the assumption that no owner has sent orders to it. If that is wrong, the target's
// first answer to an order shows it.
func (c *Core) applyDescription(t *targetState) {
	t.stateKnown, t.needsReport = true, false
	for _, m := range t.description.Models {
		c.addPlacement(t, Adapter{Model: m.Name}, placementReady, m.Version)
		for _, a := range m.Adapters {
			c.addPlacement(t, Adapter{Model: m.Name, Name: a.Name}, placementReady, a.Version)
		}
	}
}

func (c *Core) removeTarget(t *targetState) {
	c.resetTarget(t)
	delete(c.targetsByID, t.description.ID)
	c.targets = slices.DeleteFunc(c.targets, func(other *targetState) bool { return other == t })
}

// SetOrdersAllowed sets whether orders may be sent now, and if not, the expected time
// until they may.
func (c *Core) SetOrdersAllowed(now Time, allowed bool, expectedWait time.Duration) {
	c.advance(now)
	c.ordersAllowed, c.ordersFrom = allowed, c.now+expectedWait
}

// Drain refuses all queued and later requests.
func (c *Core) Drain() { c.draining = true }

// SetVersion records that a version of an adapter is announced now.
func (c *Core) SetVersion(now Time, a Adapter, version int64) {
	c.advance(now)
	c.SetAnnouncement(now, a, Announcement{Version: version, At: c.now})
}

// SetAnnouncement records that a version of an adapter was announced.
func (c *Core) SetAnnouncement(now Time, a Adapter, announcement Announcement) {
	c.advance(now)
	state := c.adapterState(a)
	if !state.announced.Add(announcement) {
		return
	}
	state.newestVersion = announcement.Version
	for _, pl := range state.placements {
		c.updateStale(pl)
	}
}

// updateStale sets since when a placement is outdated.
func (c *Core) updateStale(pl *placement) {
	pl.staleSince = 0
	if since, outdated := c.adapterState(pl.adapter).announced.OutdatedSince(pl.version); outdated {
		pl.staleSince, c.anyStale = cmp.Or(since, 1), true
	}
}

// adapterState returns the state of an adapter, which it creates if there is none.
func (c *Core) adapterState(a Adapter) *adapterState {
	state := c.adapters[a]
	if state == nil {
		state = &adapterState{id: a}
		c.adapters[a] = state
		c.newAdapters++
	}
	return state
}

func (c *Core) addPlacement(t *targetState, a Adapter, state placementState, version int64) *placement {
	adapter := c.adapterState(a)
	pl := &placement{adapter: a, target: t, state: state, version: version, stateSince: c.now, lastUsedAt: c.now}
	if state == placementReady {
		c.updateStale(pl)
	}
	t.placements[a] = pl
	if a.Name == "" {
		t.models++
	}
	adapter.placements = append(adapter.placements, pl)
	return pl
}

// removePlacement removes a placement from its target and its adapter. The target
// discards the adapter's KV cache entries, but can load the adapter again from its
// own memory.
func (c *Core) removePlacement(pl *placement) {
	delete(pl.target.placements, pl.adapter)
	if pl.adapter.Name == "" {
		pl.target.models--
	}
	adapter := c.adapterState(pl.adapter)
	adapter.placements = slices.DeleteFunc(adapter.placements, func(other *placement) bool { return other == pl })
	pl.target.prefixes.dropAdapter(pl.adapter)
	pl.target.plannedOrders = slices.DeleteFunc(pl.target.plannedOrders, func(p plannedOrder) bool { return p.placement == pl })
}

// demandHalfLife is the time in which the contribution of a past request to the
// demand for its adapter halves.
const demandHalfLife = 8 * time.Second

func (a *adapterState) demandAt(now Time) float64 {
	return a.demand * math.Exp2(-float64(now-a.demandUpdatedAt)/float64(demandHalfLife))
}

const (
	// forgetInterval is the time between two looks for adapters that can be forgotten.
	forgetInterval = time.Minute
	// forgottenDemand is the demand below which an adapter is forgotten.
	forgottenDemand = 0.05
	// maxIdleAdapters limits the adapters that are only known from past requests. The state of one takes
	// some 250 bytes and its name.
	maxIdleAdapters = 8192
)

// forgetAdapters removes the states of adapters that are not placed, announced or in demand, and those
// with the least demand if there are too many. Requests may name any number of adapters that do not exist.
func (c *Core) forgetAdapters() {
	if c.now-c.lastForgetting < forgetInterval && c.newAdapters < maxIdleAdapters/2 {
		return
	}
	c.lastForgetting, c.newAdapters = c.now, 0
	c.forgetShares()
	var idle []*adapterState
	maps.DeleteFunc(c.adapters, func(_ Adapter, a *adapterState) bool {
		if !a.idle(c.now) {
			return false
		}
		if a.demandAt(c.now) < forgottenDemand {
			return true
		}
		idle = append(idle, a)
		return false
	})
	if excess := len(idle) - maxIdleAdapters/2; excess > 0 {
		slices.SortFunc(idle, func(a, b *adapterState) int {
			return cmp.Or(cmp.Compare(a.demandAt(c.now), b.demandAt(c.now)), cmp.Compare(a.id.Name, b.id.Name))
		})
		for _, a := range idle[:excess] {
			delete(c.adapters, a.id)
		}
	}
}

// idle reports whether an adapter is only known from past requests.
func (a *adapterState) idle(now Time) bool {
	return a.queued == 0 && len(a.placements) == 0 && a.newestVersion == 0 && !a.busy && a.noLoadUntil <= now
}

func (a *adapterState) countRequest(now Time) {
	a.demand, a.demandUpdatedAt = a.demandAt(now)+1, now
}

// Enqueue adds a request to the queue, or refuses it on arrival.
func (c *Core) Enqueue(now Time, request Request) {
	c.advance(now)
	if c.queuedByID[request.ID] != nil {
		return
	}
	request = request.bounded()
	switch {
	case c.runs[request.ID] != nil:
		c.refuseOnArrival(request, errs.NotRun(errs.Conflict, "a request with the same ID has been granted a target"))
		return
	case c.draining:
		c.refuseOnArrival(request, errs.NotRun(errs.Draining, "the owner of the target group is shutting down"))
		return
	case len(c.queue) >= maxQueueLength && c.shares == nil:
		c.refuseOnArrival(request, errs.NotRun(errs.Overloaded, "the queue of the target group is full").WithRetry(maxRetryAfter))
		return
	case request.Hedge && len(c.queue) > 0:
		c.refuseOnArrival(request, errHedgeWaits())
		return
	}
	c.requestCount++
	r := &queuedRequest{
		Request: request, arrivalNumber: c.requestCount, queuedAt: c.now, firstEventDue: c.now + request.Objective - objectiveMargin,
		deadline: c.now + request.Deadline, adapter: c.adapterState(request.Adapter),
	}
	r.latestStart = c.now + request.Deadline - c.minServiceTime(&request)
	if request.Abandon != 0 {
		r.latestStart = min(r.latestStart, c.now+request.Abandon-abandonMargin)
	}
	if !request.Hedge {
		r.adapter.countRequest(c.now)
		c.countWork(r)
	}
	c.countArrival(r)
	if refusal := c.admit(r); refusal != nil {
		refusal.Organisation = r.Organisation
		c.emit(*refusal)
		return
	}
	r.adapter.queued++
	if c.shares != nil {
		r.share.organisation.queued++
	}
	c.queuedByID[request.ID] = r
	c.queue = append(c.queue, r)
	c.hasNewRequest = true
}

// minServiceTime returns an optimistic estimate of the time that a granted request
// takes: it assumes half of the expected output and a quarter of the prefill.
func (c *Core) minServiceTime(r *Request) time.Duration {
	return decodeTokenTime*time.Duration(r.OutputTokens/2) + c.latencies.prefill(r.PromptTokens)/4
}

func (c *Core) refuseOnArrival(r Request, err *errs.Error) {
	c.emit(RefuseRequest{ID: r.ID, Err: err, Organisation: r.Organisation})
}

// Cancel removes a queued request.
func (c *Core) Cancel(now Time, id string) {
	c.advance(now)
	if r := c.queuedByID[id]; r != nil {
		c.dequeue(r)
	}
}

func (c *Core) dequeue(r *queuedRequest) {
	delete(c.queuedByID, r.ID)
	r.adapter.queued--
	if c.shares != nil {
		r.share.organisation.queued--
	}
	c.queue = slices.DeleteFunc(c.queue, func(other *queuedRequest) bool { return other == r })
}

func (c *Core) refuse(r *queuedRequest, err *errs.Error) {
	c.dequeue(r)
	c.emit(RefuseRequest{ID: r.ID, Err: err, Waited: c.now - r.queuedAt, Hold: c.limitHold(r), Pause: cmp.Or(r.refusedBy, c.pauseHold(r)), Organisation: r.Organisation})
}

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

// Tick makes all pending decisions and returns the commands in the order in which
// they were issued.
func (c *Core) Tick(now Time) []Command {
	c.advance(now)
	c.expireRuns()
	c.forgetAdapters()
	c.replaceStaleVersions()
	c.loadModels()
	c.dispatchQueue()
	c.refuseHedge()
	c.freeSpareSlots()
	c.refuseExpired()
	c.sendOrders()
	commands := c.commands
	c.commands = nil
	return commands
}

// Time until the next tick while requests are queued and while the queue is empty.
const (
	queuedTickInterval = 10 * time.Millisecond
	idleTickInterval   = 200 * time.Millisecond
)

// NextTick returns the time at which the next tick is due if no input arrives
// before.
func (c *Core) NextTick() Time {
	if len(c.queue) > 0 {
		return c.now + queuedTickInterval
	}
	next := c.now + idleTickInterval
	for _, t := range c.targets {
		for _, p := range t.plannedOrders {
			if !t.accepts(p) {
				continue
			}
			next = min(next, max(p.notBefore, t.ordersFrom(), c.now+time.Millisecond))
		}
	}
	return next
}

// HasQueue reports whether requests are queued, so that an event may lead to a grant.
// Without a queue the next tick is early enough.
func (c *Core) HasQueue() bool { return len(c.queue) > 0 }

// Queued returns the number of queued requests and the age of the oldest.
func (c *Core) Queued(now Time) (length int, oldest time.Duration) {
	c.advance(now)
	for _, r := range c.queue {
		oldest = max(oldest, c.now-r.queuedAt)
	}
	return len(c.queue), oldest
}

// Backlog returns the time that the prefill of all granted and queued requests
// takes, as a mean over the targets that accept work.
func (c *Core) Backlog(now Time) time.Duration {
	c.advance(now)
	targets, total := 0, time.Duration(0)
	for _, t := range c.targets {
		if t.acceptsWork() {
			targets++
			total += c.backlog(t)
		}
	}
	for _, r := range c.queue {
		total += c.latencies.prefill(r.PromptTokens)
	}
	return total / time.Duration(max(1, targets))
}

// ResidentAdapter is an adapter on a target to which requests for that adapter may
// be sent.
type ResidentAdapter struct {
	Adapter Adapter
	Target  string
	Version int64
}

// ResidentAdapters returns the targets to which requests for each adapter may be
// sent, so that other VMs can route requests without the owner.
func (c *Core) ResidentAdapters(now Time) []ResidentAdapter {
	c.advance(now)
	var all []ResidentAdapter
	for _, t := range c.targets {
		if !t.acceptsWork() || !t.stateKnown {
			continue
		}
		for a, pl := range t.placements {
			if c.usable(pl) {
				all = append(all, ResidentAdapter{Adapter: a, Target: t.description.ID, Version: pl.version})
			}
		}
	}
	return all
}
