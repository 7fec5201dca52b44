package estimate

import (
	"math/bits"
	"time"
)

const (
	// weight is the weight of a new observation in a moving average.
	weight = 0.05
	// buckets covers values up to 2^23 by powers of two.
	buckets = 24
	// worthPrompt is the work of one prompt token in generated tokens. Prompts
	// are processed in parallel, so a prompt token costs a fraction of a
	// generated one.
	worthPrompt = 0.1
)

// Average is an exponentially weighted moving average of durations.
type Average struct {
	seconds float64
	known   bool
}

// Observe enters a duration.
func (a *Average) Observe(d time.Duration) {
	if !a.known {
		a.seconds, a.known = d.Seconds(), true
		return
	}
	a.seconds += weight * (d.Seconds() - a.seconds)
}

// Value returns the average, or zero if nothing was observed.
func (a *Average) Value() time.Duration { return time.Duration(a.seconds * float64(time.Second)) }

// table is a curve by powers of two of its argument.
type table [buckets]Average

func bucket(n int) int { return min(bits.Len(uint(max(n, 0))), buckets-1) }

// observe enters a duration. Larger arguments change in proportion: while
// estimates are too high, requests are refused, large batches do not occur, and
// their values would otherwise stay as a slow target has left them.
func (t *table) observe(n int, d time.Duration) {
	i := bucket(n)
	before := t[i]
	t[i].Observe(d)
	if !before.known || before.seconds <= 0 {
		return
	}
	ratio := min(1, t[i].seconds/before.seconds)
	for j := i + 1; j < buckets; j++ {
		t[j].seconds = max(t[j].seconds*ratio, min(t[i].seconds, t[j].seconds))
	}
}

// value returns the average of the nearest bucket that has one.
func (t *table) value(n int) time.Duration {
	at := bucket(n)
	for distance := range buckets {
		if i := at + distance; i < buckets && t[i].known {
			return t[i].Value()
		}
		if i := at - distance; i >= 0 && t[i].known {
			return t[i].Value()
		}
	}
	return 0
}

// Model estimates the service time on the engines of one group.
type Model struct{ gaps, firsts table }

// ObserveGap enters the time between tokens while running requests ran.
func (m *Model) ObserveGap(running int, gap time.Duration) {
	if gap > 0 {
		m.gaps.observe(running, gap)
	}
}

// ObserveFirst enters the time from dispatch to the first token.
func (m *Model) ObserveFirst(promptTokens int, first time.Duration) {
	if first > 0 {
		m.firsts.observe(promptTokens, first)
	}
}

// Gap returns the expected time between tokens.
func (m *Model) Gap(running int) time.Duration { return m.gaps.value(running) }

// First returns the expected time to the first token.
func (m *Model) First(promptTokens int) time.Duration { return m.firsts.value(promptTokens) }

// Service returns the expected time from dispatch to the last token.
func (m *Model) Service(promptTokens, tokens, running int) time.Duration {
	return m.First(promptTokens) + time.Duration(tokens)*m.Gap(running)
}

// Work returns the work of a request in token equivalents, at least one.
func Work(promptTokens, tokens int) float64 {
	return max(1, worthPrompt*float64(promptTokens)+float64(tokens))
}
