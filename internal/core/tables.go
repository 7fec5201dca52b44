package core

import (
	"sort"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/estimate"
	"cicadaslip/internal/policy/queueing"
)

// slotState is the state of an adapter on a target.
type slotState uint8

const (
	slotAbsent   slotState = iota // not on the target; the row has pins, unresolved orders or the time of removal
	slotLoading                   // a load intent is pending or its order has no result
	slotResident                  // the adapter is on the target
	slotEvicting                  // an evict intent is pending or its order has no result
)

// slotRow is one adapter version on one target.
type slotRow struct {
	target    *targetRow
	adapter   *adapterRow
	state     slotState
	pins      int        // permits for the adapter on the target
	changedAt Time       // time of the last change of state; -1 if any state report may change it
	usedAt    Time       // time of the last grant
	intent    *intentRow // unresolved intent of this owner, or nil

	formerEvicts, formerLoads int // unresolved intents of former owners

	blocked         bool     // an evict order without a result may still take effect
	blockingIntents []uint64 // IDs of the stored intents of such orders
	loadRetryAt     Time     // no load of the adapter on this target before this time
	reserved        bool     // gets no new permits; an overdue load takes the slot when its permits have ended
}

// usable reports whether requests may be sent to the adapter on the target.
func (s *slotRow) usable() bool {
	return s.state == slotResident && s.formerEvicts == 0 && !s.blocked && !s.reserved
}

// occupies reports whether the row takes one of the target's slots.
func (s *slotRow) occupies() bool {
	if s.state == slotLoading && s.intent != nil && s.intent.prerequisite != nil {
		return false // it takes the slot of the adapter that is being evicted
	}
	return s.state != slotAbsent || s.formerLoads > 0
}

// removable reports whether the row can be removed: the adapter is absent, and the
// row has no pins, no unresolved intents of former owners and no block.
func (s *slotRow) removable() bool {
	return s.state == slotAbsent && s.pins == 0 && s.formerEvicts == 0 && s.formerLoads == 0 && !s.blocked
}

// targetRow is one target of the group.
type targetRow struct {
	info     model.Target
	index    int        // index of the target in the policies
	listed   bool       // in the last TargetsChanged event
	instance string     // changes when the target restarts
	slots    []*slotRow // in order of appearance
	permits  map[model.RequestID]*permitRow
	long     int // permits of long requests

	stateKnown       bool // a state report of this ownership was accepted
	stateRequestedAt Time // when the last accepted state report was requested
	firstRequestAt   Time // time of the first state request of this ownership
	requested        bool // firstRequestAt is set
	lastRequestAt    Time // time of the last state request
	stateNeeded      bool // a state request is due as soon as the minimum interval allows

	loadFailed   bool // a load failed at loadFailedAt
	loadFailedAt Time

	unpermitted map[model.RequestID]bool // requests in the last state report that have no permit
	released    map[model.RequestID]Time // permits that ended since the last state report
	dirty       bool                     // in dirtyTargets
}

// acceptsWork reports whether the target may get new requests and loads.
func (t *targetRow) acceptsWork() bool { return t.listed && !t.info.Leaving }

// occupancy returns the number of requests that may run on the target.
func (t *targetRow) occupancy() int { return len(t.permits) + len(t.unpermitted) }

// freeConcurrency returns how many further requests the target can serve. It is
// negative if more run than its concurrency.
func (t *targetRow) freeConcurrency() int { return t.info.Concurrency - t.occupancy() }

// slot returns the row of an adapter on the target, or nil.
func (t *targetRow) slot(a *adapterRow) *slotRow {
	for _, s := range t.slots {
		if s.adapter == a {
			return s
		}
	}
	return nil
}

// ensureSlot returns the row of an adapter on the target and adds it if missing.
func (t *targetRow) ensureSlot(a *adapterRow) *slotRow {
	if s := t.slot(a); s != nil {
		return s
	}
	s := &slotRow{target: t, adapter: a, changedAt: -1}
	t.slots = append(t.slots, s)
	a.slots = append(a.slots, s)
	return s
}

func (t *targetRow) removeSlot(s *slotRow) {
	t.slots = removeRow(t.slots, s)
	s.adapter.slots = removeRow(s.adapter.slots, s)
}

// freeSlots returns the number of slots that no adapter occupies.
func (t *targetRow) freeSlots() int {
	free := t.info.Slots
	for _, s := range t.slots {
		if s.occupies() {
			free--
		}
	}
	return free
}

// removeRow removes the first occurrence of row and returns the shortened slice.
func removeRow[T comparable](rows []T, row T) []T {
	for i, r := range rows {
		if r == row {
			return append(rows[:i], rows[i+1:]...)
		}
	}
	return rows
}

// adapterKey identifies what a request needs: an adapter version, or the
// application of a service.
type adapterKey struct {
	version     model.AdapterVersion
	application string
}

// adapterRow is one adapter version or one service application.
type adapterRow struct {
	key            adapterKey
	baseModel      string
	lanes          []*laneRow // lanes with queued requests
	waiting        int        // queued requests
	slots          []*slotRow
	dirty          bool             // in dirtyAdapters
	awaitingLoad   bool             // in the list of adapters that need a load
	requested      bool             // a load permit was requested
	permitReceived bool             // a load permit was received and not used yet
	demand         decayingCount    // past requests
	queuedWorth    float64          // total worth of the queued requests
	typicalWorth   float64          // moving average of the worth of one request
	requestedWorth float64          // worth in the last request for a load permit
	nextPlaceAt    Time             // no attempt to place a permitted load before this time
	reservation    *slotRow         // pinned slot that is reserved for an overdue load of this adapter
	service        estimate.Average // time from grant to end of a service call; services only
}

// loading reports whether a load of the adapter is in progress and was created
// less than limit ago.
func (a *adapterRow) loading(now, limit Time) bool {
	for _, s := range a.slots {
		if s.state == slotLoading && s.intent != nil && now-s.intent.createdAt < limit {
			return true
		}
	}
	return false
}

// anyUsable reports whether a target that accepts work has the adapter usable.
func (a *adapterRow) anyUsable() bool {
	for _, s := range a.slots {
		if s.usable() && s.target.acceptsWork() {
			return true
		}
	}
	return false
}

// requestRow is one queued or granted request.
type requestRow struct {
	Request
	sequence    uint64 // order of arrival
	queuedAt    Time
	due         Time // deadline of the whole answer
	latestStart Time // a later grant cannot lead to an answer in time
	long        bool // the predicted output has at least LongOutputTokens
	queueHead   queueing.Head
	adapterRow  *adapterRow
	lane        *laneRow // nil when the request is no longer queued
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
	permit             Permit
	holder             model.Holder
	target             *targetRow
	slot               *slotRow    // nil for services
	request            *requestRow // nil for adopted permits
	org                *orgRow     // nil for adopted permits
	long               bool        // the request is long
	grantedAt          Time
	pendingEnd         bool // ends when a state report no longer lists the request
	cancelSent         bool // CancelOnTarget was sent
	cancelSentAt       Time
	recorded           bool // its usage was recorded
	firstTokenObserved bool // the time to the first token was observed
	hedged             bool // a hedge was advised
}

// orgRow is one organisation.
type orgRow struct {
	name          string
	index         int        // index of the organisation in the queueing policy
	share         float64    // relative weight as configured
	capacityShare float64    // fraction of the whole capacity
	queued        int        // queued requests
	queuedWork    [2]float64 // queued work in token equivalents, of short and long requests
	queuedWorth   float64    // total worth of the queued requests
}

// intentPhase is the progress of an intent and its order.
type intentPhase uint8

const (
	intentStoring intentPhase = iota // waits for the result of the store
	intentStored                     // stored; its order waits for the evict order that it depends on
	intentSent                       // the order was sent
	intentUnknown                    // the order's effect is unknown
)

// intentRow is one unresolved intent of this owner or of a former one.
type intentRow struct {
	intent          Intent
	slot            *slotRow
	phase           intentPhase
	former          bool       // of a former owner
	prerequisite    *intentRow // evict order that must be done before this order is sent
	dependent       *intentRow // load order that waits for this evict order
	createdAt       Time
	sentAt          Time
	unknownAt       Time // when the effect of the order became unknown, or the last report was counted
	targetRestarted bool // the target restarted after the intent was created
	residentReports int  // state reports that still list the adapter after an evict order of unknown effect
	resent          bool // two copies of the order may take effect
}

// vmRow is one VM that must confirm the epoch.
type vmRow struct {
	holder      model.Holder
	confirmed   bool
	gone        bool
	doneAt      Time // time of the confirmation, or when the VM was found gone
	requestedAt Time // time of the last confirmation request
	requested   bool // requestedAt is set
}

// done reports whether the barrier no longer waits for the VM.
func (v *vmRow) done() bool { return v.confirmed || v.gone }

// sortTargets sorts the targets by name.
func sortTargets(rows []*targetRow) {
	sort.Slice(rows, func(i, j int) bool { return rows[i].info.Name < rows[j].info.Name })
}
