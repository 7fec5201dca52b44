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
	// MaxRows is the largest number of rows in a Targets or Adapters reply.
	MaxRows = 10_000
	// MaxArrivals is the largest number of requests in an Arrivals reply.
	MaxArrivals = 5_000
)

// Status is the status of one daemon.
type Status struct {
	VM             model.VM
	Ready          bool
	NotReadyReason string // empty if Ready
	Draining       bool
	ConfigVersion  uint64
	InFlight       int // number of callers' requests in progress
	Peers          []PeerStatus
	Groups         []GroupStatus // the target groups that the daemon owns
}

// PeerStatus is the status of another VM as the daemon sees it.
type PeerStatus struct {
	VM            string
	Incarnation   model.Incarnation
	DataCentre    string
	State         membership.State
	HearsUs       bool // the VM acknowledges the heartbeats of this daemon
	Ready         bool
	Draining      bool
	ConfigVersion uint64
}

// GroupStatus is the status of a target group that the daemon owns.
type GroupStatus struct {
	Group      string
	Epoch      model.Epoch
	Barrier    bool          // the takeover barrier has not been passed yet: nothing is evicted
	Targets    int           // number of targets
	Queued     int           // number of queued requests
	QueuedWork time.Duration // estimated queueing time of a new request
}

// TargetStatus is the status of one target as the owner of its group sees it.
type TargetStatus struct {
	Target    model.Target
	Group     string
	Epoch     model.Epoch
	Permits   int // number of requests that may run on the target
	Straggler bool
	Intents   int // number of orders to the target whose outcome is not known yet
}

// AdapterState is the state of an adapter version in a slot.
type AdapterState string

// States of an adapter version in a slot.
const (
	AdapterLoading  AdapterState = "loading"
	AdapterResident AdapterState = "resident"
	AdapterEvicting AdapterState = "evicting"
)

// AdapterStatus is the status of one adapter version in a slot of a target.
type AdapterStatus struct {
	Adapter model.AdapterVersion
	Target  string
	Group   string
	State   AdapterState
	Pins    int // number of requests that use the adapter on this target
}

// AdapterFilter selects adapters by name. An empty field selects all.
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
	Omitted int // number of targets beyond MaxRows
	Err     *errs.Error
}

// AdaptersReply is the reply of Adapters.
type AdaptersReply struct {
	Adapters []AdapterStatus
	Omitted  int // number of adapters beyond MaxRows
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

// ArrivalsRequest is the request of Arrivals. It selects the requests that
// arrived at or after From.
type ArrivalsRequest struct{ From time.Time }

// ArrivalsReply is the reply of Arrivals.
type ArrivalsReply struct {
	Arrivals []arrivals.Arrival
	Omitted  int // number of older requests beyond MaxArrivals
	Err      *errs.Error
}
