package admin

import (
	"time"

	"cicadaslip/internal/account"
	"cicadaslip/internal/arrivals"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/membership"
	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// Bounds of a reply, which must fit into a message between peers (4 MiB).
const (
	// MaxEvents is the largest number of events in a Timeline reply.
	MaxEvents = 8_000
	// MaxRows is the largest number of targets or adapters in a reply.
	MaxRows = 10_000
	// MaxArrivals is the largest number of arrivals in a reply.
	MaxArrivals = 5_000
)

// Status is what one daemon tells about itself.
type Status struct {
	VM             model.VM
	Ready          bool
	NotReadyReason string // empty while ready
	Draining       bool
	ConfigVersion  uint64
	InFlight       int // callers' requests
	Peers          []PeerStatus
	Groups         []GroupStatus // that it owns
}

// PeerStatus is how a daemon sees another VM.
type PeerStatus struct {
	VM            string
	Incarnation   model.Incarnation
	DataCentre    string
	State         membership.State
	HearsUs       bool
	Ready         bool
	Draining      bool
	ConfigVersion uint64
}

// GroupStatus is a target group that the daemon owns.
type GroupStatus struct {
	Group      string
	Epoch      model.Epoch
	Barrier    bool // evicts nothing yet after its takeover
	Targets    int
	Queued     int           // requests
	QueuedWork time.Duration // estimated wait of a new request
}

// TargetStatus is one target as the owner of its group sees it.
type TargetStatus struct {
	Target    model.Target
	Group     string
	Epoch     model.Epoch
	Permits   int // requests that may run on it
	Straggler bool
	Intents   int // orders that are not resolved
}

// AdapterState is the state of an adapter version in a slot.
type AdapterState string

// States of an adapter version in a slot.
const (
	AdapterLoading  AdapterState = "loading"
	AdapterResident AdapterState = "resident"
	AdapterEvicting AdapterState = "evicting"
)

// AdapterStatus is one adapter version in a slot of a target.
type AdapterStatus struct {
	Adapter model.AdapterVersion
	Target  string
	Group   string
	State   AdapterState
	Pins    int // requests that use it
}

// AdapterFilter selects adapters. Empty fields select all.
type AdapterFilter struct{ Organisation, Adapter, Target string }

// Matches reports whether the filter selects the adapter.
func (f AdapterFilter) Matches(a AdapterStatus) bool {
	return (f.Organisation == "" || f.Organisation == a.Adapter.Organisation) &&
		(f.Adapter == "" || f.Adapter == a.Adapter.Adapter) &&
		(f.Target == "" || f.Target == a.Target)
}

// Empty is the request of methods without arguments.
type Empty struct{}

// StatusReply is the reply of Status.
type StatusReply struct {
	Status Status
	Err    *errs.Error
}

// TargetsReply is the reply of Targets.
type TargetsReply struct {
	Targets []TargetStatus
	Omitted int // over MaxRows
	Err     *errs.Error
}

// AdaptersReply is the reply of Adapters.
type AdaptersReply struct {
	Adapters []AdapterStatus
	Omitted  int // over MaxRows
	Err      *errs.Error
}

// TimelineReply is the reply of Timeline.
type TimelineReply struct {
	Answer timeline.Answer
	Err    *errs.Error
}

// UsageReply is the reply of Usage.
type UsageReply struct {
	Answer account.Answer
	Err    *errs.Error
}

// DrainReply is the reply of Drain.
type DrainReply struct{ Err *errs.Error }

// ArrivalsRequest asks for the arrivals from a time on.
type ArrivalsRequest struct{ From time.Time }

// ArrivalsReply is the reply of Arrivals.
type ArrivalsReply struct {
	Arrivals []arrivals.Arrival
	Omitted  int // over MaxArrivals, the oldest ones
	Err      *errs.Error
}
