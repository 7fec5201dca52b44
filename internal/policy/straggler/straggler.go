package straggler

import (
	"slices"
	"time"
)

// Detector tells which targets, named by small indexes, are slow.
type Detector interface {
	// Observe enters the ratio of an observed time to the expected time.
	Observe(target int, ratio float64)
	// Update recomputes which targets are slow and reports whether that changed.
	Update() bool
	// Slow reports whether new work avoids the target.
	Slow(target int) bool
	// Probe reports whether a slow target may get one request now.
	Probe(target int, now time.Duration) bool
	// Probed enters that the target got a request as a probe.
	Probed(target int, now time.Duration)
	// Granted enters that a request got a permit on any target.
	Granted()
	// Reset forgets a target, after a restart.
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

// Probe implements Detector.
func (Off) Probe(int, time.Duration) bool { return true }

// Probed implements Detector.
func (Off) Probed(int, time.Duration) {}

// Granted implements Detector.
func (Off) Granted() {}

// Reset implements Detector.
func (Off) Reset(int) {}

const (
	// weight of a new observation; a straggler is noticed after a few.
	weight = 0.3
	// recoveryWeight of an observation of a slow target. Probes are rare, so
	// each one counts more.
	recoveryWeight = 0.5
	// slowRatio is the multiple of the other targets' median that makes a target slow.
	slowRatio = 2.0
	// normalRatio is the multiple below which it returns. The gap between the
	// two ratios prevents a target from changing state with every observation.
	normalRatio = 1.4
	// minimumTargets is the number of observed targets that a comparison needs. Of
	// two targets each is compared with the other.
	minimumTargets = 2
	// probeInterval is the least time between two probes of a slow target.
	probeInterval = time.Second
	// probeGrants is the least number of requests between two probes. With one
	// probe a second, probes alone were 3% of 30 requests/s and set the p99.
	probeGrants = 300
	// probeLongest is the time after which a target is probed in any case.
	probeLongest = 10 * time.Second
)

type targetRow struct {
	ratio    float64
	known    bool
	slow     bool
	probedAt time.Duration
	probed   bool
	grantsAt int     // grants at the last probe
	median   float64 // of the other targets at the last update
	fine     bool    // the last observation was normal, although the target counts as slow
}

// Median compares each target with the median of the others.
type Median struct {
	rows    []targetRow
	changed bool
	grants  int
	sorted  []float64 // ratios of the observed targets
}

func (m *Median) row(target int) *targetRow {
	for len(m.rows) <= target {
		m.rows = append(m.rows, targetRow{})
	}
	return &m.rows[target]
}

// Observe implements Detector.
func (m *Median) Observe(target int, ratio float64) {
	r := m.row(target)
	m.changed = true
	if !r.known {
		r.ratio, r.known = ratio, true
		return
	}
	w := weight
	if r.slow {
		w = recoveryWeight
		r.fine = ratio < normalRatio*r.median
	}
	r.ratio += w * (ratio - r.ratio)
}

// Update implements Detector.
func (m *Median) Update() bool {
	if !m.changed {
		return false
	}
	m.changed = false
	m.sortKnown()
	if len(m.sorted) < minimumTargets {
		return false
	}
	flipped := false
	for i := range m.rows {
		r := &m.rows[i]
		if !r.known {
			continue
		}
		median := m.medianWithout(r.ratio)
		slow := r.ratio > slowRatio*median || (r.slow && r.ratio > normalRatio*median)
		r.median = median
		if slow != r.slow {
			flipped = true
			r.slow, r.fine, r.probed, r.grantsAt = slow, false, false, m.grants
		}
	}
	return flipped
}

func (m *Median) sortKnown() {
	m.sorted = m.sorted[:0]
	for i := range m.rows {
		if m.rows[i].known {
			m.sorted = append(m.sorted, m.rows[i].ratio)
		}
	}
	slices.Sort(m.sorted)
}

// medianWithout returns the lower median of all ratios but one.
func (m *Median) medianWithout(ratio float64) float64 {
	middle := (len(m.sorted) - 2) / 2
	if at, _ := slices.BinarySearch(m.sorted, ratio); at <= middle {
		middle++
	}
	return m.sorted[middle]
}

// Slow implements Detector.
func (m *Median) Slow(target int) bool { return m.row(target).slow }

// Probe implements Detector. After a normal answer further probes follow at
// once, so that the target returns quickly.
func (m *Median) Probe(target int, now time.Duration) bool {
	r := m.row(target)
	if r.fine {
		return true
	}
	if !r.probed {
		r.probed, r.probedAt = true, now
		return false
	}
	since := now - r.probedAt
	return since >= probeLongest || (since >= probeInterval && m.grants-r.grantsAt >= probeGrants)
}

// Granted implements Detector.
func (m *Median) Granted() { m.grants++ }

// Probed implements Detector.
func (m *Median) Probed(target int, now time.Duration) {
	r := m.row(target)
	r.probed, r.probedAt, r.grantsAt = true, now, m.grants
}

// Reset implements Detector.
func (m *Median) Reset(target int) { *m.row(target) = targetRow{} }
