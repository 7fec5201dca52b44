package core

import (
	"math/rand/v2"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/estimate"
	"cicadaslip/internal/policy/placement"
)

// Core implements Decider. It is not safe for concurrent use.
type Core struct {
	params   Params
	rng      *rand.Rand
	policies policySet
	model    estimate.Model // expected times on the runners that are not slow
	commands []Command      // commands since the last tick

	targets       []*targetRow // sorted by name
	targetIndex   map[string]*targetRow
	adapters      map[adapterKey]*adapterRow
	serviceRows   []*adapterRow // rows of applications
	adapterRows   []*adapterRow // rows of adapters, in no particular order
	sweepIndex    int           // index in adapterRows of the next row to check for idleness
	orgs          []*orgRow
	orgIndex      map[string]*orgRow
	requests      map[model.RequestID]*requestRow // queued requests
	byLatestStart latestStartHeap                 // queued requests
	sequence      uint64                          // sequence number of the last queued request
	permits       map[permitKey]*permitRow
	intents       []*intentRow // unresolved intents in order of creation
	intentIndex   map[uint64]*intentRow
	intentCount   uint64 // intents that this core has created

	isOwner         bool
	draining        bool
	storeDown       bool
	epoch           model.Epoch
	formerOwner     model.Holder
	takenOverAt     Time
	vms             []*vmRow // VMs that must confirm the epoch
	barrierPassed   bool     // every VM in vms has confirmed the epoch or is gone
	barrierPassedAt Time
	gone            map[model.Holder]bool // holders that are confirmed gone
	releasedEarly   map[permitKey]bool    // permits released before their holder confirmed the epoch

	pendingEnd    []*permitRow  // permits that end with a state report of their target
	dirtyTargets  []*targetRow  // targets that changed since the last dispatch
	dirtyAdapters []*adapterRow // adapters that changed since the last dispatch
	awaitingLoad  []*adapterRow // adapters that need a load
	arrivals      []*requestRow // requests queued since the last admission
	candidates    []*laneRow    // reused buffer of gatherCandidates
	loadChecks    []*adapterRow // adapters whose need for a load is checked after dispatch
	needs         []needRow     // reused buffer of scoreNeeds
	slots         []*slotRow    // reused buffer: eviction candidates
	victims       []placement.Slot
	needsScoredAt Time // 0 if the needs must be scored in the next tick

	queuedWork        [2]float64 // queued work in token equivalents, of short and long requests
	runnerConcurrency int        // total concurrency of the runners that accept work
	openRunners       int        // number of runners that accept work
	targetsChanged    bool       // the queued requests must be checked against the changed targets
	indexCount        int        // number of target indexes allocated so far
	freeIndexes       []int      // indexes of removed targets
	sharesSet         bool       // SharesChanged was applied; until then all shares are equal
}

var _ Decider = (*Core)(nil)

// New returns a core without targets. Equal seeds and equal inputs produce equal
// commands.
func New(params Params, seed uint64) *Core {
	params = params.withDefaults()
	return &Core{
		params:        params,
		policies:      newPolicySet(params),
		rng:           rand.New(rand.NewPCG(seed, seed)),
		targetIndex:   map[string]*targetRow{},
		adapters:      map[adapterKey]*adapterRow{},
		orgIndex:      map[string]*orgRow{},
		requests:      map[model.RequestID]*requestRow{},
		permits:       map[permitKey]*permitRow{},
		intentIndex:   map[uint64]*intentRow{},
		gone:          map[model.Holder]bool{},
		releasedEarly: map[permitKey]bool{},
	}
}

// Apply updates the tables with an event.
func (c *Core) Apply(now Time, event Event) {
	switch e := event.(type) {
	case TargetsChanged:
		c.applyTargets(now, e)
	case SharesChanged:
		c.applyShares(e)
	case RequestQueued:
		c.applyQueued(now, e.Request)
	case RequestCancelled:
		c.applyCancelled(e.ID)
	case PermitReleased:
		c.applyReleased(now, e)
	case Progress:
		c.applyProgress(now, e)
	case TargetState:
		c.applyTargetState(now, e)
	case LoadReport:
		// Ignored: load reports lag, while the permits show the load at once.
	case LoadPermitted:
		c.applyLoadPermitted(e)
	default:
		c.applyOwnershipEvent(now, event)
	}
}

// applyOwnershipEvent applies events of the ownership, the store and the orders.
func (c *Core) applyOwnershipEvent(now Time, event Event) {
	switch e := event.(type) {
	case IntentStored:
		c.applyIntentStored(now, e.ID)
	case IntentRejected:
		c.applyIntentRejected(now, e.ID)
	case OrderDone:
		c.applyOrderDone(now, e.ID)
	case OrderFailed:
		c.applyOrderFailed(now, e.ID)
	case OrderOutcomeUnknown:
		c.applyOrderOutcomeUnknown(now, e.ID)
	case TakenOver:
		c.applyTakenOver(now, e)
	case EpochConfirmed:
		c.applyEpochConfirmed(now, e)
	case HolderGone:
		c.applyHolderGone(now, e.Holder)
	case StoreAvailability:
		c.storeDown = !e.Available
	case DrainStarted:
		c.draining = true
	}
}

// Tick runs the systems in a fixed order and returns the commands in the order
// in which they were produced.
func (c *Core) Tick(now Time) []Command {
	if c.isOwner {
		c.runBarrier(now)
		c.runFormerIntents(now)
		c.runPendingEnds(now)
		c.runTargetState(now)
		c.runUnknownOrders()
		c.runHealth()
	}
	c.runIdleSweep(now)
	c.runAdmission(now)
	if c.isOwner {
		c.runDispatch(now)
		c.runPlacement(now)
	}
	commands := c.commands
	c.commands = nil
	return commands
}

// NextTick returns when the next tick is due if no event arrives.
func (c *Core) NextTick(now Time) Time {
	if len(c.requests) > 0 {
		return now + c.params.BusyTickInterval
	}
	return now + c.params.IdleTickInterval
}

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

// org returns the row of an organisation and adds it if it is new.
func (c *Core) org(name string) *orgRow {
	row := c.orgIndex[name]
	if row == nil {
		row = &orgRow{name: name, index: len(c.orgs)}
		c.orgs = append(c.orgs, row)
		c.orgIndex[name] = row
		if !c.sharesSet {
			row.share = 1
			c.normaliseShares()
		}
		c.policies.queue.SetShare(row.index, row.capacityShare)
	}
	return row
}

func (c *Core) applyShares(e SharesChanged) {
	c.sharesSet = true
	for _, row := range c.orgs {
		row.share = 0
	}
	for _, name := range sortedKeys(e.Shares) {
		c.org(name).share = e.Shares[name]
	}
	c.normaliseShares()
}

// normaliseShares computes each organisation's fraction of the whole capacity
// from the relative shares.
func (c *Core) normaliseShares() {
	total := 0.0
	for _, row := range c.orgs {
		total += row.share
	}
	for _, row := range c.orgs {
		if row.capacityShare = 0; total > 0 {
			row.capacityShare = row.share / total
		}
		c.policies.queue.SetShare(row.index, row.capacityShare)
	}
}

// adapter returns the row of an adapter or application and adds it if it is new.
func (c *Core) adapter(key adapterKey) *adapterRow {
	row := c.adapters[key]
	if row == nil {
		row = &adapterRow{key: key}
		c.adapters[key] = row
		if key.application != "" {
			c.serviceRows = append(c.serviceRows, row)
		} else {
			c.adapterRows = append(c.adapterRows, row)
		}
	}
	return row
}

// markTarget makes the next dispatch consider the adapters on a target.
func (c *Core) markTarget(t *targetRow) {
	if !t.dirty {
		t.dirty = true
		c.dirtyTargets = append(c.dirtyTargets, t)
	}
}

// markAdapter makes the next dispatch consider the lanes of an adapter.
func (c *Core) markAdapter(a *adapterRow) {
	if !a.dirty {
		a.dirty = true
		c.dirtyAdapters = append(c.dirtyAdapters, a)
	}
}
