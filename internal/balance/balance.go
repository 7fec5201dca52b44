// Package balance chooses among the targets of a plain service, based on what this
// VM has observed of them: its own open requests, the load that answers report, the
// times to connect and to answer, and failures. It reads no clock: callers pass in
// the time.
package balance

import (
	"math"
	"slices"
	"time"

	"cicadaslip/internal/fleet"
)

// Time is the time since an arbitrary start.
type Time = time.Duration

const (
	// initialAnswerTime is the expected answer time before the first observation.
	initialAnswerTime = 40 * time.Millisecond
	// Expected times to connect before the first observation, by distance.
	sameDataCentreConnect = time.Millisecond
	sameRegionConnect     = 4 * time.Millisecond
	otherRegionConnect    = 25 * time.Millisecond

	// observationWeight is the weight of a new observation in a moving average.
	observationWeight = 0.2
	// loadReportLifetime is how long a reported load is used.
	loadReportLifetime = 500 * time.Millisecond
	// minFailurePause is how long a target is avoided after a failure. The pause
	// doubles with each further failure in a row, up to maxFailurePause.
	minFailurePause = 250 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// refusalPause is how long a target is avoided after it has refused a request for
	// lack of capacity.
	refusalPause = 60 * time.Millisecond
	// brokenWeight is the weight of a broken or missing answer in the failure rate. It is
	// small, because the target is also avoided for a pause.
	brokenWeight = 0.04
	// failureCost is the delay of an answer that is accepted to avoid a failed request.
	failureCost = time.Second
	// failureHalfLife is the time in which the observed failure rate of a target halves
	// while no requests are sent to it, so that it is tried again.
	failureHalfLife = 4 * time.Second
)

// Outcome is the way in which a request to a target ended.
type Outcome int

// The outcomes.
const (
	Answered     Outcome = iota // a complete answer without a server error
	ServerError                 // a complete answer with a server error
	Failed                      // no answer or a broken one
	NotConnected                // the connection could not be opened, so the request was not sent
	Refused                     // the target stated that it did not run the request
	Cancelled                   // this VM cancelled the request
)

// Load is the load that a target reports with an answer.
type Load struct {
	Running, Waiting, Slots int     // numbers of requests
	Slowness                float64 // multiple of the usual processing time; 1 is usual
}

type targetState struct {
	target              fleet.Target
	openRequests        int // requests from this VM
	load                Load
	loadAt              Time          // when load was reported
	connectTime         time.Duration // moving average
	answerSeconds       float64       // moving average of the answer time without connecting
	failureRate         float64       // moving average, from 0 to 1, as of failureRateAt
	failureRateAt       Time
	consecutiveFailures int
	avoidUntil          Time // until when the target is used only if no other is left
}

// Balancer distributes requests over the targets of one service. It is not safe for
// concurrent use.
type Balancer struct {
	dataCentre string
	regions    map[string]string // region by data centre
	states     map[string]*targetState
}

// New returns a balancer for a VM in a data centre. The regions are keyed by data
// centre.
func New(dataCentre string, regions map[string]string) *Balancer {
	return &Balancer{dataCentre: dataCentre, regions: regions, states: map[string]*targetState{}}
}

// SetTargets replaces the set of targets. What was observed of a target is kept until
// the target restarts or is removed.
func (b *Balancer) SetTargets(targets []fleet.Target) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.ID] = true
		state := b.states[t.ID]
		if state == nil || state.target.Born != t.Born {
			state = &targetState{connectTime: b.initialConnectTime(t.DataCentre), answerSeconds: initialAnswerTime.Seconds()}
			b.states[t.ID] = state
		}
		state.target = t
	}
	for id := range b.states {
		if !listed[id] {
			delete(b.states, id)
		}
	}
}

// initialConnectTime returns the expected time to connect to a target in a data centre
// before the first observation.
func (b *Balancer) initialConnectTime(dataCentre string) time.Duration {
	switch {
	case dataCentre == b.dataCentre:
		return sameDataCentreConnect
	case b.regions[dataCentre] == b.regions[b.dataCentre]:
		return sameRegionConnect
	}
	return otherRegionConnect
}

// Pick returns the target with the lowest expected latency and counts an open request
// on it. Leaving and excluded targets are never picked; targets that fail or have
// refused a request are picked only if no other is left. It returns false if there is
// no target to pick.
func (b *Balancer) Pick(now Time, exclude []string) (fleet.Target, bool) {
	var best *targetState
	var bestLatency time.Duration
	bestAvoided := false
	for id, state := range b.states {
		if state.target.Leaving || slices.Contains(exclude, id) {
			continue
		}
		avoided := now < state.avoidUntil
		expectedLatency := state.expectedLatency(now)
		better := best == nil || bestAvoided && !avoided ||
			avoided == bestAvoided && (expectedLatency < bestLatency || expectedLatency == bestLatency && id < best.target.ID)
		if better {
			best, bestLatency, bestAvoided = state, expectedLatency, avoided
		}
	}
	if best == nil {
		return fleet.Target{}, false
	}
	best.openRequests++
	return best.target, true
}

// HasFreeSlot reports whether a target outside exclude, which is not avoided, has a free slot as
// far as this VM knows: from its own open requests and from what the target has reported lately.
func (b *Balancer) HasFreeSlot(now Time, exclude []string) bool {
	for id, s := range b.states {
		if s.target.Leaving || now < s.avoidUntil || slices.Contains(exclude, id) {
			continue
		}
		busy, slots := s.openRequests, max(1, s.target.Slots)
		if now-s.loadAt < loadReportLifetime && s.load.Slots > 0 {
			busy, slots = max(busy, s.load.Running+s.load.Waiting), s.load.Slots
		}
		if busy < slots {
			return true
		}
	}
	return false
}

// recentFailureRate returns the failure rate, which decays without observations.
func (s *targetState) recentFailureRate(now Time) float64 {
	return s.failureRate * math.Exp2(-float64(now-s.failureRateAt)/float64(failureHalfLife))
}

// observeFailure updates the failure rate with a request that failed (1) or did not (0).
func (s *targetState) observeFailure(now Time, failed, weight float64) {
	rate := s.recentFailureRate(now)
	s.failureRate, s.failureRateAt = rate+weight*(failed-rate), now
}

// expectedLatency returns the expected time until an answer: two round trips, the
// processing time, which grows with the number of busy slots, and the cost of failures.
func (s *targetState) expectedLatency(now Time) time.Duration {
	busy := s.openRequests
	slowness := 1.0
	if now-s.loadAt < loadReportLifetime && s.load.Slots > 0 {
		busy = max(busy, s.load.Running+s.load.Waiting-1)
		slowness = max(0.5, s.load.Slowness)
	}
	slots := float64(max(1, s.target.Slots))
	contention := max(1, (float64(busy)+1)/slots)
	contention += 0.3 * min(1, float64(busy)/slots)
	return 2*s.connectTime + time.Duration(s.answerSeconds*slowness*contention*float64(time.Second)) +
		time.Duration(s.recentFailureRate(now)*float64(failureCost))
}

// ExpectedLatency returns the usual time until an answer from a target, regardless of
// its present load. It is used for hedging.
func (b *Balancer) ExpectedLatency(id string) time.Duration {
	if state := b.states[id]; state != nil {
		return 2*state.connectTime + time.Duration(state.answerSeconds*float64(time.Second))
	}
	return initialAnswerTime
}

// ReportLoad records the load that a target has reported.
func (b *Balancer) ReportLoad(now Time, id string, load Load) {
	if state := b.states[id]; state != nil {
		state.load, state.loadAt = load, now
	}
}

// ObserveConnect records the time that it took to connect to a target.
func (b *Balancer) ObserveConnect(id string, took time.Duration) {
	if state := b.states[id]; state != nil {
		state.connectTime += time.Duration(observationWeight * float64(took-state.connectTime))
	}
}

// Finish records the end of a request that Pick has opened.
func (b *Balancer) Finish(now Time, id string, outcome Outcome, took time.Duration) {
	state := b.states[id]
	if state == nil {
		return
	}
	state.openRequests = max(0, state.openRequests-1)
	switch outcome {
	case Answered:
		state.consecutiveFailures, state.avoidUntil = 0, 0
		state.observeFailure(now, 0, observationWeight)
		state.answerSeconds += observationWeight * (max(0, took-2*state.connectTime).Seconds() - state.answerSeconds)
	case ServerError:
		state.consecutiveFailures = 0
		state.observeFailure(now, 1, observationWeight)
	case Failed, NotConnected:
		state.consecutiveFailures++
		state.observeFailure(now, 1, brokenWeight)
		state.avoidUntil = now + min(maxFailurePause, minFailurePause<<min(state.consecutiveFailures-1, 5))
	case Refused:
		state.avoidUntil = max(state.avoidUntil, now+refusalPause)
	case Cancelled:
	}
}
