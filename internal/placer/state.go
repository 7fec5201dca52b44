package placer

import (
	"slices"
	"time"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/ratelimit"
)

type placementState uint8

const (
	placementLoading   placementState = iota // a load was ordered or is planned
	placementReady                           // requests may be sent
	placementUnloading                       // an unload was ordered or is planned
)

// placement is one adapter or base model that takes up space on a target.
type placement struct {
	adapter     Adapter
	target      *targetState
	state       placementState
	version     int64 // 0 if unknown
	lastUsedAt  Time
	stateSince  Time // when state was set
	acceptedAt  Time // when the target accepted the load
	accepted    bool // the target has accepted the load or unload
	cold        bool // the load is expected to come from the weights store
	staleSince  Time // when a newer version was first announced, 0 if there is none
	polls       int  // polls since the load was accepted
	underWay    int  // cold loads of the group when this one was accepted, including it
	seenLoading Time // when the last poll that found the load in progress was sent, 0 if none did
	busy        bool // the load puts a busy adapter on a further target
	unobserved  bool // a poll got no answer, so the time of its load is not known
	uncertain   bool // orders went unanswered, or the target denied having the adapter
}

// targetState is the state of one target of the group.
type targetState struct {
	description fleet.Target
	placements  map[Adapter]*placement
	models      int // base models among the placements

	acceptedOrders int64 // number of orders that the target has accepted
	stateKnown     bool  // acceptedOrders and placements are known
	plannedOrders  []plannedOrder
	inFlight       *Order       // order without an answer yet, nil if none
	inFlightPlan   plannedOrder // plan of inFlight
	inFlightAt     Time         // when inFlight was sent
	noOrdersUntil  Time

	unansweredOrders int        // consecutive orders without an answer
	roomPass         uint64     // dispatch pass in which roomFound and roomVictim were computed
	roomFound        bool       // there is room for one more adapter
	roomVictim       *placement // placement to unload to make that room, nil if a slot is free

	needsReport       bool
	reportRequestedAt Time
	reportRequested   bool
	reportsValidFrom  Time // reports requested earlier are outdated

	runs                map[string]*activeRun
	runTokens           int           // tokens of the runs in the engine's KV cache
	prefillUntil        Time          // expected end of the prefill of all granted prompts
	prefillGranted      time.Duration // prefillRun at the last grant, including its prompt
	eventGap            time.Duration // shortest event gap objective of the runs, 0 if none has one
	averageSlowness     float64       // long-term slowness relative to an average target, which is 1
	extraSlowness       float64       // slowness reported by the target, in excess of 1
	extraSlownessAt     Time          // when extraSlowness was reported
	prefillShare        float64       // decaying share of time spent on prefill, as of prefillShareAt
	prefillShareAt      Time
	consecutiveFailures int
	avoidUntil          Time
	pauses              map[string]targetPause // by VM
	heldUntil           Time                   // no orders and reports before

	queuedPrefill time.Duration // during a forecast: prefill of the queued requests ahead
	reservedPass  uint64        // dispatch pass in which the capacity is kept for a queued request

	limit          ratelimit.Bucket // requests that the target takes
	limitStatedAt  Time             // when the target stated its limit, or that it has none
	limitSince     Time             // when the target first stated the limit in force
	limitPass      uint64           // dispatch pass to which limitReserved belongs
	limitBoundPass uint64           // dispatch pass in which queued requests could be served by limited targets only, this one among them
	limitReserved  int              // queued requests that wait for the limit of the target

	recentlyUnloaded *recentAdapters
	prefixes         *prefixCache
}

// plannedOrder is an order that has not been sent yet.
type plannedOrder struct {
	operation   Operation
	placement   *placement
	notBefore   Time
	afterUnload *placement // must be gone from the target first, nil if there is none
}

// acceptsWork reports whether the target may get new requests and orders.
func (t *targetState) acceptsWork() bool { return !t.description.Leaving }

// hasReadyModel reports whether a base model is ready on the target.
func (t *targetState) hasReadyModel(model string) bool {
	pl := t.placements[Adapter{Model: model}]
	return pl != nil && pl.state == placementReady
}

// slots returns the number of adapter slots that are or may be taken, and how
// many of them belong to loads.
func (t *targetState) slots() (taken, loading int) {
	for a, pl := range t.placements {
		if a.Name == "" {
			continue
		}
		taken++
		if pl.state == placementLoading {
			loading++
		}
	}
	return taken, loading
}

// adapterState is the state of one adapter that was requested or is placed on a
// target.
type adapterState struct {
	id              Adapter
	placements      []*placement
	queued          int   // number of queued requests for it
	newestVersion   int64 // newest announced version
	announced       VersionHistory
	demand          float64 // decaying number of requests, as of demandUpdatedAt
	demandUpdatedAt Time
	work            decayingSum // seconds of prefill that requests cause
	busy            bool        // is in Core.busyAdapters
	noLoadUntil     Time        // set after a target rejected an order for it as invalid
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	Request
	arrivalNumber  uint64
	queuedAt       Time
	firstEventDue  Time // a later first event misses the objective
	latestStart    Time // a later start is too late for a useful answer
	deadline       Time
	adapter        *adapterState
	decodeWaitFrom Time // when it first waited for the streams of a target, 0 if it has not
	late           bool // during a pass over the queue: it cannot meet its objective
	hold           limitHold
	pause          pauseHold
	refusedBy      *PauseHold // nil if the request was not refused because of pauses
	share          requestShare
}

// activeRun is a granted request that has not ended.
type activeRun struct {
	request            *queuedRequest
	target             *targetState
	grantedAt          Time
	expectedFirstEvent Time // expected duration from the grant to the first event
	prefillTime        Time // expected duration of the prefill
	uncachedTokens     int  // prompt tokens that are not in the KV cache
	onlyPrefill        bool // the target had no other prefill work at the grant
	firstEventSeen     bool
}

// recentAdapters lists the adapters that were last unloaded from a target, which
// can load them again from its own memory.
type recentAdapters struct {
	order []Adapter // oldest first
}

func (r *recentAdapters) add(a Adapter) {
	r.remove(a)
	r.order = append(r.order, a)
	if len(r.order) > maxRecentAdapters {
		r.order = r.order[1:]
	}
}

func (r *recentAdapters) remove(a Adapter) {
	if i := slices.Index(r.order, a); i >= 0 {
		r.order = slices.Delete(r.order, i, i+1)
	}
}

func (r *recentAdapters) has(a Adapter) bool { return slices.Contains(r.order, a) }
