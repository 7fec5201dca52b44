package admission

import "time"

// Arrival describes a new request at the moment it is queued.
type Arrival struct {
	Slack   time.Duration // until the answer is due
	Service time.Duration // expected, zero if unknown
	Wait    time.Duration // expected wait in the queue, zero if unknown
	Density float64       // worth per work
	Typical float64       // worth per work of the organisation's queued requests, zero if none
}

// Policy decides when a request is refused as not run.
type Policy interface {
	// LatestStart returns the time from which a grant is of no use.
	LatestStart(due, service time.Duration) time.Duration
	// Refuse reports whether a new request is refused at once.
	Refuse(a Arrival) bool
}

// DeadlineOnly refuses a request when its deadline has passed.
type DeadlineOnly struct{}

// LatestStart implements Policy.
func (DeadlineOnly) LatestStart(due, _ time.Duration) time.Duration { return due }

// Refuse implements Policy.
func (DeadlineOnly) Refuse(Arrival) bool { return false }

const (
	// serviceMargin is the part of the expected service time that must remain.
	// Above one, because lengths vary several times within a kind: with 0.9, 8%
	// of the worth offered at peaks was answered late, which costs capacity too.
	serviceMargin = 1.3
	// waitMargin is the part of the expected wait that counts on arrival.
	// Queued requests may be cancelled or refused before their turn.
	waitMargin = 0.7
	// preferred is the worth per work, relative to the organisation's queue,
	// from which a request is queued despite the wait, because it overtakes.
	preferred = 1.5
)

// Early refuses a request as soon as it cannot be answered in time.
type Early struct{}

// LatestStart implements Policy.
func (Early) LatestStart(due, service time.Duration) time.Duration {
	return due - scale(service, serviceMargin)
}

// Refuse implements Policy.
func (Early) Refuse(a Arrival) bool {
	service := scale(a.Service, serviceMargin)
	if service > a.Slack {
		return true
	}
	if a.Typical > 0 && a.Density >= preferred*a.Typical {
		return false
	}
	return service+scale(a.Wait, waitMargin) > a.Slack
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
