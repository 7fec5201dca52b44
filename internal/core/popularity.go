package core

import (
	"math"
	"time"
)

// demandHalfLife is the time in which the weight of a past request halves. It
// is several times the load time, so that a short burst does not displace a
// steady adapter, and short enough to follow shifts within a minute.
const demandHalfLife = 20 * time.Second

// decayed is a count whose past entries lose weight with time. It is brought
// up to date when it is used, so that idle adapters cost nothing per tick.
type decayed struct {
	value float64
	at    Time
}

func (d *decayed) read(now Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now-d.at)/float64(demandHalfLife))
}

func (d *decayed) add(now Time, amount float64) {
	d.value = d.read(now) + amount
	d.at = now
}

const (
	// sweepRows is the number of rows that a tick checks for idleness. It is
	// constant, so that idle adapters do not make ticks slower.
	sweepRows = 4
	// idleDemand is the decayed demand below which an adapter is forgotten,
	// about seven half-lives after its last request.
	idleDemand = 0.01
)

// runPopularity forgets adapters that have been idle for long, a few per tick.
func (c *Core) runPopularity(now Time) {
	for range min(sweepRows, len(c.rows)) {
		if c.hand >= len(c.rows) {
			c.hand = 0
		}
		if row := c.rows[c.hand]; !row.idle(now) {
			c.hand++
			continue
		}
		delete(c.adapters, c.rows[c.hand].key)
		last := len(c.rows) - 1
		c.rows[c.hand] = c.rows[last]
		c.rows[last] = nil
		c.rows = c.rows[:last]
	}
}

// idle reports whether nothing refers to the row and its demand has decayed.
func (a *adapterRow) idle(now Time) bool {
	return a.waiting == 0 && len(a.slots) == 0 && !a.dirty && !a.wanting && a.demand.read(now) < idleDemand
}
