package frontend

import (
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// Defaults of Limits.
const (
	DefaultMaxConnections  = 4096
	DefaultMaxHeaderBytes  = 16 << 10
	DefaultMaxBodyBytes    = 1 << 20
	DefaultMaxRetained     = 64 << 20
	DefaultCallerBuffer    = 256 << 10
	DefaultReadTimeout     = 10 * time.Second
	DefaultIdleTimeout     = 60 * time.Second
	DefaultWriteStall      = 5 * time.Second
	DefaultDeadline        = 30 * time.Second
	DefaultMaxDeadline     = 10 * time.Minute
	DefaultMaxTokens       = 16
	DefaultMaxTokensLimit  = 16384
	DefaultMaxAttempts     = 3
	DefaultRetryShare      = 0.1
	DefaultHedgeShare      = 0.05
	DefaultRetryDelay      = 20 * time.Millisecond
	DefaultClaimTimeout    = 2 * time.Second
	DefaultOutcomeWait     = 250 * time.Millisecond
	DefaultServiceWait     = 60 * time.Second
	DefaultProgressPeriod  = 250 * time.Millisecond
	DefaultCancelRetry     = 200 * time.Millisecond
	DefaultCancelRetryMax  = 5 * time.Second
	DefaultGoneCheckPeriod = 100 * time.Millisecond
)

// Limits bounds what callers can occupy and how long work takes. Zero values
// take defaults.
type Limits struct {
	MaxConnections  int           // open connections of callers
	MaxHeaderBytes  int           // of one request
	MaxBodyBytes    int           // of one request
	MaxRetained     int64         // bytes of all request bodies and buffered answers
	CallerBuffer    int           // bytes of an answer that a slow caller may be behind
	ReadTimeout     time.Duration // for the whole request
	IdleTimeout     time.Duration // between requests of a connection
	WriteStall      time.Duration // a write without progress
	Deadline        time.Duration // of a request whose kind declares none
	MaxDeadline     time.Duration // that a caller can ask for
	MaxTokens       int           // of an answer, if the caller names no limit
	MaxTokensLimit  int           // that a caller can ask for
	MaxAttempts     int           // of one request, the first one included
	RetryShare      float64       // retries as a share of requests
	HedgeShare      float64       // second attempts as a share of requests
	RetryDelay      time.Duration // mean delay before a retry
	ClaimTimeout    time.Duration // for a claim
	OutcomeWait     time.Duration // that an answer waits for its outcome to be stored
	ServiceWait     time.Duration // for the answer of an at-most-once call
	ProgressPeriod  time.Duration // between reports of a running request
	CancelRetry     time.Duration // first delay between attempts to cancel on a target
	CancelRetryMax  time.Duration // longest delay between them
	GoneCheckPeriod time.Duration // between checks whether the caller is still there
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxRetained, DefaultMaxRetained)
	setDefault(&l.CallerBuffer, DefaultCallerBuffer)
	setDefault(&l.ReadTimeout, DefaultReadTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.WriteStall, DefaultWriteStall)
	setDefault(&l.Deadline, DefaultDeadline)
	setDefault(&l.MaxDeadline, DefaultMaxDeadline)
	setDefault(&l.MaxTokens, DefaultMaxTokens)
	setDefault(&l.MaxTokensLimit, DefaultMaxTokensLimit)
	setDefault(&l.MaxAttempts, DefaultMaxAttempts)
	setDefault(&l.RetryShare, DefaultRetryShare)
	setDefault(&l.HedgeShare, DefaultHedgeShare)
	setDefault(&l.RetryDelay, DefaultRetryDelay)
	setDefault(&l.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&l.OutcomeWait, DefaultOutcomeWait)
	setDefault(&l.ServiceWait, DefaultServiceWait)
	setDefault(&l.ProgressPeriod, DefaultProgressPeriod)
	setDefault(&l.CancelRetry, DefaultCancelRetry)
	setDefault(&l.CancelRetryMax, DefaultCancelRetryMax)
	setDefault(&l.GoneCheckPeriod, DefaultGoneCheckPeriod)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Options holds what a server is built from. All fields but Limits, Timeline,
// TargetGone and Seed are required.
type Options struct {
	Holder        model.Holder
	Limits        Limits
	Permits       Permits
	Claims        Claims
	Configuration Configuration
	Usage         UsageRecorder
	Targets       Targets
	Readiness     Readiness
	Timeline      timeline.Recorder
	Log           zerolog.Logger
	TargetGone    func(name string) bool // the platform does not list the target any more
	Seed          uint64                 // of the jitter
}
