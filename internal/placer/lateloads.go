package placer

import "time"

// maxOrderDelay is the time after which an unanswered order is no longer executed.
const maxOrderDelay = 15 * time.Second

// lateLoads records the loads that a target may still execute although they got no
// answer. A restart resets the target's count of accepted orders, so the precondition
// of a load that was sent before may match again. Polls are loads too: after a restart
// they load the adapter anew.
//
// A load is identified by its precondition, because the target executes at most one
// order with each.
type lateLoads struct {
	current  map[int64]lateLoad // loads sent since the last restart, by precondition
	previous map[int64]lateLoad // loads sent before
}

type lateLoad struct {
	at      Time // at which it got no answer
	adapter Adapter
}

// addUnanswered records a load without an answer.
func (l *lateLoads) addUnanswered(precondition int64, a Adapter, now Time) {
	l.current[precondition] = lateLoad{at: now, adapter: a}
}

// targetRestarted records a restart of the target.
func (l *lateLoads) targetRestarted() {
	for precondition, load := range l.current {
		if load.at >= l.previous[precondition].at {
			l.previous[precondition] = load
		}
	}
	clear(l.current)
}

// executableAfterNext returns what the loads from before a restart load that a target may
// still execute after the next order, given the number of orders that it has accepted
// since the restart.
func (l *lateLoads) executableAfterNext(acceptedOrders int64, now Time) []Adapter {
	var adapters []Adapter
	for precondition, load := range l.previous {
		switch {
		case now-load.at > maxOrderDelay || precondition < acceptedOrders:
			delete(l.previous, precondition)
		case precondition > acceptedOrders:
			adapters = append(adapters, load.adapter)
		}
	}
	return adapters
}

// expired reports whether none of the loads can be executed any more.
func (l *lateLoads) expired(now Time) bool {
	for _, loads := range []map[int64]lateLoad{l.current, l.previous} {
		for _, load := range loads {
			if now-load.at <= maxOrderDelay {
				return false
			}
		}
	}
	return true
}

// lateLoadsOf returns the late loads of a target. They outlive the target's state,
// because a target may be removed and come back under its ID after a restart.
func (c *Core) lateLoadsOf(target string) *lateLoads {
	l := c.lateLoads[target]
	if l == nil {
		l = &lateLoads{current: map[int64]lateLoad{}, previous: map[int64]lateLoad{}}
		c.lateLoads[target] = l
	}
	return l
}

// dropLateLoads removes the late loads of targets that are gone for long enough.
func (c *Core) dropLateLoads() {
	for target, l := range c.lateLoads {
		if c.targetsByID[target] == nil && l.expired(c.now) {
			delete(c.lateLoads, target)
		}
	}
}
