package queueing

import "cicadaslip/internal/policy/shares"

// Head is the first request of one list of queued requests.
type Head struct {
	Sequence     uint64 // order of arrival
	Organisation int
	Long         bool
	Urgent       bool    // must start soon to be answered in time
	Work         float64 // token equivalents
	Worth        float64
	Due          int64 // ns
}

// Policy orders the requests that could run now.
type Policy interface {
	// Less reports whether a is granted before b.
	Less(a, b *Head) bool
	// SetShare sets an organisation's part of the capacity.
	SetShare(organisation int, share float64)
	// SetCapacity tells how many requests the targets serve at the same time.
	SetCapacity(concurrency int)
	// Granted enters the predicted work of a granted request.
	Granted(organisation int, work float64)
	// Corrected enters the difference of done and predicted work.
	Corrected(organisation int, difference float64)
	// LongLimit returns the number of long requests that a target may run.
	LongLimit(concurrency int) int
	// Priority returns the engine priority, 0 is the most urgent.
	Priority(long bool) int
}

// FIFO grants in order of arrival.
type FIFO struct{}

// Less implements Policy.
func (FIFO) Less(a, b *Head) bool { return a.Sequence < b.Sequence }

// SetShare implements Policy.
func (FIFO) SetShare(int, float64) {}

// SetCapacity implements Policy.
func (FIFO) SetCapacity(int) {}

// Granted implements Policy.
func (FIFO) Granted(int, float64) {}

// Corrected implements Policy.
func (FIFO) Corrected(int, float64) {}

// LongLimit implements Policy.
func (FIFO) LongLimit(concurrency int) int { return concurrency }

// Priority implements Policy.
func (FIFO) Priority(bool) int { return 0 }

// creditPerRequest is the work, in token equivalents per request that the
// targets serve at the same time, that an idle organisation is repaid. It
// corresponds to a few seconds of generation.
const creditPerRequest = 100

// Fair grants to the organisation that received the least work relative to its
// share. Within an organisation short requests go before long ones that are not
// urgent, then those with the greatest worth per work, then urgent ones. Urgent
// short requests do not go first: when more is queued than can be answered, they
// would take the capacity of requests that are worth more.
type Fair struct {
	ledger   shares.Ledger
	longPart float64
}

// NewFair returns a Fair policy that lets long requests occupy a part of each
// target's concurrency.
func NewFair(longPart float64) *Fair { return &Fair{longPart: longPart} }

// Less implements Policy.
func (f *Fair) Less(a, b *Head) bool {
	if a.Organisation != b.Organisation {
		pa, pb := f.ledger.Position(a.Organisation), f.ledger.Position(b.Organisation)
		if pa != pb {
			return pa < pb
		}
	}
	if a.Long != b.Long {
		if long := longOf(a, b); long.Urgent {
			return long == a
		}
		return b.Long
	}
	if da, db := a.Worth*b.Work, b.Worth*a.Work; da != db {
		return da > db
	}
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.Due != b.Due {
		return a.Due < b.Due
	}
	return a.Sequence < b.Sequence
}

// longOf returns the long one of two requests.
func longOf(a, b *Head) *Head {
	if a.Long {
		return a
	}
	return b
}

// SetShare implements Policy.
func (f *Fair) SetShare(organisation int, share float64) { f.ledger.SetShare(organisation, share) }

// SetCapacity implements Policy.
func (f *Fair) SetCapacity(concurrency int) {
	f.ledger.SetCredit(creditPerRequest * float64(concurrency))
}

// Granted implements Policy.
func (f *Fair) Granted(organisation int, work float64) { f.ledger.Charge(organisation, work) }

// Corrected implements Policy.
func (f *Fair) Corrected(organisation int, difference float64) {
	f.ledger.Correct(organisation, difference)
}

// LongLimit implements Policy.
func (f *Fair) LongLimit(concurrency int) int { return max(1, int(f.longPart*float64(concurrency))) }

// Priority implements Policy.
func (f *Fair) Priority(long bool) int {
	if long {
		return 1
	}
	return 0
}
