package placer

import (
	"math"
	"slices"
	"strings"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
)

// Core decides for one target group. It is not safe for concurrent use.
type Core struct {
	params Params
	now    Time
	model  engineModel
	out    []Command

	targets  []*targetRow // in order of identifiers
	index    map[string]*targetRow
	adapters map[Adapter]*adapterRow
	requests map[string]*requestRow
	waiting  []*requestRow // in order of arrival
	runs     map[string]*runRow

	sequence   uint64
	orders     uint64
	modelLoads float64 // base models that may be loaded from the weights store now
	modelsAt   Time
	draining   bool
	adoptTo    Time   // nothing is dropped before
	pass       uint64 // over the queue
	passAt     Time
	arrived    bool // a request since the last pass
	cold       int  // adapters on their way from the weights store
	anyStale   bool // a held adapter is in an older version
	expiredAt  Time // of the last look for runs that expired
}

// New returns a core without targets.
func New(params Params) *Core {
	return &Core{
		params: params, model: newEngineModel(), index: map[string]*targetRow{}, adapters: map[Adapter]*adapterRow{},
		requests: map[string]*requestRow{}, runs: map[string]*runRow{}, modelLoads: 1,
	}
}

// SetParams replaces the settings.
func (c *Core) SetParams(params Params) {
	params.Fresh = c.params.Fresh
	c.params = params
	for _, t := range c.targets {
		t.prefixes.limit = params.Engine.CacheTokens
	}
}

func (c *Core) at(now Time) {
	c.now = max(c.now, now)
}

// SetTargets replaces the group's targets.
func (c *Core) SetTargets(now Time, targets []fleet.Target) {
	c.at(now)
	listed := map[string]bool{}
	for _, info := range targets {
		listed[info.ID] = true
		c.setTarget(info)
	}
	for _, t := range slices.Clone(c.targets) {
		if !listed[t.info.ID] {
			c.dropTarget(t)
		}
	}
}

func (c *Core) setTarget(info fleet.Target) {
	t := c.index[info.ID]
	if t == nil {
		t = &targetRow{info: info}
		c.reset(t)
		if c.params.Fresh {
			c.assumeDescribed(t)
		}
		c.index[info.ID] = t
		c.targets = append(c.targets, t)
		slices.SortFunc(c.targets, func(a, b *targetRow) int { return strings.Compare(a.info.ID, b.info.ID) })
		return
	}
	restarted := t.info.Born != info.Born
	t.info = info
	if restarted {
		// The counts of a new start begin at zero, so its description tells all.
		c.reset(t)
		c.assumeDescribed(t)
	}
}

// reset forgets what a target held and ran.
func (c *Core) reset(t *targetRow) {
	for _, row := range t.held {
		c.forget(row)
	}
	for id, run := range t.runs {
		if c.runs[id] == run {
			delete(c.runs, id)
		}
	}
	t.held, t.runs = map[Adapter]*heldRow{}, map[string]*runRow{}
	t.sequence, t.known, t.plan, t.sent = 0, false, nil, nil
	t.wantReport, t.asked, t.reportFrom, t.quietTo = true, false, c.now, 0
	t.tokens, t.busyUntil, t.noise, t.busy, t.failures, t.avoidTo = 0, 0, 0, 0, 0, 0
	t.usual = 1
	t.reserved, t.lost = append(t.reserved, t.lost...), nil
	t.recent, t.prefixes = &recentAdapters{}, newPrefixCache(c.params.Engine.CacheTokens)
}

// assumeDescribed takes the description of a target that nobody has ordered
// anything from. If that is wrong, its first answer says so.
func (c *Core) assumeDescribed(t *targetRow) {
	t.known, t.wantReport = true, false
	for _, m := range t.info.Models {
		c.addHeld(t, Adapter{Model: m.Name}, heldReady, m.Version)
		for _, a := range m.Adapters {
			c.addHeld(t, Adapter{Model: m.Name, Name: a.Name}, heldReady, a.Version)
		}
	}
}

func (c *Core) dropTarget(t *targetRow) {
	c.reset(t)
	delete(c.index, t.info.ID)
	c.targets = slices.DeleteFunc(c.targets, func(other *targetRow) bool { return other == t })
}

// Drain refuses all queued and later requests.
func (c *Core) Drain() { c.draining = true }

// SetVersion enters an announced version of an adapter.
func (c *Core) SetVersion(now Time, a Adapter, version int64) {
	c.at(now)
	row := c.adapter(a)
	if version <= row.wanted {
		return
	}
	row.wanted, row.since = version, c.now
	for _, h := range row.held {
		if h.version < version && h.stale == 0 {
			h.stale, c.anyStale = max(1, c.now), true
		}
	}
}

func (c *Core) adapter(a Adapter) *adapterRow {
	row := c.adapters[a]
	if row == nil {
		row = &adapterRow{id: a}
		c.adapters[a] = row
	}
	return row
}

func (c *Core) addHeld(t *targetRow, a Adapter, state heldState, version int64) *heldRow {
	adapter := c.adapter(a)
	row := &heldRow{adapter: a, target: t, state: state, version: version, since: c.now, usedAt: c.now}
	if version < adapter.wanted && state == heldReady {
		row.stale, c.anyStale = max(1, adapter.since), true
	}
	t.held[a] = row
	adapter.held = append(adapter.held, row)
	return row
}

// forget removes a row from both tables. The target keeps nothing of the
// adapter's prompts, but can load the adapter again from its own memory.
func (c *Core) forget(row *heldRow) {
	delete(row.target.held, row.adapter)
	adapter := c.adapter(row.adapter)
	adapter.held = slices.DeleteFunc(adapter.held, func(other *heldRow) bool { return other == row })
	row.target.prefixes.drop(row.adapter)
	row.target.plan = slices.DeleteFunc(row.target.plan, func(p plannedOrder) bool { return p.row == row })
}

// demandHalfLife is the time in which the weight of a past request halves.
const demandHalfLife = 8 * time.Second

func (a *adapterRow) demandAt(now Time) float64 {
	return a.demand * math.Exp2(-float64(now-a.seenAt)/float64(demandHalfLife))
}

func (a *adapterRow) ask(now Time) {
	a.demand, a.seenAt = a.demandAt(now)+1, now
}

// Queue adds a request.
func (c *Core) Queue(now Time, request Request) {
	c.at(now)
	if c.requests[request.ID] != nil {
		return
	}
	switch {
	case c.draining:
		c.refuseNew(request, errs.NotRun(errs.Draining, "the owner of the target group is shutting down"))
		return
	case len(c.waiting) >= maxWaiting:
		c.refuseNew(request, errs.NotRun(errs.Overloaded, "the queue of the target group is full").WithRetry(longestRetry))
		return
	}
	c.sequence++
	r := &requestRow{
		Request: request, sequence: c.sequence, queuedAt: c.now, onTimeTo: c.now + request.Objective - onTimeMargin,
		deadline: c.now + request.Deadline, adapter: c.adapter(request.Adapter),
	}
	r.giveUpAt = c.now + min(request.Deadline-c.leastService(&request), streamPatience)
	r.adapter.ask(c.now)
	if err := c.admit(r); err != nil {
		c.refuseNew(request, err)
		return
	}
	r.adapter.waiting++
	c.requests[request.ID] = r
	c.waiting = append(c.waiting, r)
	c.arrived = true
}

// leastService is the time that a request takes at least once it is granted.
func (c *Core) leastService(r *Request) time.Duration {
	return firstStep*time.Duration(r.OutputTokens/2) + c.model.reading(r.PromptTokens)/4
}

func (c *Core) refuseNew(r Request, err *errs.Error) {
	c.emit(RefuseRequest{ID: r.ID, Err: err})
}

// Cancel removes a queued request.
func (c *Core) Cancel(now Time, id string) {
	c.at(now)
	if r := c.requests[id]; r != nil {
		c.dequeue(r)
	}
}

func (c *Core) dequeue(r *requestRow) {
	delete(c.requests, r.ID)
	r.adapter.waiting--
	c.waiting = slices.DeleteFunc(c.waiting, func(other *requestRow) bool { return other == r })
}

func (c *Core) refuse(r *requestRow, err *errs.Error) {
	c.dequeue(r)
	c.emit(RefuseRequest{ID: r.ID, Err: err, Waited: c.now - r.queuedAt})
}

func (c *Core) emit(command Command) { c.out = append(c.out, command) }

// Tick runs the systems and returns the commands in order.
func (c *Core) Tick(now Time) []Command {
	c.at(now)
	c.expireRuns()
	c.runVersions()
	c.runModels()
	c.runDispatch()
	c.runSpares()
	c.runRefusals()
	c.runOrders()
	out := c.out
	c.out = nil
	return out
}

// Idle and busy intervals of Next.
const (
	busyInterval = 10 * time.Millisecond
	idleInterval = 200 * time.Millisecond
)

// Next returns when the next tick is due if nothing arrives before.
func (c *Core) Next() Time {
	if len(c.waiting) > 0 {
		return c.now + busyInterval
	}
	next := c.now + idleInterval
	for _, t := range c.targets {
		for _, p := range t.plan {
			next = min(next, max(p.notBefore, t.quietTo, c.now+time.Millisecond))
		}
	}
	return next
}

// Queued returns the number of waiting requests and the age of the oldest.
func (c *Core) Queued(now Time) (waiting int, oldest time.Duration) {
	c.at(now)
	for _, r := range c.waiting {
		oldest = max(oldest, c.now-r.queuedAt)
	}
	return len(c.waiting), oldest
}

// Backlog returns the mean time until a target reads a new prompt, with what
// waits.
func (c *Core) Backlog(now Time) time.Duration {
	c.at(now)
	open, total := 0, time.Duration(0)
	for _, t := range c.targets {
		if t.open() {
			open++
			total += c.backlog(t)
		}
	}
	for _, r := range c.waiting {
		total += c.model.reading(r.PromptTokens)
	}
	return total / time.Duration(max(1, open))
}

// Resident is one adapter on one target that requests may be sent to.
type Resident struct {
	Adapter Adapter
	Target  string
	Version int64
}

// Resident returns the adapters that requests may be sent to, so that other VMs
// can route without the owner.
func (c *Core) Resident(now Time) []Resident {
	c.at(now)
	var all []Resident
	for _, t := range c.targets {
		if !t.open() || !t.known {
			continue
		}
		for a, row := range t.held {
			if c.usable(row) {
				all = append(all, Resident{Adapter: a, Target: t.info.ID, Version: row.version})
			}
		}
	}
	return all
}
