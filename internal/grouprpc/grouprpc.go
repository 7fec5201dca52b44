// Package grouprpc defines the net/rpc messages between the front ends and the
// owners of target groups.
package grouprpc

import (
	"time"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/quarantine"
	"cicadaslip/internal/quota"
	"cicadaslip/internal/tenure"
)

// Service is the name of the net/rpc service.
const Service = "Groups"

// The methods of the service.
const (
	AcquireMethod = Service + ".Acquire"
	EventsMethod  = Service + ".Events"
	SyncMethod    = Service + ".Sync"
	// ConfigMethod fetches a configuration that a reply to a sync call left out.
	ConfigMethod = Service + ".Config"
	// AnnounceMethod informs the previous owner of a group about the takeover.
	AnnounceMethod = Service + ".Announce"
	// QuotaMethod reports usage to the coordinator of organisations, and asks for credit.
	QuotaMethod = Service + ".Quota"
)

// AcquireRequest asks the owner of a group for a target.
type AcquireRequest struct {
	Group   string
	Epoch   int64 // newest epoch that the caller knows
	Request placer.Request
	// RateLimits is as in SyncRequest, until the owner first responds to such a request.
	RateLimits map[string]float64
	// Pauses are the targets that want no requests from the caller now.
	Pauses []advisory.Pause
}

// AcquireReply holds a granted target, or Err if the request was refused.
type AcquireReply struct {
	Grant    placer.Grant
	Estimate time.Duration // expected time until the first event of the response
	Hold     *placer.LimitHold
	Pause    *placer.PauseHold
	Err      *errs.Error
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	EventStarted   EventKind = iota // the first event of the response has arrived
	EventReleased                   // the request has ended and its target is free
	EventCancelled                  // the caller stopped waiting for a target
	EventLimited                    // the target has answered and named a rate limit
)

// Event is a change in the state of a request.
type Event struct {
	ID       string // of the request
	Kind     EventKind
	Outcome  placer.Outcome // of a released request
	Slowness float64        // of the target relative to normal (1), 0 if the target did not report it
	// RateLimit is what the target named in the head of its answer, in requests per second
	// from all VMs, 0 if it named none. Only for EventStarted and EventLimited.
	RateLimit float64
	Age       time.Duration // of RateLimit
}

// EventsRequest reports events of requests that belong to one VM.
type EventsRequest struct {
	Group  string
	VM     string
	Events []Event
}

// EventsReply tells the caller if the receiver does not own the group.
type EventsReply struct{ NotOwner bool }

// SyncRequest asks the owner of a group for changes of the group and of the
// deployment.
type SyncRequest struct {
	Group  string
	Epoch  int64             // newest epoch that the caller knows
	VM     string            // the caller
	Since  uint64            // version of the caller's view of the group, 0 if it has none
	Known  StoreRevisions    // store revisions up to which the caller knows the deployment
	Config uint64            // version of the configuration in force at the caller
	Push   *DeploymentUpdate // changes that the caller has and the owner lacks, nil if none
	Held   []RunningRequest  // in calls until the owner first responds: the caller's running requests
	// RateLimits holds, in calls until the owner first responds, the rate limits that targets
	// have named to the caller, in requests per second by target.
	RateLimits map[string]float64
	Seen       map[string]objectstore.Position // newest object position that the caller has seen, by kind of object
	// Promise is the caller's promise not to order the group's targets, if the owner's last
	// reply asked for one.
	Promise     tenure.Promise
	Incarnation uint64 // of the caller's process
	// Leaving is set if the caller's process is shutting down and takes over no group.
	Leaving bool
	// FetchesConfig is set if the caller fetches a large configuration with ConfigMethod.
	FetchesConfig bool
	// WantsQuarantine is set if the caller exchanges with this owner what is known of parts
	// that crash targets: Quarantine is what it has learned since its last call, and
	// QuarantineSeen the version of the owner's table that it has received.
	WantsQuarantine bool
	Quarantine      quarantine.Delta
	QuarantineSeen  uint64
	// LeavingTargets are the targets of which the caller has heard that they leave, since its
	// last call that this owner answered. WantsLeaving is set if the caller wants to hear of
	// others, and LeavingSeen is the version of the owner's table that it has received.
	LeavingTargets advisory.Delta
	WantsLeaving   bool
	LeavingSeen    uint64
}

// SyncReply holds the changes since the state described by the request.
type SyncReply struct {
	News     DeploymentUpdate
	Known    StoreRevisions // store revisions up to which the owner knows the deployment
	Config   uint64         // version of the configuration in force at the owner
	NotOwner bool
	Stopping bool                            // if NotOwner: the owner is about to release the group, or was replaced
	Record   tenure.Record                   // if NotOwner, or if the caller knows an older epoch: the group's newest record known to the receiver
	At       objectstore.Position            // store version of the object that holds Record
	Seen     map[string]objectstore.Position // newest object position that the owner has seen, by kind of object
	Epoch    int64                           // epoch of the owner
	Blind    bool                            // the owner cannot reach the store
	Asks     bool                            // the owner asks for a promise
	Stamp    time.Duration                   // time of the reply on the owner's clock, for the promise
	VMs      int                             // the owner and the VMs that called it recently
	Rank     int                             // of the caller among them, by name, from 0
	Backlog  time.Duration                   // mean time until a target of the group reads a new prompt
	Version  uint64                          // version of the owner's view of the group
	Full     bool                            // Resident replaces the caller's view
	Resident []placer.ResidentAdapter        // adapters that became resident, or all if Full
	Gone     []placer.ResidentAdapter        // adapters that are no longer resident
	// Quarantine is what the owner has learned of parts that crash targets since
	// QuarantineSeen, if the caller wants to know.
	Quarantine quarantine.Delta
	// LeavingTargets are the targets of which the owner has heard since LeavingSeen that they
	// leave, if the caller wants to know.
	LeavingTargets advisory.Delta
}

// AnnounceRequest carries the record of a group after a takeover.
type AnnounceRequest struct {
	Group   string
	Record  tenure.Record
	Version objectstore.Position // of the object that holds Record
}

// AnnounceReply tells a new owner whether the receiver sends no orders any more.
type AnnounceReply struct {
	Stopped            bool          // the receiver sends no more orders, and those of earlier owners have arrived
	OrdersArriveWithin time.Duration // time by which its own last order has arrived at its target
}

// QuotaRequest is a call to the owner of a group as the coordinator of organisations.
type QuotaRequest struct {
	Group string
	Epoch int64 // of the owner that the caller means
	Call  quota.Call
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	NotOwner bool // the receiver does not own the group in the epoch
	Reply    quota.Reply
}

// StoreRevisions holds, for each kind of the deployment's objects, the position in the
// store's history up to which a VM knows all changes, whether it read them itself or received
// them from another VM.
type StoreRevisions struct {
	Config   objectstore.Position
	Targets  objectstore.Position
	Versions objectstore.Position
	// ConfigVersion is the version of the configuration in force at the VM, 0 if it has none
	// or does not tell. A restored store may have lost a version that other VMs still know.
	ConfigVersion uint64
}

// DeploymentUpdate holds the changes of the deployment that the sender knows and the
// receiver lacks.
type DeploymentUpdate struct {
	Told     bool // false if the sender cannot reach the store and so sends no changes
	Deputy   bool // the receiver is to watch the store in addition to the owner
	Config   ConfigUpdate
	Targets  fleet.Changes
	Versions VersionUpdate
}

// ConfigUpdate holds the configuration if it has changed after the receiver's revision.
type ConfigUpdate struct {
	Since    objectstore.Position // known to the receiver, after which changes are included
	AsOf     objectstore.Position // up to which changes are included
	Revision objectstore.Position // of the configuration's object
	Value    []byte               // encoded configuration, empty if it has not changed
	Deferred bool                 // Value is left out, and the receiver fetches it
}

// ConfigRequest asks an owner for its configuration.
type ConfigRequest struct {
	Known   objectstore.Position // up to which the caller knows all changes
	Version uint64               // as StoreRevisions.ConfigVersion
}

// ConfigReply holds the configuration if it has changed after the caller's revision.
type ConfigReply struct {
	Update   ConfigUpdate // without Value
	Deflated []byte       // compressed value, empty if it has not changed
}

// VersionUpdate holds the adapter versions announced after the receiver's revision.
type VersionUpdate struct {
	Since objectstore.Position // known to the receiver, after which versions are included
	AsOf  objectstore.Position // up to which versions are included
	Rows  []AdapterVersion
}

// AdapterVersion is an announced version of an adapter.
type AdapterVersion struct {
	Adapter  placer.Adapter
	Version  int64
	Revision objectstore.Position // of the announcement
}

// RunningRequest is a request that runs on a target under an owner's grant. The VM
// that sent it reports it to the group's next owner.
type RunningRequest struct {
	Request placer.Request
	Target  string
	Started bool // the target has sent the first event of the response
}
