package hedge

import "time"

const (
	// slotTime is the resolution of the windows in which requests and hedges are counted.
	slotTime = time.Second
	// longSlots is the window in which hedges never exceed the limit. It is long enough for a
	// VM with little traffic, whose requests of some seconds allow less than one hedge.
	longSlots = 60
	// shortSlots is the window in which hedges exceed the limit at most by being one. It keeps
	// what a quiet minute has left over from being spent at once. It is that of the retry budget.
	shortSlots = 10
)

// window counts requests and hedges in slots of slotTime: the current one and longSlots before it.
type window struct {
	requests, hedges [longSlots + 1]int
	slot             int64 // index of the current slot, counted from time 0
}

// advance moves to the slot of a time, clears the slots that come into use again, and returns the
// index of the current one.
func (w *window) advance(now time.Duration) int {
	slot := int64(now / slotTime)
	for w.slot < slot {
		w.slot = max(w.slot+1, slot-longSlots)
		w.requests[w.slot%(longSlots+1)], w.hedges[w.slot%(longSlots+1)] = 0, 0
	}
	return int(w.slot % (longSlots + 1))
}

// counts returns the hedges and requests of the last slots. The oldest slot began before the
// window: its hedges count and its requests do not, so that the limit holds in the window itself.
func (w *window) counts(slots int64) (requests, hedges int) {
	for i := range slots + 1 {
		if w.slot < i {
			break
		}
		index := (w.slot - i) % (longSlots + 1)
		hedges += w.hedges[index]
		if i < slots {
			requests += w.requests[index]
		}
	}
	return requests, hedges
}

// allows reports whether the limit allows one more hedge.
func (w *window) allows(limit float64) bool {
	requests, hedges := w.counts(longSlots)
	if float64(hedges+1) > limit*float64(requests) {
		return false
	}
	requests, hedges = w.counts(shortSlots)
	return float64(hedges+1) <= max(1, limit*float64(requests))
}
