package core

import "cicadaslip/internal/model"

// View is a copy of what a core knows, for display.
type View struct {
	Barrier  bool // nothing is evicted yet after the takeover
	Queued   int
	Targets  []TargetView
	Adapters []AdapterView
}

// TargetView is one target of the group.
type TargetView struct {
	Target    model.Target
	Permits   int  // requests that may run on it
	Straggler bool // slower than the others, as observed
	Intents   int  // orders that are not resolved
}

// AdapterView is one adapter version in a slot.
type AdapterView struct {
	Adapter  model.AdapterVersion
	Target   string
	Loading  bool
	Evicting bool
	Pins     int
}

// View returns a copy of the tables.
func (c *Core) View() View {
	view := View{Barrier: c.owner && !c.barrier, Queued: len(c.requests)}
	for _, t := range c.targets {
		if !t.present {
			continue
		}
		view.Targets = append(view.Targets, TargetView{
			Target: t.info, Permits: len(t.permits), Straggler: c.policies.slow.Slow(t.index), Intents: c.intentsOf(t),
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

func (c *Core) intentsOf(t *targetRow) int {
	count := 0
	for _, row := range c.intents {
		if row.intent.Target == t.info.Name {
			count++
		}
	}
	return count
}
