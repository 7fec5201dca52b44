package straggler

import (
	"slices"
	"time"
)

// Detector decides which targets are slow. Targets are identified by small indexes.
type Detector interface {
	// Observe records the ratio of an observed time to the expected time.
	Observe(target int, ratio float64)
	// Update recomputes which targets are slow. It reports whether the result changed.
	Update() bool
	// Slow reports whether new requests should avoid the target.
	Slow(target int) bool
	// ShouldProbe reports whether a slow target may get a request as a probe now.
	ShouldProbe(target int, now time.Duration) bool
	// RecordProbe records that the target got a request as a probe.
	RecordProbe(target int, now time.Duration)
	// RecordGrant records that a request got a permit for any target.
	RecordGrant()
	// Reset discards what is known of a target after its restart.
	Reset(target int)
}

// Off treats no target as slow.
type Off struct{}

// Observe implements Detector.
func (Off) Observe(int, float64) {}

// Update implements Detector.
func (Off) Update() bool { return false }

// Slow implements Detector.
func (Off) Slow(int) bool { return false }

// ShouldProbe implements Detector.
func (Off) ShouldProbe(int, time.Duration) bool { return true }

// RecordProbe implements Detector.
func (Off) RecordProbe(int, time.Duration) {}

// RecordGrant implements Detector.
func (Off) RecordGrant() {}

// Reset implements Detector.
func (Off) Reset(int) {}

const (
	// observationWeight is the weight of a new observation in the average ratio of a
	// target. A straggler is detected after a few observations.
	observationWeight = 0.3
	// recoveryWeight is the weight of a new observation of a slow target. It is higher
	// because probes are rare.
	recoveryWeight = 0.5
	// slowRatio is the multiple of the other targets' median above which a target
	// becomes slow.
	slowRatio = 2.0
	// normalRatio is the multiple of the other targets' median at or below which a slow
	// target becomes normal again. It is lower than slowRatio so that a target does not
	// change state with every observation.
	normalRatio = 1.4
	// minTargets is the number of observed targets that a comparison needs. With two
	// targets, each is compared with the other.
	minTargets = 2
	// minProbeInterval is the minimum time between two probes of a slow target.
	minProbeInterval = time.Second
	// minGrantsBetweenProbes is the minimum number of granted requests between two
	// probes. With one probe a second, probes alone were 3% of 30 requests/s and
	// determined the p99 latency.
	minGrantsBetweenProbes = 300
	// maxProbeInterval is the time after which a target is probed regardless of the
	// number of granted requests.
	maxProbeInterval = 10 * time.Second
)

type targetState struct {
	ratio         float64 // moving average of the observed ratios
	observed      bool    // whether there was any observation
	slow          bool
	probedAt      time.Duration // last probe, or the first call of ShouldProbe since the target became slow
	probeTimeSet  bool          // whether probedAt is set
	grantsAtProbe int           // value of Median.grants at the last probe
	median        float64       // median ratio of the other targets at the last update
	lastNormal    bool          // whether the last observation of a slow target was normal
}

// Median compares the average ratio of each target with the median of the others.
type Median struct {
	targets            []targetState
	hasNewObservations bool
	grants             int       // granted requests on all targets
	sortedRatios       []float64 // average ratios of the observed targets
}

// stateOf returns the state of a target and creates it if needed.
func (m *Median) stateOf(target int) *targetState {
	for len(m.targets) <= target {
		m.targets = append(m.targets, targetState{})
	}
	return &m.targets[target]
}

// Observe implements Detector.
func (m *Median) Observe(target int, ratio float64) {
	state := m.stateOf(target)
	m.hasNewObservations = true
	if !state.observed {
		state.ratio, state.observed = ratio, true
		return
	}
	weight := observationWeight
	if state.slow {
		weight = recoveryWeight
		state.lastNormal = ratio < normalRatio*state.median
	}
	state.ratio += weight * (ratio - state.ratio)
}

// Update implements Detector.
func (m *Median) Update() bool {
	if !m.hasNewObservations {
		return false
	}
	m.hasNewObservations = false
	m.sortRatios()
	if len(m.sortedRatios) < minTargets {
		return false
	}
	changed := false
	for i := range m.targets {
		state := &m.targets[i]
		if !state.observed {
			continue
		}
		median := m.medianExcluding(state.ratio)
		slow := state.ratio > slowRatio*median || (state.slow && state.ratio > normalRatio*median)
		state.median = median
		if slow != state.slow {
			changed = true
			state.slow, state.lastNormal, state.probeTimeSet, state.grantsAtProbe = slow, false, false, m.grants
		}
	}
	return changed
}

// sortRatios sets sortedRatios to the present average ratios.
func (m *Median) sortRatios() {
	m.sortedRatios = m.sortedRatios[:0]
	for i := range m.targets {
		if m.targets[i].observed {
			m.sortedRatios = append(m.sortedRatios, m.targets[i].ratio)
		}
	}
	slices.Sort(m.sortedRatios)
}

// medianExcluding returns the lower median of sortedRatios without the given ratio.
func (m *Median) medianExcluding(ratio float64) float64 {
	middle := (len(m.sortedRatios) - 2) / 2
	if position, _ := slices.BinarySearch(m.sortedRatios, ratio); position <= middle {
		middle++
	}
	return m.sortedRatios[middle]
}

// Slow implements Detector.
func (m *Median) Slow(target int) bool { return m.stateOf(target).slow }

// ShouldProbe implements Detector. After a normal observation, further probes are
// allowed at once, so that the target recovers quickly.
func (m *Median) ShouldProbe(target int, now time.Duration) bool {
	state := m.stateOf(target)
	if state.lastNormal {
		return true
	}
	if !state.probeTimeSet {
		state.probeTimeSet, state.probedAt = true, now
		return false
	}
	sinceProbe := now - state.probedAt
	return sinceProbe >= maxProbeInterval || (sinceProbe >= minProbeInterval && m.grants-state.grantsAtProbe >= minGrantsBetweenProbes)
}

// RecordGrant implements Detector.
func (m *Median) RecordGrant() { m.grants++ }

// RecordProbe implements Detector.
func (m *Median) RecordProbe(target int, now time.Duration) {
	state := m.stateOf(target)
	state.probeTimeSet, state.probedAt, state.grantsAtProbe = true, now, m.grants
}

// Reset implements Detector.
func (m *Median) Reset(target int) { *m.stateOf(target) = targetState{} }
