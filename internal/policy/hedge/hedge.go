package hedge

import "time"

// Attempt describes the first attempt of a running request that may be retried.
type Attempt struct {
	Slow         bool          // whether its target is a straggler
	SilentFor    time.Duration // time since the dispatch or the last token
	ExpectedWait time.Duration // expected time from then until the next token; zero if unknown
	Tokens       int           // number of tokens received

	// Remaining is the expected time until the last token at the observed token gap.
	// SecondAttempt is the expected duration of a whole second attempt on a target that
	// is no straggler; zero if unknown.
	Remaining, SecondAttempt time.Duration
}

// Policy decides whether a second attempt is worth its cost.
type Policy interface {
	// RecordGrant records that a request got a permit.
	RecordGrant()
	// Hedge reports whether a second attempt should start now. If so, it is charged to
	// the budget.
	Hedge(a Attempt) bool
}

// Off never starts a second attempt.
type Off struct{}

// RecordGrant implements Policy.
func (Off) RecordGrant() {}

// Hedge implements Policy.
func (Off) Hedge(Attempt) bool { return false }

const (
	// budgetShare is the share of requests that may get a second attempt.
	budgetShare = 0.02
	// maxBudget is the maximum number of second attempts that can be saved up, and so
	// the maximum that can start at the same time.
	maxBudget = 8
	// stuckRatio is the multiple of the expected wait after which an attempt on a target
	// that is no straggler counts as stuck.
	stuckRatio = 8.0
	// stuckRatioOnStraggler is the same multiple for an attempt on a straggler.
	stuckRatioOnStraggler = 3.0
	// minSilence is the minimum silence of a stuck attempt. It prevents second attempts
	// that are due to scheduling noise.
	minSilence = 50 * time.Millisecond
	// maxReceivedTokens is the number of received tokens above which a silent attempt
	// does not count as stuck, because resuming it is better than a second attempt.
	maxReceivedTokens = 32
	// minRemainingRatio is the minimum ratio of the remaining time on a straggler to the
	// duration of a second attempt. It is above 1 because the second attempt also waits
	// for a permit.
	minRemainingRatio = 1.5
)

// Budget starts second attempts for requests that are late, within a share of all
// requests.
type Budget struct {
	available float64 // number of second attempts that may start now
}

// RecordGrant implements Policy.
func (b *Budget) RecordGrant() { b.available = min(maxBudget, b.available+budgetShare) }

// Hedge implements Policy.
func (b *Budget) Hedge(a Attempt) bool {
	if b.available < 1 || (!a.stuck() && !a.slowerThanSecondAttempt()) {
		return false
	}
	b.available--
	return true
}

// stuck reports whether the attempt has been silent for too long.
func (a *Attempt) stuck() bool {
	limit := stuckRatio
	if a.Slow {
		limit = stuckRatioOnStraggler
	}
	return a.ExpectedWait > 0 && a.Tokens <= maxReceivedTokens &&
		a.SilentFor >= max(minSilence, time.Duration(limit*float64(a.ExpectedWait)))
}

// slowerThanSecondAttempt reports whether the attempt runs on a straggler and a second
// attempt would end clearly earlier.
func (a *Attempt) slowerThanSecondAttempt() bool {
	return a.Slow && a.SecondAttempt > 0 && float64(a.Remaining) > minRemainingRatio*float64(a.SecondAttempt)
}
