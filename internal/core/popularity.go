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
