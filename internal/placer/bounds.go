package placer

import (
	"math"
	"slices"
	"time"
)

// Bounds of the values that other VMs send. Sums and products of values within them do not
// overflow, and nothing that depends on them lasts for ever.
const (
	maxDuration = 24 * time.Hour
	maxCount    = 1 << 30
)

func boundedDuration(d time.Duration) time.Duration { return max(-maxDuration, min(maxDuration, d)) }

func boundedCount(n int) int { return max(0, min(maxCount, n)) }

// boundedRate returns a rate limit, 0 if there is none.
func boundedRate(perSecond float64) float64 {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0
	}
	return perSecond
}

// bounded returns the request with all values within their bounds.
func (r Request) bounded() Request {
	r.Bytes, r.PromptTokens, r.OutputTokens, r.Priority = boundedCount(r.Bytes), boundedCount(r.PromptTokens), boundedCount(r.OutputTokens), boundedCount(r.Priority)
	r.Objective, r.Deadline, r.Abandon = boundedDuration(r.Objective), boundedDuration(r.Deadline), boundedDuration(r.Abandon)
	if slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Tokens != boundedCount(p.Tokens) }) {
		r.Parts = slices.Clone(r.Parts)
		for i := range r.Parts {
			r.Parts[i].Tokens = boundedCount(r.Parts[i].Tokens)
		}
	}
	return r
}
