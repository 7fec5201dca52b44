package hedge

import (
	"slices"
	"time"
)

// Denial is the reason for which a request is not hedged, empty if it is.
type Denial string

// The reasons.
const (
	LimitReached Denial = "limit"        // the hedges of the last minute or seconds have reached the limit
	NoRetry      Denial = "retry_budget" // the retry budget of the service is used up
	NoCapacity   Denial = "capacity"     // the service is short of capacity
	NoOwner      Denial = "no_owner"     // no owner of a target group responds
	NoTarget     Denial = "no_target"    // no further target may take the request
	OverQuota    Denial = "quota"        // the organisation is out of quota
	MayCrash     Denial = "crash"        // the request may crash targets
	ShuttingDown Denial = "shutdown"     // this VM is shutting down
)

// Conditions are the reasons against a hedge that do not depend on earlier hedges.
type Conditions struct {
	ShuttingDown bool // this VM is shutting down
	MayCrash     bool // the request may crash targets
	OverQuota    bool // the organisation is out of quota
	NoCapacity   bool // no target of the service is known to have a free slot
}

const (
	// minQuantile and maxQuantile bound the quantile of the latency after which requests are
	// hedged. In between, it is the one that as many requests exceed as the limit allows.
	minQuantile, maxQuantile = 90.0, 99.0
	// The delay lies between minMedians and maxMedians medians, in medianUnits. Below, the second
	// attempt, which takes about a median, would end after the first one. Above, a slow target that
	// answers more requests than the quantile leaves out would set the delay by its own latency.
	minMedians, maxMedians, medianUnit = 3, 6, 2
	// minDelay is the shortest delay. A VM with a small part of a core may be held up for
	// longer by its own processor than by a target that answers within a few milliseconds.
	minDelay = 30 * time.Millisecond
	// minSamples is the number of latencies from which a delay is derived.
	minSamples = 40
	// The latencies of the last sampleWindows times sampleTime count.
	sampleWindows, sampleTime = 4, 15 * time.Second
	// refreshTime is the time for which a derived delay is kept, because it is asked for with
	// each request.
	refreshTime = 500 * time.Millisecond
	// capacityPause is the time without hedges after the service was found short of capacity,
	// so that hedges cost an overloaded owner at most a few questions.
	capacityPause = 300 * time.Millisecond
	// Latencies are kept in thousandths of the expected one.
	resolution, maxRelative = 1000, 100_000
)

// sizes are the expected latencies up to which requests count as similar. What is usual for short
// requests tells little of long ones: estimates are more often too low for them.
var sizes = [...]time.Duration{Overlap, time.Second}

// Policy decides on the hedges of one service on one VM. It is not safe for concurrent use.
type Policy struct {
	limit       float64
	window      window
	latencies   [len(sizes) + 1]*latencies // by the expected latency, nil until there are any
	pausedUntil time.Duration
}

// New returns a policy with a limit for the hedges, as a share of the requests.
func New(limit float64) *Policy {
	return &Policy{limit: limit}
}

// CountRequest counts a request of the service.
func (p *Policy) CountRequest(now time.Duration) { p.window.requests[p.window.advance(now)]++ }

// Observe records the latency of a first attempt, and whether it has answered. One that was left counts
// with the time until then. Latencies are compared relative to the expected one, so that requests of
// different sizes tell of each other.
func (p *Policy) Observe(now, took, expected time.Duration, answered bool) {
	p.similar(expected).observe(now, resolution*float64(took)/float64(max(1, expected)), answered)
}

// similar returns the latencies of requests of the size of one with an expected latency.
func (p *Policy) similar(expected time.Duration) *latencies {
	i, _ := slices.BinarySearch(sizes[:], expected)
	if p.latencies[i] == nil {
		p.latencies[i] = newLatencies()
	}
	return p.latencies[i]
}

// Delay returns the time after which a request with an expected latency is hedged. leaves tells that
// its first attempt is left after a further Overlap: if the second one usually takes longer, the delay
// is one after which leaving the first one rarely makes the answer later. Delay reports false if there
// is none, and while too few latencies are known.
func (p *Policy) Delay(now, expected time.Duration, leaves bool) (time.Duration, bool) {
	l := p.similar(expected)
	l.derive(now, p.limit)
	delay := l.delay
	if overlap := resolution * float64(Overlap) / float64(max(1, expected)); leaves && l.median > overlap {
		delay = l.leaveDelay(overlap)
	}
	return max(minDelay, time.Duration(delay/resolution*float64(expected))), delay > 0
}

// Take reports why a request may not be hedged now. If it may, the hedge counts.
func (p *Policy) Take(now time.Duration, c Conditions) Denial {
	current := p.window.advance(now)
	switch {
	case c.ShuttingDown:
		return ShuttingDown
	case c.MayCrash:
		return MayCrash
	case c.OverQuota:
		return OverQuota
	case c.NoCapacity, now < p.pausedUntil:
		return NoCapacity
	case !p.window.allows(p.limit):
		return LimitReached
	}
	p.window.hedges[current]++
	return ""
}

// Return gives back a hedge that was taken at a time and that no target has received.
func (p *Policy) Return(now, takenAt time.Duration) {
	p.window.advance(now)
	slot := int64(takenAt / slotTime)
	if i := slot % (longSlots + 1); p.window.slot-slot <= longSlots && p.window.hedges[i] > 0 {
		p.window.hedges[i]--
	}
}

// Short records that the service was found short of capacity by a hedge.
func (p *Policy) Short(now time.Duration) { p.pausedUntil = now + capacityPause }
