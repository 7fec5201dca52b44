package hedge

import "time"

// Attempt describes a running request that may be repeated.
type Attempt struct {
	Slow     bool          // its target is a straggler
	Waited   time.Duration // since dispatch or the last token
	Expected time.Duration // until the next token
	Tokens   int           // received so far

	// Remaining is the expected time to the end at the observed cadence, and
	// Again that of a whole second attempt on a normal target. Zero if unknown.
	Remaining, Again time.Duration
}

// Policy decides whether a second attempt is worth its cost.
type Policy interface {
	// Granted enters a request that got a permit.
	Granted()
	// Hedge reports whether a second attempt starts now and takes it from the budget.
	Hedge(a Attempt) bool
}

// Off never starts a second attempt.
type Off struct{}

// Granted implements Policy.
func (Off) Granted() {}

// Hedge implements Policy.
func (Off) Hedge(Attempt) bool { return false }

const (
	// share of requests that may get a second attempt.
	share = 0.02
	// burst is the greatest number of second attempts at the same time.
	burst = 8
	// late is the multiple of the expected time after which a request on a
	// normal target counts as stuck.
	late = 8.0
	// lateSlow is the multiple on a straggler.
	lateSlow = 3.0
	// minimumWait avoids second attempts for scheduling noise.
	minimumWait = 50 * time.Millisecond
	// mostTokens is the progress beyond which a silent request is rather resumed.
	mostTokens = 32
	// gain is how much longer than a whole second attempt a straggler must
	// take for the rest, because the second attempt also waits for a permit.
	gain = 1.5
)

// Budget hedges requests that are late, within a share of all requests.
type Budget struct{ tokens float64 }

// Granted implements Policy.
func (b *Budget) Granted() { b.tokens = min(burst, b.tokens+share) }

// Hedge implements Policy.
func (b *Budget) Hedge(a Attempt) bool {
	if b.tokens < 1 || (!a.stuck() && !a.overtaken()) {
		return false
	}
	b.tokens--
	return true
}

// stuck reports whether the request is silent for too long.
func (a *Attempt) stuck() bool {
	limit := late
	if a.Slow {
		limit = lateSlow
	}
	return a.Expected > 0 && a.Tokens <= mostTokens &&
		a.Waited >= max(minimumWait, time.Duration(limit*float64(a.Expected)))
}

// overtaken reports whether a second attempt would end clearly earlier.
func (a *Attempt) overtaken() bool {
	return a.Slow && a.Again > 0 && float64(a.Remaining) > gain*float64(a.Again)
}
