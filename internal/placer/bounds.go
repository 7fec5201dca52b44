package placer

import (
	"math"
	"slices"
	"time"

	"cicadaslip/internal/fleet"
)

func boundedDuration(d time.Duration) time.Duration {
	return max(-fleet.MaxDuration, min(fleet.MaxDuration, d))
}

func boundedCount(n int) int { return max(0, min(fleet.MaxCount, n)) }

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
	r.OrganisationPriority, r.QuotaCost = boundedCount(r.OrganisationPriority), boundedCount(r.QuotaCost)
	r.Objective, r.Deadline, r.Abandon = boundedDuration(r.Objective), boundedDuration(r.Deadline), boundedDuration(r.Abandon)
	r.EventGap = max(0, boundedDuration(r.EventGap))
	if len(r.Parts) > maxParts {
		r.Parts = JoinParts(r.Parts)
	}
	if slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Tokens != boundedCount(p.Tokens) }) {
		r.Parts = slices.Clone(r.Parts)
		for i := range r.Parts {
			r.Parts[i].Tokens = boundedCount(r.Parts[i].Tokens)
		}
	}
	return r
}
