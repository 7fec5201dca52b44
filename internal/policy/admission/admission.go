package admission

import "time"

// Arrival describes a new request at the moment it is queued. A density is the
// worth of requests per unit of estimated work.
type Arrival struct {
	Slack        time.Duration // time left until the answer is due
	ServiceTime  time.Duration // expected time from dispatch to the whole answer, zero if unknown
	ExpectedWait time.Duration // expected wait in the queue, zero if unknown
	Density      float64       // density of the new request
	QueueDensity float64       // density of all queued requests of the organisation, zero if there are none
}

// Policy decides when a request is refused without having been run.
type Policy interface {
	// LatestStart returns the time from which a request that is still queued
	// is refused. Both due, the deadline, and the result are offsets from the
	// same origin; service is the expected service time.
	LatestStart(due, service time.Duration) time.Duration
	// Refuse reports whether a new request is refused on arrival.
	Refuse(a Arrival) bool
}

// DeadlineOnly refuses a request only once its deadline has passed.
type DeadlineOnly struct{}

// LatestStart implements Policy.
func (DeadlineOnly) LatestStart(due, _ time.Duration) time.Duration { return due }

// Refuse implements Policy.
func (DeadlineOnly) Refuse(Arrival) bool { return false }

const (
	// serviceTimeFactor scales the expected service time to the time that must
	// remain until the deadline. It is above 1 because answer lengths vary
	// several-fold within a kind: with 0.9, 8% of the worth offered at peak load
	// was answered late, and late answers use up capacity as well.
	serviceTimeFactor = 1.3
	// expectedWaitFactor scales the expected wait of a new request. It is below 1
	// because requests ahead in the queue may be cancelled or refused before they
	// are dispatched.
	expectedWaitFactor = 0.7
	// exemptDensityRatio is the least ratio of a request's density to the density
	// of the organisation's queue at which the expected wait is ignored, because
	// the request overtakes others in the queue.
	exemptDensityRatio = 1.5
)

// Early refuses a request as soon as it is not expected to be answered by its
// deadline.
type Early struct{}

// LatestStart implements Policy.
func (Early) LatestStart(due, service time.Duration) time.Duration {
	return due - scale(service, serviceTimeFactor)
}

// Refuse implements Policy.
func (Early) Refuse(a Arrival) bool {
	service := scale(a.ServiceTime, serviceTimeFactor)
	if service > a.Slack {
		return true
	}
	if a.QueueDensity > 0 && a.Density >= exemptDensityRatio*a.QueueDensity {
		return false
	}
	return service+scale(a.ExpectedWait, expectedWaitFactor) > a.Slack
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
