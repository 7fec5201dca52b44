// Package grouprpc holds the messages between the front ends and the owners of
// target groups. They travel over net/rpc.
package grouprpc

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

// Service is the name of the net/rpc service.
const Service = "Groups"

// Methods.
const (
	AcquireMethod = Service + ".Acquire"
	EventsMethod  = Service + ".Events"
	SyncMethod    = Service + ".Sync"
	// AnnounceMethod tells a former owner who has taken its group over.
	AnnounceMethod = Service + ".Announce"
)

// AcquireRequest asks for a target.
type AcquireRequest struct {
	Group   string
	Epoch   int64 // newest that the caller knows
	Request placer.Request
}

// AcquireReply is a target or a refusal.
type AcquireReply struct {
	Grant    placer.Grant
	Estimate time.Duration
	Err      *errs.Error
}

// EventKind is what happened to a request.
type EventKind uint8

// Kinds of events.
const (
	EventStarted EventKind = iota
	EventReleased
	EventCancelled // it was still queued
)

// Event is something that happened to a request.
type Event struct {
	ID       string
	Kind     EventKind
	Outcome  placer.Outcome
	Slowness float64 // of the target, 1 is usual, 0 if it did not tell
}

// EventsRequest tells what happened to requests of one VM.
type EventsRequest struct {
	Group  string
	VM     string
	Events []Event
}

// EventsReply says whether the VM that was told owns the group.
type EventsReply struct{ NotOwner bool }

// SyncRequest asks for news of a group and of the deployment.
type SyncRequest struct {
	Group  string
	Epoch  int64 // newest that the caller knows
	VM     string
	Since  uint64           // version of the caller's view
	Known  Places           // what the caller knows of the deployment
	Config uint64           // version in force at the caller
	Push   *News            // what the caller has read and the owner has not
	Held   []Held           // at the first call to an owner: what runs for the caller
	Seen   map[string]int64 // newest revisions of objects that the caller has seen, by kind
}

// SyncReply is the news.
type SyncReply struct {
	News     News
	Known    Places // what the owner knows of the deployment
	Config   uint64 // version in force at the owner
	NotOwner bool
	Record   tenure.Record // that the VM knows, if it is not the owner
	At       int64         // version of Record's object
	Seen     map[string]int64
	Epoch    int64
	Blind    bool          // the owner cannot reach the store
	VMs      int           // that called lately
	Backlog  time.Duration // until a new request is read, over the group's targets
	Version  uint64
	Full     bool // Resident replaces the caller's view
	Resident []placer.ResidentAdapter
	Gone     []placer.ResidentAdapter
}

// AnnounceRequest is the record of a group.
type AnnounceRequest struct {
	Group   string
	Record  tenure.Record
	Version int64 // of the object
}

// AnnounceReply is empty.
type AnnounceReply struct{}

// Places are the revisions of the store up to which a VM knows each kind of the
// deployment's objects, whoever has read them.
type Places struct {
	Config   int64
	Targets  int64
	Versions int64
}

// News is what a VM knows of the deployment and another one does not.
type News struct {
	Told     bool // an owner that cannot reach the store tells nothing
	Deputy   bool // the caller follows the store besides the owner
	Config   ConfigNews
	Targets  fleet.Changes
	Versions VersionNews
}

// ConfigNews is the configuration, if it has changed since the receiver's place.
type ConfigNews struct {
	Since    int64
	AsOf     int64
	Revision int64 // of the object
	Value    []byte
}

// VersionNews are the versions of adapters announced after the receiver's place.
type VersionNews struct {
	Since int64
	AsOf  int64
	Rows  []AdapterVersion
}

// AdapterVersion is an announced version of an adapter.
type AdapterVersion struct {
	Adapter  placer.Adapter
	Version  int64
	Revision int64 // of the store, at the announcement
}

// Held is a request that a VM runs on a target under an earlier owner's grant.
type Held struct {
	Request placer.Request
	Target  string
	Started bool // its first event has arrived
}
