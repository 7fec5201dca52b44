package core

import "time"

// Defaults of Params.
const (
	DefaultQueueBound        = 4096
	DefaultOrganisationBound = 1024
	DefaultStateInterval     = 5 * time.Second
	DefaultStateRetry        = 50 * time.Millisecond
	DefaultConfirmRetry      = 200 * time.Millisecond
	DefaultLoadLimit         = 10 * time.Second
	DefaultLoadBackoff       = 500 * time.Millisecond
	DefaultBusyInterval      = 5 * time.Millisecond
	DefaultIdleInterval      = 50 * time.Millisecond
	DefaultServiceHold       = 10 * time.Second
	DefaultMaxLoadAsks       = 8
	DefaultLongTokens        = 400
	DefaultLongPerTarget     = 0.5
	DefaultEvictRetries      = 3
)

// Params are the settings of a core. Zero fields take the defaults.
type Params struct {
	// Group is the name of the target group, copied into permits.
	Group string
	// QueueBound is the greatest number of queued requests.
	QueueBound int
	// OrganisationBound is the greatest number of queued requests of one organisation.
	OrganisationBound int
	// StateInterval is the time between routine state queries to one target.
	StateInterval time.Duration
	// StateRetry is the least time between two state queries to one target.
	StateRetry time.Duration
	// ConfirmRetry is the time between two epoch confirmations asked of one VM.
	ConfirmRetry time.Duration
	// LoadLimit is the time after which a load without a result counts as failed.
	LoadLimit time.Duration
	// LoadBackoff is the time before an adapter is tried again on a target where its load failed.
	LoadBackoff time.Duration
	// BusyInterval is the time between ticks while requests are queued.
	BusyInterval time.Duration
	// IdleInterval is the time between ticks while nothing is queued.
	IdleInterval time.Duration
	// ServiceHold is the time for which a gone holder's call occupies a service target that states nothing.
	ServiceHold time.Duration
	// MaxLoadAsks is the greatest number of load permits asked for at the same time.
	MaxLoadAsks int
	// LongTokens is the predicted output length in tokens from which a request counts as long.
	LongTokens int
	// LongPerTarget is the greatest part of a target's concurrency that long requests occupy.
	LongPerTarget float64
	// EvictRetries is the number of statements that show an adapter as still
	// resident before an evict order without a result is sent again.
	EvictRetries int
	// Policies selects the implementation of each decision.
	Policies Policies
}

func (p Params) withDefaults() Params {
	setInt(&p.QueueBound, DefaultQueueBound)
	setInt(&p.OrganisationBound, DefaultOrganisationBound)
	setInt(&p.MaxLoadAsks, DefaultMaxLoadAsks)
	setInt(&p.LongTokens, DefaultLongTokens)
	setInt(&p.EvictRetries, DefaultEvictRetries)
	setDuration(&p.StateInterval, DefaultStateInterval)
	setDuration(&p.StateRetry, DefaultStateRetry)
	setDuration(&p.ConfirmRetry, DefaultConfirmRetry)
	setDuration(&p.LoadLimit, DefaultLoadLimit)
	setDuration(&p.LoadBackoff, DefaultLoadBackoff)
	setDuration(&p.BusyInterval, DefaultBusyInterval)
	setDuration(&p.IdleInterval, DefaultIdleInterval)
	setDuration(&p.ServiceHold, DefaultServiceHold)
	if p.LongPerTarget == 0 {
		p.LongPerTarget = DefaultLongPerTarget
	}
	return p
}

func setInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
