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
	// minimumTargets is the number of observed targets that a median needs.
	minimumTargets = 3
	// probeInterval is the time between two probes of a slow target.
	probeInterval = time.Second
)

type targetRow struct {
	ratio    float64
	known    bool
	slow     bool
	probedAt time.Duration
	probed   bool
}

// Median compares each target with the median of the others.
type Median struct {
	rows    []targetRow
	changed bool
	scratch []float64
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
	}
	r.ratio += w * (ratio - r.ratio)
}

// Update implements Detector.
func (m *Median) Update() bool {
	if !m.changed {
		return false
	}
	m.changed = false
	flipped := false
	for i := range m.rows {
		r := &m.rows[i]
		median, known := m.medianOfOthers(i)
		if !r.known || !known {
			continue
		}
		slow := r.ratio > slowRatio*median || (r.slow && r.ratio > normalRatio*median)
		flipped = flipped || slow != r.slow
		r.slow = slow
	}
	return flipped
}

func (m *Median) medianOfOthers(target int) (float64, bool) {
	m.scratch = m.scratch[:0]
	for i := range m.rows {
		if i != target && m.rows[i].known {
			m.scratch = append(m.scratch, m.rows[i].ratio)
		}
	}
	if len(m.scratch) < minimumTargets-1 {
		return 0, false
	}
	slices.Sort(m.scratch)
	return m.scratch[(len(m.scratch)-1)/2], true
}

// Slow implements Detector.
func (m *Median) Slow(target int) bool { return m.row(target).slow }

// Probe implements Detector.
func (m *Median) Probe(target int, now time.Duration) bool {
	r := m.row(target)
	return !r.probed || now-r.probedAt >= probeInterval
}

// Probed implements Detector.
func (m *Median) Probed(target int, now time.Duration) {
	r := m.row(target)
	r.probed, r.probedAt = true, now
}

// Reset implements Detector.
func (m *Median) Reset(target int) { *m.row(target) = targetRow{} }
