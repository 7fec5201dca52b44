package placer

import (
	"slices"

	"cicadaslip/internal/fleet"
)

type heldState uint8

const (
	heldLoading   heldState = iota // ordered, or about to be
	heldReady                      // requests may be sent
	heldUnloading                  // ordered to be dropped, or about to be
)

// heldRow is one adapter or base model that takes room on a target.
type heldRow struct {
	adapter  Adapter
	target   *targetRow
	state    heldState
	version  int64 // 0 if unknown
	usedAt   Time
	since    Time // of the state
	accepted Time // when the load was accepted
	started  bool // the load was accepted
	cold     bool // expected to come from the weights store
	stale    Time // a newer version was announced then, 0 if not
	polls    int  // since the load was accepted
	doubt    bool // an order got no answer, or the target denied that it holds the adapter
}

// targetRow is one target of the group.
type targetRow struct {
	info fleet.Target
	held map[Adapter]*heldRow

	sequence int64 // orders accepted
	known    bool  // sequence and held are
	plan     []plannedOrder
	sent     *Order // under way
	sentPlan plannedOrder
	quietTo  Time // no orders before

	unanswered int      // orders in a row
	lost       []Time   // loads without an answer, which may still reach a later start
	reserved   []Time   // the same of former starts: each may take a slot unseen
	pass       uint64   // in which room was computed
	room       bool     // for one more adapter
	roomVictim *heldRow // that makes it, nil if a slot is free

	wantReport bool
	askedAt    Time
	asked      bool
	reportFrom Time // reports asked for earlier are too old

	runs      map[string]*runRow
	tokens    int     // of the runs, in the engine's memory
	busyUntil Time    // expected end of reading all granted prompts
	usual     float64 // time of its work against that of the others
	noise     float64 // slowness that it told, above 1
	noiseAt   Time
	busy      float64 // recent part of the time spent on prompts
	busyAt    Time
	failures  int // in a row
	avoidTo   Time

	recent   *recentAdapters // dropped lately
	prefixes *prefixCache
}

// plannedOrder is an order that waits for its turn.
type plannedOrder struct {
	operation Operation
	row       *heldRow
	notBefore Time
	after     *heldRow // must have left the target before
}

func (t *targetRow) open() bool { return !t.info.Leaving }

// model returns the base model's row if requests may be sent to it.
func (t *targetRow) holdsModel(model string) bool {
	row := t.held[Adapter{Model: model}]
	return row != nil && row.state == heldReady
}

// slots returns the adapter slots that are or may be taken.
func (t *targetRow) slots() (taken, coming int) {
	for a, row := range t.held {
		if a.Name == "" {
			continue
		}
		taken++
		if row.state == heldLoading {
			coming++
		}
	}
	return taken, coming
}

// adapterRow is one adapter that was asked for or is held.
type adapterRow struct {
	id      Adapter
	held    []*heldRow
	waiting int
	wanted  int64 // newest announced version
	since   Time  // of that announcement
	demand  float64
	seenAt  Time
	retryAt Time // no load before, after a target refused one as invalid
}

// requestRow is one queued request.
type requestRow struct {
	Request
	sequence uint64
	queuedAt Time
	onTimeTo Time // the first event is late after this
	giveUpAt Time // an answer is of no use when it starts later
	deadline Time
	adapter  *adapterRow
}

// runRow is one granted request.
type runRow struct {
	request  *requestRow
	target   *targetRow
	granted  Time
	expected Time // duration until the first event
	cost     Time // reading the prompt
	uncached int  // tokens to read
	alone    bool // nothing else was being read
	started  bool // the first event was seen
}

// recentAdapters remembers the adapters that a target dropped last, which it can
// load again from its own memory.
type recentAdapters struct {
	order []Adapter // oldest first
}

func (r *recentAdapters) add(a Adapter) {
	r.remove(a)
	r.order = append(r.order, a)
	if len(r.order) > rememberedAdapters {
		r.order = r.order[1:]
	}
}

func (r *recentAdapters) remove(a Adapter) {
	if i := slices.Index(r.order, a); i >= 0 {
		r.order = slices.Delete(r.order, i, i+1)
	}
}

func (r *recentAdapters) has(a Adapter) bool { return slices.Contains(r.order, a) }
