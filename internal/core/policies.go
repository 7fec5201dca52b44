package core

import (
	"cicadaslip/internal/errs"
	"cicadaslip/internal/policy/admission"
	"cicadaslip/internal/policy/hedge"
	"cicadaslip/internal/policy/placement"
	"cicadaslip/internal/policy/prefix"
	"cicadaslip/internal/policy/queueing"
	"cicadaslip/internal/policy/straggler"
)

// Names of policies. The empty name selects the baseline.
const (
	QueueingFIFO      = "fifo"
	QueueingFair      = "fair"
	AdmissionDeadline = "deadline"
	AdmissionEarly    = "early"
	PlacementLRU      = "lru"
	PlacementDemand   = "demand"
	StragglerOff      = "off"
	StragglerMedian   = "median"
	HedgeOff          = "off"
	HedgeBudget       = "budget"
	PrefixOff         = "off"
	PrefixIndex       = "index"
)

// Policies holds the name of the implementation of each decision. An empty name
// selects the baseline.
type Policies struct {
	Queueing  string
	Admission string
	Placement string
	Straggler string
	Hedge     string
	Prefix    string
}

// BaselinePolicies returns the baseline: least-loaded target, LRU eviction, FIFO
// queue, and no straggler detection, hedging or prefix affinity.
func BaselinePolicies() Policies {
	return Policies{
		Queueing: QueueingFIFO, Admission: AdmissionDeadline, Placement: PlacementLRU,
		Straggler: StragglerOff, Hedge: HedgeOff, Prefix: PrefixOff,
	}
}

// ProductionPolicies returns the policies that the daemon uses.
func ProductionPolicies() Policies {
	return Policies{
		Queueing: QueueingFair, Admission: AdmissionEarly, Placement: PlacementDemand,
		Straggler: StragglerMedian, Hedge: HedgeBudget, Prefix: PrefixIndex,
	}
}

// Validate returns an invalid_settings error that names every unknown policy, or nil.
func (p Policies) Validate() *errs.Error {
	var unknown []string
	check := func(decision, name string, known ...string) {
		for _, k := range known {
			if name == k {
				return
			}
		}
		unknown = append(unknown, decision+": "+name)
	}
	check("queueing", p.Queueing, "", QueueingFIFO, QueueingFair)
	check("admission", p.Admission, "", AdmissionDeadline, AdmissionEarly)
	check("placement", p.Placement, "", PlacementLRU, PlacementDemand)
	check("straggler", p.Straggler, "", StragglerOff, StragglerMedian)
	check("hedge", p.Hedge, "", HedgeOff, HedgeBudget)
	check("prefix", p.Prefix, "", PrefixOff, PrefixIndex)
	if len(unknown) == 0 {
		return nil
	}
	return errs.New(errs.InvalidSettings, "unknown policies").WithDetails(unknown...)
}

// policySet holds the selected implementations.
type policySet struct {
	queue      queueing.Policy
	admit      admission.Policy
	place      placement.Policy
	stragglers straggler.Detector
	hedger     hedge.Policy
	prefixes   prefix.Policy
}

// newPolicySet returns the implementations that the parameters select.
func newPolicySet(params Params) policySet {
	set := policySet{
		queue: queueing.FIFO{}, admit: admission.DeadlineOnly{}, place: placement.LRU{},
		stragglers: straggler.Off{}, hedger: hedge.Off{}, prefixes: prefix.Off{},
	}
	names := params.Policies
	if names.Queueing == QueueingFair {
		set.queue = queueing.NewFair(params.MaxLongFraction)
	}
	if names.Admission == AdmissionEarly {
		set.admit = admission.Early{}
	}
	if names.Placement == PlacementDemand {
		set.place = placement.Demand{}
	}
	if names.Straggler == StragglerMedian {
		set.stragglers = &straggler.Median{}
	}
	if names.Hedge == HedgeBudget {
		set.hedger = &hedge.Budget{}
	}
	if names.Prefix == PrefixIndex {
		set.prefixes = &prefix.Index{}
	}
	return set
}
