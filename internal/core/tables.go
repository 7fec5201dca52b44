package core

import (
	"sort"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/estimate"
	"cicadaslip/internal/policy/queueing"
)

type slotState uint8

const (
	slotAbsent   slotState = iota // not on the target; the row holds pins or the time of removal
	slotLoading                   // a load intent is pending or its order has no result
	slotResident                  // the target has the adapter
	slotEvicting                  // an evict intent is pending or its order has no result
)

// slotRow is one adapter on one target.
type slotRow struct {
	target    *targetRow
	adapter   *adapterRow
	state     slotState
	pins      int  // permits for the adapter on the target
	changedAt Time // of the last change of state
	usedAt    Time // of the last grant
	intent    *intentRow
	formerEvicts,
	formerLoads int // unresolved intents of former owners
	barred   bool     // an evict order without a result may still take effect
	barredBy []uint64 // stored intents of such orders
	retry    Time     // no load of the adapter here before
	claimed  bool     // an overdue load takes the slot when its permits have ended
}

// usable reports whether requests may be sent to the adapter on the target.
func (s *slotRow) usable() bool {
	return s.state == slotResident && s.formerEvicts == 0 && !s.barred && !s.claimed
}

// occupies reports whether the row takes one of the target's slots.
func (s *slotRow) occupies() bool {
	if s.state == slotLoading && s.intent != nil && s.intent.after != nil {
		return false // takes over the slot of the adapter that is being evicted
	}
	return s.state != slotAbsent || s.formerLoads > 0
}

// removable reports whether the row holds no information after a statement of the target.
func (s *slotRow) removable() bool {
	return s.state == slotAbsent && s.pins == 0 && s.formerEvicts == 0 && s.formerLoads == 0 && !s.barred
}

// targetRow is one target of the group.
type targetRow struct {
	info     model.Target
	index    int // in policies
	present  bool
	instance string
	slots    []*slotRow // in order of appearance
	permits  map[model.RequestID]*permitRow
	long     int // permits of long requests

	stateKnown bool
	stateAsked Time // when the last accepted statement was asked for
	firstAsk   Time // first state query of this ownership
	asked      bool // firstAsk is set
	lastAsk    Time
	wantState  bool

	loadFailed   bool // at loadFailedAt
	loadFailedAt Time

	unknown  map[model.RequestID]bool // running according to the target, without a permit
	released map[model.RequestID]Time // ended permits since the last statement
	dirty    bool
}

func (t *targetRow) open() bool { return t.present && !t.info.Leaving }

func (t *targetRow) load() int { return len(t.permits) + len(t.unknown) }

func (t *targetRow) free() int { return t.info.Concurrency - t.load() }

func (t *targetRow) slot(a *adapterRow) *slotRow {
	for _, s := range t.slots {
		if s.adapter == a {
			return s
		}
	}
	return nil
}

func (t *targetRow) slotOrNew(a *adapterRow) *slotRow {
	if s := t.slot(a); s != nil {
		return s
	}
	s := &slotRow{target: t, adapter: a, changedAt: -1}
	t.slots = append(t.slots, s)
	a.slots = append(a.slots, s)
	return s
}

func (t *targetRow) removeSlot(s *slotRow) {
	t.slots = without(t.slots, s)
	s.adapter.slots = without(s.adapter.slots, s)
}

func (t *targetRow) freeSlots() int {
	free := t.info.Slots
	for _, s := range t.slots {
		if s.occupies() {
			free--
		}
	}
	return free
}

func without[T comparable](rows []T, row T) []T {
	for i, r := range rows {
		if r == row {
			return append(rows[:i], rows[i+1:]...)
		}
	}
	return rows
}

// adapterKey names what a request needs: an adapter, or a service's application.
type adapterKey struct {
	version     model.AdapterVersion
	application string
}

// adapterRow is one adapter version, or one service application, that was seen.
type adapterRow struct {
	key          adapterKey
	baseModel    string
	lanes        []*laneRow
	waiting      int
	slots        []*slotRow
	dirty        bool
	wanting      bool // in the table of adapters that wait for a load
	asked        bool // a load permit was asked for
	permitted    bool // a load permit was received
	demand       decayed
	worth        float64  // of the waiting requests
	typicalWorth float64  // of one request
	askedWorth   float64  // of the last request for a load permit
	placeAt      Time     // no attempt to place a permitted load before
	claim        *slotRow // pinned slot that the overdue load waits for
	service      estimate.Average
}

// loading reports whether a load of the adapter is under way and not overdue.
func (a *adapterRow) loading(now, limit Time) bool {
	for _, s := range a.slots {
		if s.state == slotLoading && s.intent != nil && now-s.intent.createdAt < limit {
			return true
		}
	}
	return false
}

func (a *adapterRow) anyUsable() bool {
	for _, s := range a.slots {
		if s.usable() && s.target.open() {
			return true
		}
	}
	return false
}

// requestRow is one queued request.
type requestRow struct {
	Request
	sequence    uint64
	queuedAt    Time
	due         Time // answer due
	latestStart Time // later grants cannot be answered in time
	long        bool
	head        queueing.Head
	adapterRow  *adapterRow
	lane        *laneRow
	prev, next  *requestRow
	heapIndex   int
}

// permitKey identifies a permit: a request may hold permits on several targets.
type permitKey struct {
	id     model.RequestID
	target string
}

// permitRow is one granted permit.
type permitRow struct {
	permit    Permit
	holder    model.Holder
	target    *targetRow
	slot      *slotRow    // nil for services
	request   *requestRow // nil for adopted permits
	org       *orgRow
	long      bool
	grantedAt Time
	ending    bool // ends when the target no longer lists the request
	cancelled bool // CancelOnTarget was sent
	cancelAt  Time
	recorded  bool // entered into the account
	firstSeen bool // the first token's time was entered
	hedged    bool
}

// orgRow is one organisation.
type orgRow struct {
	name   string
	index  int
	share  float64 // relative weight as configured
	part   float64 // of the whole capacity
	queued int
	work   [2]float64 // queued, in token equivalents, short and long
	worth  float64    // queued
}

type intentPhase uint8

const (
	intentStoring intentPhase = iota // waits for the store
	intentStored                     // stored, waits for the evict order before it
	intentSent                       // the order was sent
	intentUnknown                    // the order's effect is unknown
)

// intentRow is one recorded order of this owner or of a former one.
type intentRow struct {
	intent    Intent
	slot      *slotRow
	phase     intentPhase
	former    bool
	after     *intentRow // must be done first
	next      *intentRow // waits for this one
	createdAt Time
	sentAt    Time
	unknownAt Time
	restarted bool // the target restarted while the order was under way
	shown     int  // statements that showed an unknown evict as not carried out
	resent    bool
}

// vmRow is one VM that must confirm the epoch.
type vmRow struct {
	holder    model.Holder
	confirmed bool
	gone      bool
	doneAt    Time
	askedAt   Time
	asked     bool
}

func (v *vmRow) done() bool { return v.confirmed || v.gone }

// sortedTargets keeps the table of targets in order of names.
func sortedTargets(rows []*targetRow) {
	sort.Slice(rows, func(i, j int) bool { return rows[i].info.Name < rows[j].info.Name })
}
