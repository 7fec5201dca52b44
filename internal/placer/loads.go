package placer

import (
	"cmp"
	"slices"
	"time"
)

// site is a place for a load.
type site struct {
	target *targetRow
	victim *heldRow // makes room, nil if a slot is free
	cold   bool
	first  time.Duration // until the first event of the request
	price  time.Duration // what the load and the links cost besides
}

// startLoad loads the adapter of a request where its first event can be expected
// earliest. With a limit it does so only if that is within the limit.
func (c *Core) startLoad(r *requestRow, limit time.Duration) bool {
	a := r.Request.Adapter
	if a.Name == "" || c.now < r.adapter.retryAt || c.draining {
		return false
	}
	var best site
	for _, avoided := range []bool{false, true} {
		for _, t := range c.targets {
			if (c.now < t.avoidTo) == avoided && !slices.Contains(r.Exclude, t.info.ID) {
				c.considerSite(r, t, &best)
			}
		}
		if best.target != nil {
			break
		}
	}
	if best.target == nil || limit > 0 && best.first > limit {
		return false
	}
	c.load(best, a, r.adapter.wanted)
	return true
}

func (c *Core) considerSite(r *requestRow, t *targetRow, best *site) {
	a := r.Request.Adapter
	if !c.hasSite(t) || !t.holdsModel(a.Model) || t.held[a] != nil {
		return
	}
	cold := !t.recent.has(a)
	if cold && c.cold >= max(1, c.params.Transit) {
		return
	}
	there := c.estimate(t, r)
	option := site{target: t, victim: t.roomVictim, cold: cold, first: c.model.load(cold) + there.first, price: there.price}
	if cold {
		option.price += coldCost
	}
	if option.victim != nil {
		option.price += time.Duration(c.adapter(option.victim.adapter).demandAt(c.now) * float64(victimCost))
	}
	if best.target == nil || option.first+option.price < best.first+best.price {
		*best = option
	}
}

// hasSite reports whether a target has room for one more adapter. It is computed
// once in a pass over the queue.
func (c *Core) hasSite(t *targetRow) bool {
	if t.pass == c.pass {
		return t.room
	}
	t.pass, t.room, t.roomVictim = c.pass, false, nil
	if !t.open() || !t.known || t.wantReport {
		return false
	}
	taken, coming := t.slots()
	if coming >= maxComing {
		return false
	}
	if taken >= c.slotLimit(t) {
		if t.roomVictim = c.victim(t); t.roomVictim == nil {
			return false
		}
	}
	t.room = true
	return true
}

// victimCost is the delay, for each recent request for the victim, that a load
// elsewhere may take longer.
const victimCost = 20 * time.Millisecond

// coldComing counts the adapters that are on their way from the weights store.
func (c *Core) coldComing() int {
	count := 0
	for _, t := range c.targets {
		for a, row := range t.held {
			if a.Name != "" && row.state == heldLoading && row.cold {
				count++
			}
		}
	}
	return count
}

// victim returns the idle adapter of a target that is needed least, or nil.
func (c *Core) victim(t *targetRow) *heldRow {
	if c.now < c.adoptTo {
		return nil
	}
	var worst *heldRow
	least := 0.0
	for a, row := range t.held {
		if a.Name == "" || row.state != heldReady || row.doubt || t.inUse(a) {
			continue
		}
		adapter := c.adapter(a)
		if adapter.waiting > 0 && len(adapter.held) == 1 {
			continue
		}
		demand := adapter.demandAt(c.now) / float64(len(adapter.held))
		if row.stale > 0 {
			demand = 0
		}
		if worst == nil || demand < least || demand == least && row.usedAt < worst.usedAt ||
			demand == least && row.usedAt == worst.usedAt && a.Name < worst.adapter.Name {
			worst, least = row, demand
		}
	}
	return worst
}

// load plans the orders of a load.
func (c *Core) load(s site, a Adapter, version int64) {
	t := s.target
	if s.victim != nil {
		c.unload(s.victim)
	}
	row := c.addHeld(t, a, heldLoading, version)
	row.cold = s.cold
	if s.cold {
		c.cold++
	}
	t.pass = 0
	t.plan = append(t.plan, plannedOrder{operation: Load, row: row, after: s.victim})
}

func (c *Core) unload(row *heldRow) {
	row.state, row.since, row.started, row.polls = heldUnloading, c.now, false, 0
	row.target.plan = append(row.target.plan, plannedOrder{operation: Unload, row: row})
}

// reload replaces an adapter by its newest version in place.
func (c *Core) reload(row *heldRow, version int64) {
	row.state, row.since, row.started, row.polls, row.cold = heldLoading, c.now, false, 0, true
	row.version, row.stale = version, 0
	row.target.prefixes.drop(row.adapter)
	row.target.plan = append(row.target.plan, plannedOrder{operation: Load, row: row})
}

// runVersions brings newer versions into place: where the older one is idle at
// once, else on another target while the older one serves.
func (c *Core) runVersions() {
	if !c.anyStale {
		return
	}
	c.anyStale = false
	for _, t := range c.targets {
		if !t.known || !t.open() {
			continue
		}
		for _, row := range sortedHeld(t) {
			if row.stale == 0 || row.adapter.Name == "" {
				continue
			}
			c.anyStale = true
			if row.state != heldReady || row.doubt || t.wantReport || c.now < c.adoptTo {
				continue
			}
			adapter := c.adapter(row.adapter)
			switch {
			case !t.inUse(row.adapter) && adapter.demandAt(c.now) > idleDemand:
				c.reload(row, adapter.wanted)
			case !t.inUse(row.adapter):
				c.unload(row)
			case !c.newerComing(adapter):
				c.startLoad(&requestRow{Request: Request{Adapter: row.adapter}, adapter: adapter}, 0)
			}
		}
	}
}

// idleDemand is the decayed number of requests below which an old version is
// dropped instead of replaced.
const idleDemand = 0.3

func (c *Core) newerComing(a *adapterRow) bool {
	return slices.ContainsFunc(a.held, func(row *heldRow) bool { return row.stale == 0 && !row.doubt && row.target.open() })
}

func sortedHeld(t *targetRow) []*heldRow {
	rows := make([]*heldRow, 0, len(t.held))
	for _, row := range t.held {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *heldRow) int {
		return cmp.Or(cmp.Compare(a.adapter.Model, b.adapter.Model), cmp.Compare(a.adapter.Name, b.adapter.Name))
	})
	return rows
}

// runSpares keeps one slot of each target free, so that a load need not wait for
// an adapter to be dropped.
func (c *Core) runSpares() {
	for _, t := range c.targets {
		if !t.open() || !t.known || t.wantReport {
			continue
		}
		if taken, _ := t.slots(); taken < c.slotLimit(t) || dropping(t) {
			continue
		}
		if row := c.victim(t); row != nil && c.now-row.usedAt > spareAge {
			c.unload(row)
		}
	}
}

// spareAge is the time without use after which an adapter is dropped to keep a
// slot free.
const spareAge = 300 * time.Millisecond

func dropping(t *targetRow) bool {
	for _, row := range t.held {
		if row.state == heldUnloading {
			return true
		}
	}
	return false
}

// runModels loads a base model on each target that has none.
func (c *Core) runModels() {
	if rate := c.params.Engine.LoadsPerSecond; rate > 0 {
		c.modelLoads = min(1, c.modelLoads+rate*(c.now-c.modelsAt).Seconds())
	}
	c.modelsAt = c.now
	for _, t := range c.targets {
		if !t.open() || !t.known || t.wantReport || t.sent != nil || c.now < t.quietTo || c.now < t.avoidTo || hasModel(t) {
			continue
		}
		model := c.neededModel()
		if model == "" {
			continue
		}
		fromStore := !slices.Contains(t.info.OnDisk, model)
		if fromStore && (c.modelLoads < 1 || !c.worthALoad(model)) {
			continue
		}
		if fromStore {
			c.modelLoads--
		}
		row := c.addHeld(t, Adapter{Model: model}, heldLoading, 0)
		row.cold = true
		t.plan = append(t.plan, plannedOrder{operation: Load, row: row})
	}
}

// busyShare is the part of their time that the targets with a model spend on
// prompts from which a further target is worth a load from the weights store,
// which is billed like many requests.
const busyShare = 0.4

// worthALoad reports whether a model is brought from the weights store for one
// more target.
func (c *Core) worthALoad(model string) bool {
	holders, busy := 0, 0.0
	for _, t := range c.targets {
		if row := t.held[Adapter{Model: model}]; row != nil && t.open() {
			holders++
			busy += min(1, t.reading(c.now))
			if row.state == heldLoading {
				busy -= busyShare // its share of the work comes on top
			}
		}
	}
	return holders == 0 || busy/float64(holders) > busyShare
}

func hasModel(t *targetRow) bool {
	for a := range t.held {
		if a.Name == "" {
			return true
		}
	}
	return false
}

// neededModel returns the model with the most waiting requests for each target
// that holds it.
func (c *Core) neededModel() string {
	best, most := "", -1.0
	for _, m := range c.params.Engine.Models {
		holders, waiting := 0, 0
		for _, t := range c.targets {
			if t.held[Adapter{Model: m.Name}] != nil {
				holders++
			}
		}
		for _, r := range c.waiting {
			if r.Request.Adapter.Model == m.Name {
				waiting++
			}
		}
		if need := float64(1+waiting) / float64(1+holders); need > most {
			best, most = m.Name, need
		}
	}
	return best
}
