package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"cicadaslip/internal/standin/engine"
)

// Bounds of quotas. Requests have a tenth of the tokens that docs/hard-load.md states, and the
// window is half of the one there, so that several fit into a run: the slack is a twentieth.
const (
	quotaWindow  = 4 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 5_500
)

// usage is a request that began at a target.
type usage struct {
	at     time.Time
	tokens float64
}

// usageOf returns what an organisation used at the targets, in order.
func (r *run) usageOf(organisation string) []usage {
	var all []usage
	for _, t := range r.allTargets() {
		for _, run := range t.Runs() {
			if run.Header.Get(engine.OrganisationHeader) != organisation || strings.HasPrefix(run.URI, "/"+kindProbe) {
				continue // or a public route, whose requests do not count
			}
			tokens, stated := engine.TokensOf(run.Header)
			if !stated {
				tokens = plainTokens
			}
			all = append(all, usage{run.At, float64(tokens)})
		}
	}
	slices.SortFunc(all, func(a, b usage) int { return a.at.Compare(b.at) })
	return all
}

// checkQuotas checks that the usage of organisations stays within the bound in each window, and
// that refusals for a quota are ones: with Retry-After, of an organisation with a quota, not run.
func (r *run) checkQuotas() {
	if !r.options.HardLoad {
		return
	}
	runs := runsByID(r.allTargets())
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for _, a := range r.checker.answers {
		if a.status != http.StatusTooManyRequests {
			continue
		}
		if life := r.organisations.lives[a.key]; life != nil && life.organisation == unlimitedOrganisation || a.kind == kindProbe {
			r.checker.fail("QUOTA: %s %s got 429 and counts for no quota", a.kind, a.id)
		}
		if len(runs[a.id]) > 0 {
			r.checker.fail("QUOTA: %s %s got 429 and ran", a.kind, a.id)
		}
		if a.retryAfter == "" {
			r.checker.fail("QUOTA: %s %s got 429 without Retry-After", a.kind, a.id)
		}
	}
	binding := r.bindingTimes()
	for organisation := range rates {
		r.checkUsage(organisation, r.usageOf(organisation), binding)
	}
}

// bindingTimes returns when each version of the configuration had been in force on all VMs for a
// window, zero if it never had. The first version binds from the start.
func (r *run) bindingTimes() []time.Time {
	seen := r.seenConfigs()
	times := make([]time.Time, len(r.organisations.versions))
	for i := range times {
		if i == 0 {
			continue
		}
		var everywhere time.Time
		for _, v := range r.vms {
			first := firstUse(seen, v, i+1, r.organisations.versions[i].acknowledged)
			if first.IsZero() {
				everywhere = time.Time{}
				break
			}
			if first.After(everywhere) {
				everywhere = first
			}
		}
		if !everywhere.IsZero() {
			times[i] = everywhere.Add(quotaWindow)
		}
	}
	return times
}

// firstUse returns when a VM was first seen to use a version or a later one since the store had
// acknowledged it, zero if it was not.
func firstUse(seen map[process][]seenConfig, v *vm, version int, acknowledged time.Time) time.Time {
	var first time.Time
	for p, all := range seen {
		for _, s := range all {
			if p.vm == v && s.version >= version && s.at.After(acknowledged) && !acknowledged.IsZero() && (first.IsZero() || s.at.Before(first)) {
				first = s.at
			}
		}
	}
	return first
}

// allowedUsage returns the most tokens of a window that begins at a time: by the newest version
// that binds then, or a later one that is written before the end of the window.
func (r *run) allowedUsage(organisation string, from time.Time, binding []time.Time) float64 {
	rate := 0.0
	for i := len(binding) - 1; i >= 0; i-- {
		v := r.organisations.versions[i]
		if v.begun.Before(from.Add(quotaWindow)) {
			rate = max(rate, v.rates[organisation])
		}
		if i == 0 || !binding[i].IsZero() && !binding[i].After(from) {
			break
		}
	}
	return (rate*quotaWindow.Seconds()+rate)*(1+quotaOverage) + quotaSlack
}

// checkUsage checks all windows of an organisation and reports the worst one. The caller holds the
// lock of the checker.
func (r *run) checkUsage(organisation string, all []usage, binding []time.Time) {
	var from time.Time
	used, allowed, sum, end := 0.0, 0.0, 0.0, 0
	for _, first := range all {
		for end < len(all) && all[end].at.Sub(first.at) < quotaWindow {
			sum += all[end].tokens
			end++
		}
		if limit := r.allowedUsage(organisation, first.at, binding); sum > limit && sum-limit > used-allowed {
			from, used, allowed = first.at, sum, limit
		}
		sum -= first.tokens
	}
	if used > allowed {
		r.checker.fail("QUOTA: %s used %.0f of %.0f tokens in the %v from %s on", organisation, used, allowed, quotaWindow, from.Format(clock))
	}
}
