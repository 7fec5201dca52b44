package routing

import (
	"sort"
	"time"

	"cicadaslip/internal/model"
)

// Candidate describes a target group that can serve a request, as the front end
// knows it.
type Candidate struct {
	Group      string
	DataCentre string
	Region     string
	QueuedWork time.Duration // estimated queue wait of a new request
	Resident   bool          // whether the requested adapter version is resident
	NeedsLoad  bool          // whether the group needs an adapter; false for services
}

// Params holds the parts of the cost of a group.
type Params struct {
	LoadWait       time.Duration // expected wait for an adapter load
	DataCentreCost time.Duration // cost of another data centre in the same region
	RegionCost     time.Duration // cost of another region
}

// Default costs. A load from the rate-limited weights store takes 0.25 s plus
// the wait for a load permit, so a resident copy in another region is preferred
// to a local load, and a short local queue is preferred to a remote copy.
const (
	DefaultLoadWait       = time.Second
	DefaultDataCentreCost = 20 * time.Millisecond
	DefaultRegionCost     = 250 * time.Millisecond
)

// DefaultParams returns the default costs.
func DefaultParams() Params {
	return Params{LoadWait: DefaultLoadWait, DataCentreCost: DefaultDataCentreCost, RegionCost: DefaultRegionCost}
}

// Rank returns the candidates in order of increasing cost. Ties are broken by
// tiebreak, which distributes adapters that are not resident over the groups. The
// result of tiebreak must depend only on the adapter and the group, so that all
// front ends pick the same group for such an adapter and it is loaded once.
func Rank(candidates []Candidate, local model.VM, params Params, tiebreak func(group string) uint64) []Candidate {
	ranked := append([]Candidate(nil), candidates...)
	sort.SliceStable(ranked, func(i, j int) bool {
		a, b := cost(ranked[i], local, params), cost(ranked[j], local, params)
		if a != b {
			return a < b
		}
		return tiebreak(ranked[i].Group) < tiebreak(ranked[j].Group)
	})
	return ranked
}

// cost returns the estimated cost of a candidate for a front end on the local VM.
func cost(candidate Candidate, local model.VM, params Params) time.Duration {
	total := candidate.QueuedWork
	if candidate.NeedsLoad && !candidate.Resident {
		total += params.LoadWait
	}
	switch {
	case candidate.Region != local.Region:
		total += params.RegionCost
	case candidate.DataCentre != local.DataCentre:
		total += params.DataCentreCost
	}
	return total
}
