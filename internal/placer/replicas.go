package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// workHalfLife is the time in which the weight of past prefill in the work of an adapter
	// halves.
	workHalfLife = 2 * time.Second
	// busyAdapterShare is the share of its time that a target spends on the prompts of one adapter
	// above which the adapter is loaded on a further target. Above it, random arrivals form queues
	// there that delay the prompts and streams of all adapters.
	busyAdapterShare = 0.35
	// maxReplicaTransit is the fraction of the limit of concurrent loads from the weights store
	// that busy adapters may use ahead of requests that wait for a load.
	maxReplicaTransit = 1.0 / 3
	// maxReplacedDemand is the largest demand per target of an adapter that a busy one replaces,
	// relative to the demand for the busy one at a further target.
	maxReplacedDemand = 0.25
)

// countWork records the prefill that a new request causes.
func (c *Core) countWork(r *queuedRequest) {
	if r.Request.Adapter.Name == "" {
		return
	}
	a := r.adapter
	a.work.add(c.now, workHalfLife, c.shortestPrefill(r).Seconds())
	if !a.busy && c.isBusy(a) {
		a.busy = true
		c.busyAdapters = append(c.busyAdapters, a)
	}
}

// shortestPrefill returns the prefill time of a request on the best target that has its adapter.
func (c *Core) shortestPrefill(r *queuedRequest) time.Duration {
	shortest := c.latencies.prefill(r.PromptTokens)
	for _, pl := range r.adapter.placements {
		if serves(pl) {
			shortest = min(shortest, c.prefillTime(pl.target, &r.Request))
		}
	}
	return shortest
}

// workShare returns the share of its time that each target of an adapter spends on its prompts.
func (c *Core) workShare(a *adapterState) float64 {
	perSecond := a.work.valueAt(c.now, workHalfLife) * math.Ln2 / workHalfLife.Seconds()
	return perSecond / float64(max(1, len(a.placements)))
}

// isBusy reports whether an adapter needs a further target. A few long prompts do not.
func (c *Core) isBusy(a *adapterState) bool {
	return c.workShare(a) > busyAdapterShare && a.demandAt(c.now) >= replicationDemand*float64(len(a.placements))
}

// replicateBusyAdapters loads busy adapters on further targets before queues form at theirs. The
// one with the most work per target comes first. An adapter gets at most half of the targets.
func (c *Core) replicateBusyAdapters() {
	if len(c.busyAdapters) == 0 {
		return
	}
	c.busyAdapters = slices.DeleteFunc(c.busyAdapters, func(a *adapterState) bool {
		a.busy = c.isBusy(a)
		return !a.busy
	})
	slices.SortStableFunc(c.busyAdapters, func(a, b *adapterState) int { return cmp.Compare(c.workShare(b), c.workShare(a)) })
	loading := 0
	for _, a := range c.busyAdapters {
		if len(a.placements) > 1 && c.isLoading(a) {
			loading++
		}
	}
	for _, a := range c.busyAdapters {
		if float64(loading+1) > max(1, maxReplicaTransit*c.transit.limit) {
			return
		}
		if len(a.placements) == 0 || 2*len(a.placements) >= len(c.targets) || c.isLoading(a) {
			continue
		}
		if c.replicate(a) {
			loading++
		}
	}
}

// replicate plans a load of a busy adapter on a further target and reports whether it did. It
// replaces only adapters with far less demand, as others would soon have to be loaded again.
func (c *Core) replicate(a *adapterState) bool {
	if c.now < a.noLoadUntil || c.draining {
		return false
	}
	c.currentColdLoads()
	r := &queuedRequest{Request: Request{Adapter: a.id, PromptTokens: longPromptTokens}, adapter: a}
	demand := a.demandAt(c.now) / float64(len(a.placements)+1)
	var best loadOption
	for _, t := range c.targets {
		if c.now < t.avoidUntil || !c.canLoadOn(t) {
			continue
		}
		if v := t.roomVictim; v != nil {
			victim := c.adapterState(v.adapter)
			if victim.demandAt(c.now)/float64(len(victim.placements)) > maxReplacedDemand*demand {
				continue
			}
		}
		c.considerTarget(r, t, &best)
	}
	if best.target == nil {
		return false
	}
	c.planLoad(best, a.id, a.newestVersion).busy = true
	return true
}
