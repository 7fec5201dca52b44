package core

import (
	"math"
	"time"
)

// demandHalfLife is the time in which the weight of a past request halves. It is
// several times the time of a load, so that a short burst does not displace an
// adapter in steady use, and short enough to follow shifts of demand within a
// minute.
const demandHalfLife = 20 * time.Second

// decayingCount is a count whose past entries lose weight with time. The decay is
// computed on use, so that idle adapters cost nothing per tick.
type decayingCount struct {
	value float64
	at    Time
}

// valueAt returns the decayed count at a time.
func (d *decayingCount) valueAt(now Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now-d.at)/float64(demandHalfLife))
}

// add adds an amount at a time.
func (d *decayingCount) add(now Time, amount float64) {
	d.value = d.valueAt(now) + amount
	d.at = now
}

const (
	// sweepRows is the number of adapter rows that a tick checks for idleness. It
	// is constant, so that ticks do not become slower with more idle adapters.
	sweepRows = 4
	// idleDemand is the decayed number of requests below which the row of an
	// adapter is removed, about seven half-lives after a single last request.
	idleDemand = 0.01
)

// runIdleSweep removes the rows of idle adapters. It checks sweepRows rows per
// tick.
func (c *Core) runIdleSweep(now Time) {
	for range min(sweepRows, len(c.adapterRows)) {
		if c.sweepIndex >= len(c.adapterRows) {
			c.sweepIndex = 0
		}
		if row := c.adapterRows[c.sweepIndex]; !row.idle(now) {
			c.sweepIndex++
			continue
		}
		delete(c.adapters, c.adapterRows[c.sweepIndex].key)
		last := len(c.adapterRows) - 1
		c.adapterRows[c.sweepIndex] = c.adapterRows[last]
		c.adapterRows[last] = nil
		c.adapterRows = c.adapterRows[:last]
	}
}

// idle reports whether nothing refers to the row and its demand has decayed.
func (a *adapterRow) idle(now Time) bool {
	return a.waiting == 0 && len(a.slots) == 0 && !a.dirty && !a.awaitingLoad && a.demand.valueAt(now) < idleDemand
}
