package ratelimit

import "time"

const (
	// MinPerSecond replaces the lower limits of targets, so that one that takes nothing still
	// gets a request now and then, whose answer tells when the limit ends.
	MinPerSecond = 0.1
	// burstTime is the time whose requests may be sent at once after a pause, but at least
	// one request.
	burstTime = time.Second
	// maxDebt bounds how many requests sent beyond the limit delay later ones.
	maxDebt = 4
)

// Bucket is a token bucket. The zero value does not limit requests.
type Bucket struct {
	perSecond float64 // 0 if there is no limit
	tokens    float64 // as of at, negative if more requests were sent than allowed
	at        time.Duration
}

// SetRate sets the number of requests per second, 0 for no limit.
func (b *Bucket) SetRate(now time.Duration, perSecond float64) {
	if perSecond <= 0 {
		*b = Bucket{}
		return
	}
	if b.perSecond == 0 {
		b.tokens, b.at = 1, now
	}
	b.refill(now)
	b.perSecond = perSecond
}

func (b *Bucket) refill(now time.Duration) {
	if now > b.at {
		burst := max(1, b.perSecond*burstTime.Seconds())
		b.tokens, b.at = min(burst, b.tokens+b.perSecond*(now-b.at).Seconds()), now
	}
}

// Limited reports whether there is a limit.
func (b *Bucket) Limited() bool { return b.perSecond > 0 }

// PerSecond returns the limit in requests per second, 0 if there is none.
func (b *Bucket) PerSecond() float64 { return b.perSecond }

// Interval returns the time between two requests at the limit, 0 if there is none.
func (b *Bucket) Interval() time.Duration {
	if b.perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / b.perSecond)
}

// Wait returns the time until a request may be sent if some others are sent before it.
func (b *Bucket) Wait(now time.Duration, before int) time.Duration {
	if b.perSecond == 0 {
		return 0
	}
	b.refill(now)
	missing := 1 + float64(before) - b.tokens
	return max(0, time.Duration(missing/b.perSecond*float64(time.Second)))
}

// Take records a request that is sent, also if it is sent beyond the limit.
func (b *Bucket) Take(now time.Duration) {
	if b.perSecond > 0 {
		b.refill(now)
		b.tokens = max(-maxDebt, b.tokens-1)
	}
}
