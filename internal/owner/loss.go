package owner

import (
	"math/rand/v2"
	"time"
)

// loss counts how often a group was lost to another VM shortly after a takeover
// and until when it is not taken over again. Two VMs that do not hear each other
// but both reach the store would otherwise take a group from each other without
// end.
type loss struct {
	count   int
	retryAt time.Time
}

const (
	firstLossPause = time.Second
	lastLossPause  = 64 * time.Second
	// steadyOwnership is the time after which a loss counts as a first one.
	steadyOwnership = time.Minute
)

// next returns the state after a loss of a group that was held for a time.
func (l loss) next(held time.Duration) loss {
	if held >= steadyOwnership {
		l.count = 0
	}
	pause := min(firstLossPause<<l.count, lastLossPause)
	pause += rand.N(pause)
	if firstLossPause<<l.count < lastLossPause {
		l.count++
	}
	return loss{count: l.count, retryAt: time.Now().Add(pause)}
}
