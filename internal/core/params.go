package core

import "time"

// Defaults of Params.
const (
	DefaultMaxQueued                = 4096
	DefaultMaxQueuedPerOrganisation = 1024
	DefaultStateRequestInterval     = 5 * time.Second
	DefaultMinStateRequestInterval  = 50 * time.Millisecond
	DefaultConfirmRetryInterval     = 200 * time.Millisecond
	DefaultLoadTimeout              = 10 * time.Second
	DefaultLoadBackoff              = 500 * time.Millisecond
	DefaultBusyTickInterval         = 5 * time.Millisecond
	DefaultIdleTickInterval         = 50 * time.Millisecond
	DefaultServiceCancelTimeout     = 10 * time.Second
	DefaultMaxLoadPermitRequests    = 8
	DefaultLongOutputTokens         = 400
	DefaultMaxLongFraction          = 0.5
	DefaultEvictResendReports       = 3
)

// Params are the settings of a core. Zero fields take the defaults.
type Params struct {
	// Group is the name of the target group, copied into permits.
	Group string
	// MaxQueued is the greatest number of queued requests.
	MaxQueued int
	// MaxQueuedPerOrganisation is the greatest number of queued requests of one
	// organisation.
	MaxQueuedPerOrganisation int
	// StateRequestInterval is the time between routine state requests to one target.
	StateRequestInterval time.Duration
	// MinStateRequestInterval is the least time between two state requests to one target.
	MinStateRequestInterval time.Duration
	// ConfirmRetryInterval is the time after which a VM is asked again to confirm the epoch.
	ConfirmRetryInterval time.Duration
	// LoadTimeout is the time after which a load without a result counts as failed.
	LoadTimeout time.Duration
	// LoadBackoff is the time before the load of an adapter is tried again on a
	// target where it failed.
	LoadBackoff time.Duration
	// BusyTickInterval is the time between ticks while requests are queued.
	BusyTickInterval time.Duration
	// IdleTickInterval is the time between ticks while nothing is queued.
	IdleTickInterval time.Duration
	// ServiceCancelTimeout is the time for which a cancelled call occupies a service
	// target that does not report its state.
	ServiceCancelTimeout time.Duration
	// MaxLoadPermitRequests is the greatest number of load permits requested at the same time.
	MaxLoadPermitRequests int
	// LongOutputTokens is the predicted output length, in tokens, from which a request counts as long.
	LongOutputTokens int
	// MaxLongFraction is the greatest fraction of a target's concurrency that long
	// requests may occupy.
	MaxLongFraction float64
	// EvictResendReports is the number of state reports that must still list an
	// adapter before an evict order without a result is sent again.
	EvictResendReports int
	// Policies selects the implementation of each decision.
	Policies Policies
}

func (p Params) withDefaults() Params {
	setInt(&p.MaxQueued, DefaultMaxQueued)
	setInt(&p.MaxQueuedPerOrganisation, DefaultMaxQueuedPerOrganisation)
	setInt(&p.MaxLoadPermitRequests, DefaultMaxLoadPermitRequests)
	setInt(&p.LongOutputTokens, DefaultLongOutputTokens)
	setInt(&p.EvictResendReports, DefaultEvictResendReports)
	setDuration(&p.StateRequestInterval, DefaultStateRequestInterval)
	setDuration(&p.MinStateRequestInterval, DefaultMinStateRequestInterval)
	setDuration(&p.ConfirmRetryInterval, DefaultConfirmRetryInterval)
	setDuration(&p.LoadTimeout, DefaultLoadTimeout)
	setDuration(&p.LoadBackoff, DefaultLoadBackoff)
	setDuration(&p.BusyTickInterval, DefaultBusyTickInterval)
	setDuration(&p.IdleTickInterval, DefaultIdleTickInterval)
	setDuration(&p.ServiceCancelTimeout, DefaultServiceCancelTimeout)
	if p.MaxLongFraction == 0 {
		p.MaxLongFraction = DefaultMaxLongFraction
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
