package queueing

import "cicadaslip/internal/policy/shares"

// Head describes the first request of one queue.
type Head struct {
	Sequence     uint64  // order of arrival
	Organisation int     // index of the organisation
	Long         bool    // whether the request is predicted to take long
	Urgent       bool    // whether the request must start soon to meet its deadline
	Work         float64 // predicted work in token equivalents
	Worth        float64 // value of an answer in time
	Due          int64   // deadline in nanoseconds
}

// Policy orders the requests that could run now.
type Policy interface {
	// Less reports whether a is granted before b.
	Less(a, b *Head) bool
	// SetShare sets an organisation's share of the capacity, from 0 to 1.
	SetShare(organisation int, share float64)
	// SetCapacity sets how many requests all targets together serve concurrently.
	SetCapacity(concurrency int)
	// RecordGrant records the predicted work of a granted request.
	RecordGrant(organisation int, work float64)
	// CorrectWork records the actual minus the predicted work of a finished request.
	CorrectWork(organisation int, difference float64)
	// MaxLongRequests returns the number of long requests that a target with a given
	// concurrency may run at the same time.
	MaxLongRequests(concurrency int) int
	// Priority returns the priority of a request on the engine; 0 is the most urgent.
	Priority(long bool) int
}

// FIFO grants requests in order of arrival.
type FIFO struct{}

// Less implements Policy.
func (FIFO) Less(a, b *Head) bool { return a.Sequence < b.Sequence }

// SetShare implements Policy.
func (FIFO) SetShare(int, float64) {}

// SetCapacity implements Policy.
func (FIFO) SetCapacity(int) {}

// RecordGrant implements Policy.
func (FIFO) RecordGrant(int, float64) {}

// CorrectWork implements Policy.
func (FIFO) CorrectWork(int, float64) {}

// MaxLongRequests implements Policy.
func (FIFO) MaxLongRequests(concurrency int) int { return concurrency }

// Priority implements Policy.
func (FIFO) Priority(bool) int { return 0 }

// creditPerSlot is the work that an organisation is repaid after it was idle, in
// token equivalents per request that the targets serve concurrently. It corresponds
// to a few seconds of generation.
const creditPerSlot = 100

// Fair grants to the organisation that has received the least work relative to its
// share. Within an organisation, urgent long requests are granted first, then short
// requests, then the remaining long ones; among those, requests with more worth per
// work, then urgent ones, then those that are due earlier. Urgency of short requests
// does not rank above their worth: when more is queued than can be answered in time,
// urgent requests would take the capacity of requests that are worth more.
type Fair struct {
	ledger    shares.Ledger
	longShare float64
}

// NewFair returns a Fair policy that lets long requests occupy at most a share of
// each target's concurrency, from 0 to 1, but at least one slot.
func NewFair(longShare float64) *Fair { return &Fair{longShare: longShare} }

// Less implements Policy.
func (f *Fair) Less(a, b *Head) bool {
	if a.Organisation != b.Organisation {
		timeA, timeB := f.ledger.VirtualTime(a.Organisation), f.ledger.VirtualTime(b.Organisation)
		if timeA != timeB {
			return timeA < timeB
		}
	}
	if a.Long != b.Long {
		if long := longRequest(a, b); long.Urgent {
			return long == a
		}
		return b.Long
	}
	if worthA, worthB := a.Worth*b.Work, b.Worth*a.Work; worthA != worthB {
		return worthA > worthB
	}
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.Due != b.Due {
		return a.Due < b.Due
	}
	return a.Sequence < b.Sequence
}

// longRequest returns the long request of two of which exactly one is long.
func longRequest(a, b *Head) *Head {
	if a.Long {
		return a
	}
	return b
}

// SetShare implements Policy.
func (f *Fair) SetShare(organisation int, share float64) { f.ledger.SetShare(organisation, share) }

// SetCapacity implements Policy.
func (f *Fair) SetCapacity(concurrency int) {
	f.ledger.SetCredit(creditPerSlot * float64(concurrency))
}

// RecordGrant implements Policy.
func (f *Fair) RecordGrant(organisation int, work float64) { f.ledger.Charge(organisation, work) }

// CorrectWork implements Policy.
func (f *Fair) CorrectWork(organisation int, difference float64) {
	f.ledger.Correct(organisation, difference)
}

// MaxLongRequests implements Policy.
func (f *Fair) MaxLongRequests(concurrency int) int {
	return max(1, int(f.longShare*float64(concurrency)))
}

// Priority implements Policy.
func (f *Fair) Priority(long bool) int {
	if long {
		return 1
	}
	return 0
}
