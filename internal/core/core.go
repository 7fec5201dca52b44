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
	model    estimate.Model
	out      []Command

	targets     []*targetRow // in order of names
	targetIndex map[string]*targetRow
	adapters    map[adapterKey]*adapterRow
	services    []*adapterRow // rows of applications
	rows        []*adapterRow // rows of adapters, in no particular order
	hand        int           // next row to be checked for idleness
	orgs        []*orgRow
	orgIndex    map[string]*orgRow
	requests    map[model.RequestID]*requestRow
	starts      startHeap
	sequence    uint64
	permits     map[permitKey]*permitRow
	intents     []*intentRow // in order of creation
	intentIndex map[uint64]*intentRow
	intentCount uint64

	owner       bool
	draining    bool
	storeDown   bool
	epoch       model.Epoch
	formerOwner model.Holder
	takenAt     Time
	vms         []*vmRow
	barrier     bool // passed
	barrierAt   Time
	gone        map[model.Holder]bool
	early       map[permitKey]bool // released before the holder confirmed

	ending        []*permitRow // permits that wait for a statement of their target
	dirtyTargets  []*targetRow
	dirtyAdapters []*adapterRow
	wanting       []*adapterRow
	arrivals      []*requestRow
	candidates    []*laneRow
	touched       []*adapterRow
	needs         []needRow
	slots         []*slotRow
	victims       []placement.Slot
	scoredAt      Time

	work           [2]float64 // queued work in token equivalents, short and long
	concurrency    int        // of the open runner targets
	openTargets    int        // open runner targets
	targetsChanged bool       // since the waiting requests were compared with the targets
	indexes        int        // given to targets so far
	freeIndexes    []int      // of removed targets
	sharesKnown    bool
}

var _ Decider = (*Core)(nil)

// New returns a core without targets. Equal seeds and inputs give equal commands.
func New(params Params, seed uint64) *Core {
	params = params.withDefaults()
	return &Core{
		params:      params,
		policies:    newPolicySet(params),
		rng:         rand.New(rand.NewPCG(seed, seed)),
		targetIndex: map[string]*targetRow{},
		adapters:    map[adapterKey]*adapterRow{},
		orgIndex:    map[string]*orgRow{},
		requests:    map[model.RequestID]*requestRow{},
		permits:     map[permitKey]*permitRow{},
		intentIndex: map[uint64]*intentRow{},
		gone:        map[model.Holder]bool{},
		early:       map[permitKey]bool{},
	}
}

// Apply enters an event into the tables.
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
		c.applyState(now, e)
	case LoadReport:
		// Not used: reports lag, and the permits show the load at once.
	case LoadPermitted:
		c.applyLoadPermitted(e)
	default:
		c.applyOwnerEvent(now, event)
	}
}

func (c *Core) applyOwnerEvent(now Time, event Event) {
	switch e := event.(type) {
	case IntentStored:
		c.applyIntentStored(now, e.ID)
	case IntentRejected:
		c.applyIntentRejected(now, e.ID)
	case OrderDone:
		c.applyOrderDone(now, e.ID)
	case OrderFailed:
		c.applyOrderFailed(now, e.ID)
	case OrderUnknown:
		c.applyOrderUnknown(now, e.ID)
	case TakenOver:
		c.applyTakenOver(now, e)
	case EpochConfirmed:
		c.applyConfirmed(now, e)
	case HolderGone:
		c.applyGone(now, e.Holder)
	case StoreAvailability:
		c.storeDown = !e.Available
	case DrainStarted:
		c.draining = true
	}
}

// Tick runs the systems in a fixed order and returns the commands.
func (c *Core) Tick(now Time) []Command {
	if c.owner {
		c.runBarrier(now)
		c.runFormerIntents(now)
		c.runEnding(now)
		c.runTargetState(now)
		c.runOrders()
		c.runHealth()
	}
	c.runPopularity(now)
	c.runAdmission(now)
	if c.owner {
		c.runDispatch(now)
		c.runPlacement(now)
	}
	out := c.out
	c.out = nil
	return out
}

// NextTick returns when the next tick is due if no event arrives.
func (c *Core) NextTick(now Time) Time {
	if len(c.requests) > 0 {
		return now + c.params.BusyInterval
	}
	return now + c.params.IdleInterval
}

func (c *Core) emit(command Command) { c.out = append(c.out, command) }

func (c *Core) org(name string) *orgRow {
	row := c.orgIndex[name]
	if row == nil {
		row = &orgRow{name: name, index: len(c.orgs)}
		c.orgs = append(c.orgs, row)
		c.orgIndex[name] = row
		if !c.sharesKnown {
			row.share = 1
			c.divideShares()
		}
		c.policies.queue.SetShare(row.index, row.part)
	}
	return row
}

func (c *Core) applyShares(e SharesChanged) {
	c.sharesKnown = true
	for _, row := range c.orgs {
		row.share = 0
	}
	for _, name := range sortedKeys(e.Shares) {
		c.org(name).share = e.Shares[name]
	}
	c.divideShares()
}

// divideShares turns the relative shares into parts of the whole capacity.
func (c *Core) divideShares() {
	total := 0.0
	for _, row := range c.orgs {
		total += row.share
	}
	for _, row := range c.orgs {
		if row.part = 0; total > 0 {
			row.part = row.share / total
		}
		c.policies.queue.SetShare(row.index, row.part)
	}
}

func (c *Core) adapter(key adapterKey) *adapterRow {
	row := c.adapters[key]
	if row == nil {
		row = &adapterRow{key: key}
		c.adapters[key] = row
		if key.application != "" {
			c.services = append(c.services, row)
		} else {
			c.rows = append(c.rows, row)
		}
	}
	return row
}

func (c *Core) markTarget(t *targetRow) {
	if !t.dirty {
		t.dirty = true
		c.dirtyTargets = append(c.dirtyTargets, t)
	}
}

func (c *Core) markAdapter(a *adapterRow) {
	if !a.dirty {
		a.dirty = true
		c.dirtyAdapters = append(c.dirtyAdapters, a)
	}
}
