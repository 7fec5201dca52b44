package estimate

import (
	"math/bits"
	"time"
)

const (
	// observationWeight is the weight of a new observation in a moving average.
	observationWeight = 0.05
	// buckets is the number of buckets of a curve. They cover arguments up to 2^23 by
	// powers of two.
	buckets = 24
	// promptTokenWork is the work of one prompt token, in token equivalents. A generated
	// token is one token equivalent. The tokens of a prompt are processed in parallel, so
	// each costs a fraction of a generated one.
	promptTokenWork = 0.1
)

// Average is an exponentially weighted moving average of durations.
type Average struct {
	seconds  float64
	observed bool
}

// Observe adds a duration to the average.
func (a *Average) Observe(d time.Duration) {
	if !a.observed {
		a.seconds, a.observed = d.Seconds(), true
		return
	}
	a.seconds += observationWeight * (d.Seconds() - a.seconds)
}

// Value returns the average, or zero if there was no observation.
func (a *Average) Value() time.Duration { return time.Duration(a.seconds * float64(time.Second)) }

// curve holds an average for each power of two of its argument.
type curve [buckets]Average

// bucket returns the index of the bucket for an argument.
func bucket(n int) int { return min(bits.Len(uint(max(n, 0))), buckets-1) }

// observe adds a duration that was observed for the argument n. If the average of its
// bucket decreases, the averages of the larger buckets decrease in proportion, but not
// below it. Otherwise high estimates from a slow target would persist: while estimates
// are too high, requests are refused, so large batches do not occur and are not
// observed again.
func (c *curve) observe(n int, d time.Duration) {
	i := bucket(n)
	before := c[i]
	c[i].Observe(d)
	if !before.observed || before.seconds <= 0 {
		return
	}
	ratio := min(1, c[i].seconds/before.seconds)
	for j := i + 1; j < buckets; j++ {
		c[j].seconds = max(c[j].seconds*ratio, min(c[i].seconds, c[j].seconds))
	}
}

// value returns the average of the observed bucket that is nearest to that of n, or
// zero if there is none.
func (c *curve) value(n int) time.Duration {
	start := bucket(n)
	for distance := range buckets {
		if i := start + distance; i < buckets && c[i].observed {
			return c[i].Value()
		}
		if i := start - distance; i >= 0 && c[i].observed {
			return c[i].Value()
		}
	}
	return 0
}

// Model estimates the service time on the engines of one group.
type Model struct {
	// tokenGaps is the time between tokens by the number of running requests, and
	// firstTokens the time to the first token by the number of prompt tokens.
	tokenGaps, firstTokens curve
}

// ObserveTokenGap records the time between two tokens of a request, while a number of
// requests were running on the target.
func (m *Model) ObserveTokenGap(running int, gap time.Duration) {
	if gap > 0 {
		m.tokenGaps.observe(running, gap)
	}
}

// ObserveFirstToken records the time from dispatch to the first token of a request.
func (m *Model) ObserveFirstToken(promptTokens int, elapsed time.Duration) {
	if elapsed > 0 {
		m.firstTokens.observe(promptTokens, elapsed)
	}
}

// TokenGap returns the expected time between tokens while a number of requests are
// running on the target.
func (m *Model) TokenGap(running int) time.Duration { return m.tokenGaps.value(running) }

// FirstToken returns the expected time from dispatch to the first token.
func (m *Model) FirstToken(promptTokens int) time.Duration { return m.firstTokens.value(promptTokens) }

// ServiceTime returns the expected time from dispatch to the last token.
func (m *Model) ServiceTime(promptTokens, outputTokens, running int) time.Duration {
	return m.FirstToken(promptTokens) + time.Duration(outputTokens)*m.TokenGap(running)
}

// Work returns the work of a request in token equivalents. It is at least 1.
func Work(promptTokens, outputTokens int) float64 {
	return max(1, promptTokenWork*float64(promptTokens)+float64(outputTokens))
}
