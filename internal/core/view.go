package core

import "cicadaslip/internal/model"

// View is a copy of a core's tables, for display.
type View struct {
	Barrier  bool // the takeover barrier is not passed yet: nothing is evicted
	Queued   int  // queued requests
	Targets  []TargetView
	Adapters []AdapterView
}

// TargetView is one target of the group.
type TargetView struct {
	Target    model.Target
	Permits   int  // permits for the target, whose requests may run on it
	Straggler bool // observed to be slower than the other targets
	Intents   int  // unresolved intents
}

// AdapterView is one adapter version in a slot.
type AdapterView struct {
	Adapter  model.AdapterVersion
	Target   string
	Loading  bool
	Evicting bool
	Pins     int // permits for the adapter on the target
}

// View returns a copy of the tables. Targets that left the list are omitted.
func (c *Core) View() View {
	view := View{Barrier: c.isOwner && !c.barrierPassed, Queued: len(c.requests)}
	for _, t := range c.targets {
		if !t.listed {
			continue
		}
		view.Targets = append(view.Targets, TargetView{
			Target: t.info, Permits: len(t.permits), Straggler: c.policies.stragglers.Slow(t.index), Intents: c.intentsOf(t),
		})
		for _, s := range t.slots {
			if s.state == slotAbsent {
				continue
			}
			view.Adapters = append(view.Adapters, AdapterView{
				Adapter: s.adapter.key.version, Target: t.info.Name, Pins: s.pins,
				Loading: s.state == slotLoading, Evicting: s.state == slotEvicting,
			})
		}
	}
	return view
}

// intentsOf returns the number of unresolved intents for a target.
func (c *Core) intentsOf(t *targetRow) int {
	count := 0
	for _, row := range c.intents {
		if row.intent.Target == t.info.Name {
			count++
		}
	}
	return count
}
