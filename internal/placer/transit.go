package placer

import "time"

const (
	// minTransit is the smallest limit of concurrent loads from the weights store.
	minTransit = 4
	// transitGrowth is the growth of the limit with each load that was not slowed down
	// while most of the limit was in use.
	transitGrowth = 0.5
	// transitUse is the fraction of the limit that counts as most of it.
	transitUse = 0.7
	// slowedLoad is the ratio of the time of a load to that of an undisturbed one from
	// which the load counts as slowed down. The time until the last poll that found the load in
	// progress is shorter than the load by up to coldPollInterval and the delay of the poll.
	slowedLoad = 1.25
	// transitCorrection is the weight with which a slowed load corrects the limit.
	transitCorrection = 0.2
	// loneLoadUse is the fraction of the limit up to which a load counts as undisturbed.
	loneLoadUse = 0.4
	// undisturbedWeight is the weight of a load in the estimate of the undisturbed time.
	undisturbedWeight = 0.05
	// warmLoadRatio is the ratio of the time of a load to the undisturbed time below which
	// the adapter came from the target's memory. A new owner does not know what is there.
	warmLoadRatio = 0.5
)

// transitLimit limits the concurrent loads of adapters from the weights store. The store
// delivers a number of adapters at the same time at full speed, which is not known, and
// shares its rate among more. Loads beyond that number only slow down all loads, and
// fewer leave the store idle. The limit follows the observed load times.
type transitLimit struct {
	limit       float64
	undisturbed float64 // estimated time of a load that shares the store with few others, in seconds
}

func newTransitLimit(initial int) transitLimit {
	return transitLimit{limit: max(minTransit, float64(initial)), undisturbed: initialColdLoad.Seconds()}
}

// allows reports whether one more load may start while a number of them is under way.
func (l *transitLimit) allows(underWay int) bool { return float64(underWay) < l.limit }

// observe records a load that took between atLeast and atMost, and the number of loads that were
// under way at its start or at its end, whichever is larger. The limit does not exceed highest. A
// poll finds the end of a load. It waits for other orders to the target, which may be unanswered,
// so only a load that was found in progress after a long time shows that the store is slow.
func (l *transitLimit) observe(atLeast, atMost time.Duration, underWay int, highest float64) {
	longest := atMost.Seconds() / l.undisturbed
	if longest < warmLoadRatio {
		return
	}
	if longest < 1 || float64(underWay) <= loneLoadUse*l.limit {
		updateAverage(&l.undisturbed, atMost.Seconds(), undisturbedWeight)
	}
	shortest := atLeast.Seconds() / l.undisturbed
	switch {
	case shortest > slowedLoad:
		l.limit += transitCorrection * min(0, float64(underWay)/shortest-l.limit)
	case (shortest+longest)/2 <= slowedLoad && float64(underWay) >= transitUse*l.limit:
		l.limit += transitGrowth
	}
	l.limit = max(minTransit, min(l.limit, highest))
}
