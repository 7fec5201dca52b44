package replay

import (
	"slices"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
)

// Fixed times of the surroundings.
const (
	storeDelay     = 4 * time.Millisecond   // until an intent is stored
	viewInterval   = 250 * time.Millisecond // between what groups tell the entry VMs
	reportInterval = 250 * time.Millisecond // between load reports and progress reports
	listLag        = time.Second            // until a change of the list is seen
	loadBurst      = 2                      // loads that may start at once after a quiet time
	grantWindow    = 2 * time.Second        // over which a group measures its rate of grants
	longestWait    = 30 * time.Second       // estimate while nothing is granted
)

// groupSim drives the core of one target group.
type groupSim struct {
	w       *world
	info    group.Group
	core    core.Decider
	targets []*target
	due     bool   // a tick at the present time is queued
	ticks   uint64 // makes an older timer void
	queued  map[model.RequestID]*attempt
	grants  []time.Duration // within grantWindow
}

func newGroupSim(w *world, info group.Group, seed uint64) *groupSim {
	g := &groupSim{w: w, info: info, queued: map[model.RequestID]*attempt{}}
	params := w.options.Params
	params.Group = info.Name
	g.core = core.New(params, seed)
	for _, t := range info.Targets {
		g.targets = append(g.targets, w.targets[t.Name])
	}
	g.apply(core.TargetsChanged{Targets: info.Targets})
	g.apply(core.SharesChanged{Shares: w.deployment.Shares})
	g.apply(core.TakenOver{Epoch: 1})
	return g
}

// apply enters an event and queues one tick for all events of the same time.
func (g *groupSim) apply(event core.Event) {
	g.core.Apply(g.w.now, event)
	if !g.due {
		g.due = true
		g.w.after(0, g.tick)
	}
}

func (g *groupSim) tick() {
	g.due = false
	g.ticks++
	for _, command := range g.core.Tick(g.w.now) {
		g.execute(command)
	}
	number := g.ticks
	g.w.after(max(g.core.NextTick(g.w.now)-g.w.now, time.Millisecond), func() {
		if g.ticks == number {
			g.tick()
		}
	})
}

func (g *groupSim) execute(command core.Command) {
	local := g.w.deployment.LocalDelay
	switch c := command.(type) {
	case core.GrantPermit:
		g.granted(c.Permit)
	case core.RefuseRequest:
		if a := g.queued[c.ID]; a != nil {
			delete(g.queued, c.ID)
			g.w.endStall(a)
			g.w.after(g.delayTo(a), func() { g.w.refused(a, c.Err) })
		}
	case core.StoreIntent:
		g.w.after(storeDelay, func() { g.apply(core.IntentStored{ID: c.Intent.ID}) })
	case core.SendOrder:
		g.w.after(local, func() {
			g.w.targets[c.Intent.Target].execute(c.Intent, func(e core.Event) { g.w.after(local, func() { g.apply(e) }) })
		})
	case core.RequestLoadPermit:
		g.w.loads.ask(g, c)
	case core.CancelLoadPermit:
		g.w.loads.cancel(g, c.Adapter)
	case core.CancelOnTarget:
		g.w.after(local, func() { g.w.targets[c.Target].cancel(c.ID) })
	case core.RequestTargetState:
		g.askState(g.w.targets[c.Target])
	case core.HedgeRequest:
		if a := g.w.attempts[c.ID]; a != nil {
			g.w.after(g.delayTo(a), func() { g.w.hedge(a, c.Target) })
		}
	}
}

func (g *groupSim) delayTo(a *attempt) time.Duration {
	return g.w.delay(g.info.DataCentre, a.request.arrival.DataCentre)
}

func (g *groupSim) granted(permit core.Permit) {
	a := g.queued[permit.Request]
	if a == nil {
		g.w.checker.violate(InvariantOneAnswer, "permit for a request that is not queued: "+string(permit.Request))
		return
	}
	delete(g.queued, permit.Request)
	g.grants = append(g.grants, g.w.now)
	g.w.endStall(a)
	g.w.after(g.delayTo(a), func() { g.w.dispatch(a, permit) })
}

func (g *groupSim) askState(t *target) {
	asked, local := g.w.now, g.w.deployment.LocalDelay
	g.w.after(local, func() {
		state := t.state(asked)
		g.w.after(local, func() { g.apply(state) })
	})
}

// wait estimates how long a new request waits, as the owner's digest does.
func (g *groupSim) wait() time.Duration {
	for len(g.grants) > 0 && g.grants[0] < g.w.now-grantWindow {
		g.grants = g.grants[1:]
	}
	switch {
	case len(g.queued) == 0:
		return 0
	case len(g.grants) == 0:
		return longestWait
	}
	return min(longestWait, grantWindow*time.Duration(len(g.queued))/time.Duration(len(g.grants)))
}

// residentSet is what the group tells the entry VMs.
func (g *groupSim) residentSet() map[model.AdapterVersion]bool {
	all := map[model.AdapterVersion]bool{}
	for _, t := range g.targets {
		for adapter := range t.resident {
			all[adapter] = true
		}
	}
	return all
}

func sortedAdapters(set map[model.AdapterVersion]bool) []model.AdapterVersion {
	out := make([]model.AdapterVersion, 0, len(set))
	for adapter := range set {
		out = append(out, adapter)
	}
	slices.SortFunc(out, func(a, b model.AdapterVersion) int {
		switch {
		case a.String() < b.String():
			return -1
		case a.String() > b.String():
			return 1
		}
		return 0
	})
	return out
}
