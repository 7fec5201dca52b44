package replay

import (
	"maps"
	"slices"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// resets set one decision back to its baseline.
var resets = map[string]func(*core.Policies){
	"queueing":  func(p *core.Policies) { p.Queueing = core.QueueingFIFO },
	"admission": func(p *core.Policies) { p.Admission = core.AdmissionDeadline },
	"placement": func(p *core.Policies) { p.Placement = core.PlacementLRU },
	"straggler": func(p *core.Policies) { p.Straggler = core.StragglerOff },
	"hedge":     func(p *core.Policies) { p.Hedge = core.HedgeOff },
	"prefix":    func(p *core.Policies) { p.Prefix = core.PrefixOff },
}

// Decisions lists the decisions that can be set back to their baseline.
func Decisions() []string { return slices.Sorted(maps.Keys(resets)) }

// PoliciesWithout returns the policies that the daemon uses, with the named
// decisions set back to their baseline. Error code: invalid_request.
func PoliciesWithout(decisions []string) (core.Policies, error) {
	policies := core.ProductionPolicies()
	for _, name := range decisions {
		reset := resets[name]
		if reset == nil {
			return core.Policies{}, errs.New(errs.InvalidRequest, "unknown decision "+name)
		}
		reset(&policies)
	}
	return policies, nil
}
