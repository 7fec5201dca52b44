package frontend

import (
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// Defaults of the fields of Limits.
const (
	DefaultMaxConnections          = 4096
	DefaultMaxHeaderBytes          = 16 << 10
	DefaultMaxBodyBytes            = 1 << 20
	DefaultMaxRetainedBytes        = 64 << 20
	DefaultCallerBufferBytes       = 256 << 10
	DefaultReadTimeout             = 10 * time.Second
	DefaultIdleTimeout             = 60 * time.Second
	DefaultWriteStallTimeout       = 5 * time.Second
	DefaultDeadline                = 30 * time.Second
	DefaultMaxDeadline             = 10 * time.Minute
	DefaultMaxTokens               = 16
	DefaultMaxTokensLimit          = 16384
	DefaultMaxAttempts             = 3
	DefaultRetryRatio              = 0.1
	DefaultHedgeRatio              = 0.05
	DefaultRetryDelay              = 20 * time.Millisecond
	DefaultClaimTimeout            = 2 * time.Second
	DefaultOutcomeStoreWait        = 250 * time.Millisecond
	DefaultAtMostOnceTimeout       = 60 * time.Second
	DefaultProgressInterval        = 250 * time.Millisecond
	DefaultCancelRetryDelay        = 200 * time.Millisecond
	DefaultMaxCancelRetryDelay     = 5 * time.Second
	DefaultDisconnectCheckInterval = 100 * time.Millisecond
)

// Limits bounds the resources that callers can occupy and the duration of
// operations. A field that is zero takes its default.
type Limits struct {
	MaxConnections          int           // open connections from callers
	MaxHeaderBytes          int           // size of the headers of one request
	MaxBodyBytes            int           // size of the body of one request
	MaxRetainedBytes        int64         // size of all request bodies and buffered answers of the process
	CallerBufferBytes       int           // size of the part of a stream that is buffered for a slow caller
	ReadTimeout             time.Duration // for reading a whole request
	IdleTimeout             time.Duration // between two requests on a connection
	WriteStallTimeout       time.Duration // for a write to a caller that makes no progress
	Deadline                time.Duration // default deadline, if neither the request nor its kind has one
	MaxDeadline             time.Duration // longest deadline that a caller can request
	MaxTokens               int           // default length of an answer, if the request has no max_tokens
	MaxTokensLimit          int           // largest max_tokens that a caller can request
	MaxAttempts             int           // attempts of one request, including the first
	RetryRatio              float64       // largest mean number of retries per request
	HedgeRatio              float64       // largest mean number of hedges per request
	RetryDelay              time.Duration // mean delay before a retry
	ClaimTimeout            time.Duration // for one call to the journal
	OutcomeStoreWait        time.Duration // time that a response waits for its outcome to be stored
	AtMostOnceTimeout       time.Duration // for the response of a service to an at-most-once call
	ProgressInterval        time.Duration // between two progress reports of a running request
	CancelRetryDelay        time.Duration // first delay before a cancellation is sent again to a target
	MaxCancelRetryDelay     time.Duration // longest delay before a cancellation is sent again
	DisconnectCheckInterval time.Duration // between two checks whether the caller has disconnected
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxRetainedBytes, DefaultMaxRetainedBytes)
	setDefault(&l.CallerBufferBytes, DefaultCallerBufferBytes)
	setDefault(&l.ReadTimeout, DefaultReadTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.WriteStallTimeout, DefaultWriteStallTimeout)
	setDefault(&l.Deadline, DefaultDeadline)
	setDefault(&l.MaxDeadline, DefaultMaxDeadline)
	setDefault(&l.MaxTokens, DefaultMaxTokens)
	setDefault(&l.MaxTokensLimit, DefaultMaxTokensLimit)
	setDefault(&l.MaxAttempts, DefaultMaxAttempts)
	setDefault(&l.RetryRatio, DefaultRetryRatio)
	setDefault(&l.HedgeRatio, DefaultHedgeRatio)
	setDefault(&l.RetryDelay, DefaultRetryDelay)
	setDefault(&l.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&l.OutcomeStoreWait, DefaultOutcomeStoreWait)
	setDefault(&l.AtMostOnceTimeout, DefaultAtMostOnceTimeout)
	setDefault(&l.ProgressInterval, DefaultProgressInterval)
	setDefault(&l.CancelRetryDelay, DefaultCancelRetryDelay)
	setDefault(&l.MaxCancelRetryDelay, DefaultMaxCancelRetryDelay)
	setDefault(&l.DisconnectCheckInterval, DefaultDisconnectCheckInterval)
	return l
}

// setDefault sets a field that is zero to a value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Options holds the dependencies and settings of a Server. All fields except
// Limits, Timeline, TargetGone and Seed are required.
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
	TargetGone    func(name string) bool // reports whether the platform no longer lists a target
	Seed          uint64                 // seed of the random jitter
}
