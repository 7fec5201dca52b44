package owner

import (
	"math/rand/v2"
	"time"
)

// takeoverBackoff delays the next takeover of a group that was lost to another
// VM. Without it, two VMs that cannot reach each other but both reach the store
// would take the group from each other endlessly.
type takeoverBackoff struct {
	losses  int       // losses shortly after a takeover, until maxBackoff is reached
	retryAt time.Time // no takeover starts before this time
}

const (
	initialBackoff = time.Second
	// maxBackoff limits the delay before jitter, which at most doubles it.
	maxBackoff = 64 * time.Second
	// minStableOwnership is the duration of ownership after which a loss restarts
	// the backoff at initialBackoff.
	minStableOwnership = time.Minute
)

// afterLoss returns the backoff that applies after the loss of a group that this
// VM had owned for the given time.
func (b takeoverBackoff) afterLoss(ownedFor time.Duration) takeoverBackoff {
	if ownedFor >= minStableOwnership {
		b.losses = 0
	}
	delay := min(initialBackoff<<b.losses, maxBackoff)
	delay += rand.N(delay)
	if initialBackoff<<b.losses < maxBackoff {
		b.losses++
	}
	return takeoverBackoff{losses: b.losses, retryAt: time.Now().Add(delay)}
}
