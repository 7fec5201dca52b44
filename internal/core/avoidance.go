package core

import (
	"slices"
	"time"
)

const (
	// loadHangTime is the time after which a load order without a result counts as
	// hanging. It is several times the time of a load from a weights store that is
	// not overloaded.
	loadHangTime = 2 * time.Second
	// loadFailureAvoidance is the time for which a target gets no loads after a load
	// failed on it, if another target can take them.
	loadFailureAvoidance = 5 * time.Second
)

// hasLoadTrouble reports whether a load failed on the target within
// loadFailureAvoidance or hangs now.
func (t *targetRow) hasLoadTrouble(now Time) bool {
	if t.loadFailed && now-t.loadFailedAt < loadFailureAvoidance {
		return true
	}
	return slices.ContainsFunc(t.slots, func(s *slotRow) bool {
		return s.state == slotLoading && s.intent != nil && s.intent.phase >= intentSent && now-s.intent.sentAt > loadHangTime
	})
}

// avoidsLoads reports whether a target gets no loads because of load trouble. A
// target whose loads fail or hang would otherwise attract every new load, because
// its slots stay free. It gets loads again if every target of its class and base
// model that accepts work has load trouble.
func (c *Core) avoidsLoads(now Time, t *targetRow) bool {
	return t.hasLoadTrouble(now) && slices.ContainsFunc(c.targets, func(other *targetRow) bool {
		return other.acceptsWork() && other.info.BaseModel == t.info.BaseModel && other.info.Class == t.info.Class &&
			!other.hasLoadTrouble(now)
	})
}
