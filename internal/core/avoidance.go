package core

import (
	"slices"
	"time"
)

const (
	// lateLoad is the time after which a load counts as hanging. It is several
	// times the time of a load while the weights store is not overloaded.
	lateLoad = 2 * time.Second
	// loadAvoidance is the time for which a target gets no loads after one failed.
	loadAvoidance = 5 * time.Second
)

// loadsTroubled reports whether a load failed on the target lately or hangs.
func (t *targetRow) loadsTroubled(now Time) bool {
	if t.loadFailed && now-t.loadFailedAt < loadAvoidance {
		return true
	}
	return slices.ContainsFunc(t.slots, func(s *slotRow) bool {
		return s.state == slotLoading && s.intent != nil && s.intent.phase >= intentSent && now-s.intent.sentAt > lateLoad
	})
}

// avoided reports whether loads go to other targets. A target whose loads fail or
// hang would otherwise draw each new load, because its slots stay free.
func (c *Core) avoided(now Time, t *targetRow) bool {
	return t.loadsTroubled(now) && slices.ContainsFunc(c.targets, func(other *targetRow) bool {
		return other.open() && other.info.BaseModel == t.info.BaseModel && other.info.Class == t.info.Class &&
			!other.loadsTroubled(now)
	})
}
