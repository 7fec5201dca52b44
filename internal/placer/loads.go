package placer

import (
	"cmp"
	"slices"
	"time"
)

// loadOption is a target on which an adapter can be loaded.
type loadOption struct {
	target     *targetState
	victim     *placement // is unloaded first, nil if a slot is free
	cold       bool
	firstEvent time.Duration // expected time until the first event of the request
	penalty    time.Duration // further costs of the load and the target, expressed as a delay
	withheld   *targetState  // a target whose limit leaves no room for the load, nil if there is none
}

// startLoad plans a load of a request's adapter on the target with the earliest first
// event, including penalties, and reports whether it did. With a limit above 0 it does so only if the first event is expected
// within the limit.
func (c *Core) startLoad(r *queuedRequest, limit time.Duration) bool {
	a := r.Request.Adapter
	if a.Name == "" || c.now < r.adapter.noLoadUntil || c.draining {
		return false
	}
	c.currentColdLoads()
	var best loadOption
	for _, avoided := range []bool{false, true} {
		for _, t := range c.targets {
			if (c.now < t.avoidUntil) == avoided && !slices.Contains(r.Exclude, t.description.ID) {
				c.considerTarget(r, t, &best)
			}
		}
		if best.target != nil {
			break
		}
	}
	if best.target == nil && best.withheld != nil && limit == 0 {
		c.holdUp(r, best.withheld)
	}
	if best.target == nil || limit > 0 && best.firstEvent > limit {
		return false
	}
	c.planLoad(best, a, r.adapter.newestVersion)
	return true
}

// considerTarget replaces best if a load of the request's adapter on t leads to an
// earlier first event, including penalties.
func (c *Core) considerTarget(r *queuedRequest, t *targetState, best *loadOption) {
	a := r.Request.Adapter
	if !c.canLoadOn(t) || !t.hasReadyModel(a.Model) || t.placements[a] != nil {
		return
	}
	cold := !t.recentlyUnloaded.has(a)
	if cold && !c.transit.allows(c.coldLoads) {
		return
	}
	if !c.allowsLoad(t) {
		best.withheld = t
		return
	}
	estimated := c.estimate(t, r)
	option := loadOption{target: t, victim: t.roomVictim, cold: cold, firstEvent: max(0, t.heldUntil-c.now) + c.latencies.loadTime(cold) + estimated.firstEvent, penalty: estimated.penalty + t.loadPenalty()}
	if cold {
		option.penalty += coldLoadPenalty
	}
	if option.victim != nil {
		option.penalty += time.Duration(c.adapterState(option.victim.adapter).demandAt(c.now) * float64(evictionPenalty))
	}
	if best.target == nil || option.firstEvent+option.penalty < best.firstEvent+best.penalty {
		*best = option
	}
}

// canLoadOn reports whether a target has room for one more adapter. The result is
// computed once per pass over the queue.
func (c *Core) canLoadOn(t *targetState) bool {
	if t.roomPass == c.dispatchPass {
		return t.roomFound
	}
	t.roomPass, t.roomFound, t.roomVictim = c.dispatchPass, false, nil
	if !t.acceptsWork() || !t.stateKnown || t.needsReport {
		return false
	}
	taken, loading := t.slots()
	if loading >= maxLoadsPerTarget {
		return false
	}
	if taken >= c.slotLimit(t) {
		if t.roomVictim = c.victim(t); t.roomVictim == nil {
			return false
		}
	}
	t.roomFound = true
	return true
}

// evictionPenalty is the delay of a first event that is accepted to avoid the
// eviction of an adapter, per recent request for that adapter.
const evictionPenalty = 20 * time.Millisecond

// currentColdLoads returns the number of adapters that are being loaded from the weights store. It
// is counted once per pass over the queue.
func (c *Core) currentColdLoads() int {
	if c.coldLoadsPass != c.dispatchPass {
		c.coldLoads, c.coldLoadsPass = c.countColdLoads(), c.dispatchPass
	}
	return c.coldLoads
}

// countColdLoads returns the number of adapters that are being loaded from the
// weights store.
func (c *Core) countColdLoads() int {
	count := 0
	for _, t := range c.targets {
		for a, pl := range t.placements {
			if a.Name != "" && pl.state == placementLoading && pl.cold {
				count++
			}
		}
	}
	return count
}

// victim returns the idle adapter of a target with the least demand, or nil if no
// adapter can be unloaded.
func (c *Core) victim(t *targetState) *placement {
	if c.now < c.adoptUntil {
		return nil
	}
	var victim *placement
	lowestDemand := 0.0
	for a, pl := range t.placements {
		if a.Name == "" || pl.state != placementReady || pl.uncertain || t.inUse(a) {
			continue
		}
		adapter := c.adapterState(a)
		if adapter.queued > 0 && len(adapter.placements) == 1 {
			continue
		}
		demand := adapter.demandAt(c.now) / float64(len(adapter.placements))
		if pl.staleSince != 0 {
			demand = 0
		}
		if victim == nil || demand < lowestDemand || demand == lowestDemand && pl.lastUsedAt < victim.lastUsedAt ||
			demand == lowestDemand && pl.lastUsedAt == victim.lastUsedAt && a.Name < victim.adapter.Name {
			victim, lowestDemand = pl, demand
		}
	}
	return victim
}

// planLoad plans the load of an adapter, and the unload of its victim if there is
// one.
func (c *Core) planLoad(option loadOption, a Adapter, version int64) *placement {
	t := option.target
	if option.victim != nil {
		c.planUnload(option.victim)
	}
	pl := c.addPlacement(t, a, placementLoading, version)
	pl.cold = option.cold
	if option.cold {
		c.coldLoads++
	}
	t.roomPass = 0
	t.limitBoundPass = c.dispatchPass
	t.plannedOrders = append(t.plannedOrders, plannedOrder{operation: Load, placement: pl, afterUnload: option.victim})
	return pl
}

// planUnload plans the unload of a placement.
func (c *Core) planUnload(pl *placement) {
	pl.state, pl.stateSince, pl.accepted, pl.polls = placementUnloading, c.now, false, 0
	pl.target.plannedOrders = append(pl.target.plannedOrders, plannedOrder{operation: Unload, placement: pl})
}

// planReload plans to replace an adapter in place by its newest version.
func (c *Core) planReload(pl *placement, version int64) {
	pl.state, pl.stateSince, pl.accepted, pl.polls, pl.cold = placementLoading, c.now, false, 0, true
	pl.version, pl.staleSince = version, 0 // until a newer one is announced
	pl.target.prefixes.dropAdapter(pl.adapter)
	pl.target.plannedOrders = append(pl.target.plannedOrders, plannedOrder{operation: Load, placement: pl})
}

// replaceStaleVersions replaces outdated adapter versions. Idle ones are reloaded or
// unloaded at once. If one is in use, or queued requests can use it, the newest version is
// loaded on another target while the outdated one keeps serving. Otherwise no load would ever
// serve a request while versions are announced at shorter intervals than a load takes.
func (c *Core) replaceStaleVersions() {
	if !c.anyStale {
		return
	}
	c.anyStale = false
	for _, t := range c.targets {
		if !t.stateKnown || !t.acceptsWork() {
			continue
		}
		for _, pl := range sortedPlacements(t) {
			if pl.staleSince == 0 || pl.adapter.Name == "" {
				continue
			}
			c.anyStale = true
			if pl.state != placementReady || pl.uncertain || t.needsReport || c.now < c.adoptUntil {
				continue
			}
			adapter := c.adapterState(pl.adapter)
			inUse := t.inUse(pl.adapter) || adapter.queued > 0 && c.usable(pl)
			switch {
			case !inUse && adapter.demandAt(c.now) > minReloadDemand:
				c.planReload(pl, adapter.newestVersion)
			case !inUse:
				c.planUnload(pl)
			case !c.hasNewerVersion(adapter):
				c.startLoad(&queuedRequest{Request: Request{Adapter: pl.adapter}, adapter: adapter}, 0)
			}
		}
	}
}

// minReloadDemand is the demand, in recent requests, up to which an outdated version
// is unloaded instead of reloaded.
const minReloadDemand = 0.3

// hasNewerVersion reports whether a target has the newest version of an adapter or
// is to load it.
func (c *Core) hasNewerVersion(a *adapterState) bool {
	return slices.ContainsFunc(a.placements, func(pl *placement) bool { return pl.staleSince == 0 && !pl.uncertain && pl.target.acceptsWork() })
}

// sortedPlacements returns the placements of a target, sorted by model and adapter
// name.
func sortedPlacements(t *targetState) []*placement {
	placements := make([]*placement, 0, len(t.placements))
	for _, pl := range t.placements {
		placements = append(placements, pl)
	}
	slices.SortFunc(placements, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.adapter.Model, b.adapter.Model), cmp.Compare(a.adapter.Name, b.adapter.Name))
	})
	return placements
}

// freeSpareSlots keeps one adapter slot of each target free, so that a load does not
// have to wait for an unload.
func (c *Core) freeSpareSlots() {
	if c.now-c.lastSpareCheck < spareCheckInterval {
		return
	}
	c.lastSpareCheck = c.now
	for _, t := range c.targets {
		if !t.acceptsWork() || !t.stateKnown || t.needsReport {
			continue
		}
		if taken, _ := t.slots(); taken < c.slotLimit(t) || isUnloading(t) || t.limit.Limited() {
			continue
		}
		if pl := c.victim(t); pl != nil && c.now-pl.lastUsedAt > spareSlotIdleTime {
			c.planUnload(pl)
		}
	}
}

// spareCheckInterval is the time between two checks for targets without a free slot.
const spareCheckInterval = 20 * time.Millisecond

// spareSlotIdleTime is the time without use after which an adapter is unloaded to
// keep a slot free.
const spareSlotIdleTime = 300 * time.Millisecond

// isUnloading reports whether an unload on a target is planned or under way.
func isUnloading(t *targetState) bool {
	for _, pl := range t.placements {
		if pl.state == placementUnloading {
			return true
		}
	}
	return false
}

// loadModels plans the load of a base model on each target that has none.
func (c *Core) loadModels() {
	if rate := c.params.Engine.LoadsPerSecond; rate > 0 {
		c.modelLoadCredit = min(1, c.modelLoadCredit+rate*(c.now-c.modelLoadCreditAt).Seconds())
	}
	c.modelLoadCreditAt = c.now
	for _, t := range c.targets {
		if !t.acceptsWork() || !t.stateKnown || t.needsReport || t.inFlight != nil || c.now < t.noOrdersUntil || c.now < t.avoidUntil || t.models > 0 {
			continue
		}
		model := c.neededModel()
		if model == "" {
			continue
		}
		fromStore := !slices.Contains(t.description.OnDisk, model)
		if fromStore && (c.modelLoadCredit < 1 || !c.modelLoadPaysOff(model)) {
			continue
		}
		pl := c.addPlacement(t, Adapter{Model: model}, placementLoading, 0)
		if c.exceedsMemory(t) {
			c.removePlacement(pl)
			continue
		}
		if fromStore {
			c.modelLoadCredit--
		}
		pl.cold = true
		t.plannedOrders = append(t.plannedOrders, plannedOrder{operation: Load, placement: pl})
	}
}

// busyPrefillShare is a threshold for loading a base model on a further target from the
// weights store, which costs as much as many requests. The load pays off if the targets
// that have the model spend more than this fraction of their time, on average, on
// prefill.
const busyPrefillShare = 0.4

// modelLoadPaysOff reports whether a load of a base model from the weights store on a
// further target pays off.
func (c *Core) modelLoadPaysOff(model string) bool {
	targets, prefillShare := 0, 0.0
	for _, t := range c.targets {
		if pl := t.placements[Adapter{Model: model}]; pl != nil && t.acceptsWork() {
			targets++
			prefillShare += min(1, t.recentPrefillShare(c.now))
			if pl.state == placementLoading {
				prefillShare -= busyPrefillShare // this target will take over part of the work
			}
		}
	}
	return targets == 0 || prefillShare/float64(targets) > busyPrefillShare
}

// neededModel returns the base model with the most queued requests per target that
// has it.
func (c *Core) neededModel() string {
	best, maxNeed := "", -1.0
	for _, m := range c.params.Engine.Models {
		targets, queued := 0, 0
		for _, t := range c.targets {
			if t.placements[Adapter{Model: m.Name}] != nil {
				targets++
			}
		}
		for _, r := range c.queue {
			if r.Request.Adapter.Model == m.Name {
				queued++
			}
		}
		if need := float64(1+queued) / float64(1+targets); need > maxNeed {
			best, maxNeed = m.Name, need
		}
	}
	return best
}
