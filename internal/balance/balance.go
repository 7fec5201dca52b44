// Package balance chooses among the targets of a plain service by what this VM
// has seen of them: its own open requests, the load that answers tell, how long
// connecting and answers take, and failures. It is pure: the caller gives the
// time.
package balance

import (
	"slices"
	"time"

	"cicadaslip/internal/fleet"
)

// Time is the time since an arbitrary start.
type Time = time.Duration

const (
	// Expected times before anything was observed.
	firstAnswer = 40 * time.Millisecond
	// Expected times to connect, by distance.
	sameDataCentre = time.Millisecond
	sameRegion     = 4 * time.Millisecond
	otherRegion    = 25 * time.Millisecond

	observedWeight = 0.2
	// loadMemory is the time after which a reported load is not believed.
	loadMemory = 500 * time.Millisecond
	// firstPause is the time without new requests after a failure; it doubles
	// with each further failure up to longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// fullPause is the time without new requests after a refusal for lack of room.
	fullPause = 60 * time.Millisecond
	// failingShare is the share of failures from which a target is used only if
	// no other is left.
	failingShare = 0.4
)

// Outcome says how a request to a target ended.
type Outcome int

// Outcomes.
const (
	Answered  Outcome = iota
	Errored           // an answer that tells a failure of the request
	Failed            // no answer, or one that is broken
	Unsent            // no connection
	Full              // refused as not run
	Cancelled         // given up by this VM
)

// Load is what a target's answer tells of its load.
type Load struct {
	Running, Waiting, Slots int
	Slowness                float64 // 1 is usual
}

type row struct {
	info     fleet.Target
	open     int
	load     Load
	loadAt   Time
	connect  time.Duration
	answer   float64 // seconds
	failing  float64 // moving share of failures
	failures int     // in a row
	avoidTo  Time
}

// Balancer holds the targets of one service. It is not safe for concurrent use.
type Balancer struct {
	dataCentre string
	regions    map[string]string // of data centres
	rows       map[string]*row
}

// New returns a balancer for a VM in a data centre.
func New(dataCentre string, regions map[string]string) *Balancer {
	return &Balancer{dataCentre: dataCentre, regions: regions, rows: map[string]*row{}}
}

// SetTargets replaces the targets.
func (b *Balancer) SetTargets(targets []fleet.Target) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.ID] = true
		r := b.rows[t.ID]
		if r == nil || r.info.Born != t.Born {
			r = &row{connect: b.distance(t.DataCentre), answer: firstAnswer.Seconds()}
			b.rows[t.ID] = r
		}
		r.info = t
	}
	for id := range b.rows {
		if !listed[id] {
			delete(b.rows, id)
		}
	}
}

func (b *Balancer) distance(dataCentre string) time.Duration {
	switch {
	case dataCentre == b.dataCentre:
		return sameDataCentre
	case b.regions[dataCentre] == b.regions[b.dataCentre]:
		return sameRegion
	}
	return otherRegion
}

// Pick returns the target with the shortest expected answer and opens a request
// there. Targets that fail are used if no other is left.
func (b *Balancer) Pick(now Time, exclude []string) (fleet.Target, bool) {
	var best *row
	var bestTime time.Duration
	bestAvoided := false
	for id, r := range b.rows {
		if r.info.Leaving || slices.Contains(exclude, id) {
			continue
		}
		avoided := now < r.avoidTo || r.failing > failingShare
		expected := r.expected(now)
		better := best == nil || bestAvoided && !avoided ||
			avoided == bestAvoided && (expected < bestTime || expected == bestTime && id < best.info.ID)
		if better {
			best, bestTime, bestAvoided = r, expected, avoided
		}
	}
	if best == nil {
		return fleet.Target{}, false
	}
	best.open++
	return best.info, true
}

// expected is the time until an answer: two round trips, and the work, which
// takes longer while the slots are taken.
func (r *row) expected(now Time) time.Duration {
	busy := r.open
	slowness := 1.0
	if now-r.loadAt < loadMemory && r.load.Slots > 0 {
		busy = max(busy, r.load.Running+r.load.Waiting-1)
		slowness = max(0.5, r.load.Slowness)
	}
	slots := float64(max(1, r.info.Slots))
	crowd := max(1, (float64(busy)+1)/slots)
	crowd += 0.3 * min(1, float64(busy)/slots)
	return 2*r.connect + time.Duration(r.answer*slowness*crowd*float64(time.Second))
}

// Expected returns the usual time of an answer of a target, for hedging.
func (b *Balancer) Expected(id string) time.Duration {
	if r := b.rows[id]; r != nil {
		return 2*r.connect + time.Duration(r.answer*float64(time.Second))
	}
	return firstAnswer
}

// Report enters a load that a target has told.
func (b *Balancer) Report(now Time, id string, load Load) {
	if r := b.rows[id]; r != nil {
		r.load, r.loadAt = load, now
	}
}

// Connected enters the time that a connection took.
func (b *Balancer) Connected(id string, took time.Duration) {
	if r := b.rows[id]; r != nil {
		r.connect += time.Duration(observedWeight * float64(took-r.connect))
	}
}

// Close ends a request that Pick has opened.
func (b *Balancer) Close(now Time, id string, outcome Outcome, took time.Duration) {
	r := b.rows[id]
	if r == nil {
		return
	}
	r.open = max(0, r.open-1)
	switch outcome {
	case Answered:
		r.failures, r.avoidTo = 0, 0
		r.failing -= observedWeight * r.failing
		r.answer += observedWeight * (max(0, took-2*r.connect).Seconds() - r.answer)
	case Errored:
		r.failures = 0
		r.failing += observedWeight * (1 - r.failing)
	case Failed, Unsent:
		r.failures++
		r.failing += observedWeight * (1 - r.failing)
		r.avoidTo = now + min(longestPause, firstPause<<min(r.failures-1, 5))
	case Full:
		r.avoidTo = max(r.avoidTo, now+fullPause)
	case Cancelled:
	}
}
