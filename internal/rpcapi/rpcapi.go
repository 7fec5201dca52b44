package rpcapi

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// AcquireRequest requests a permit from the owner of a target group. The call
// waits in the queue of the owner.
type AcquireRequest struct {
	Group   string // name of the target group
	Request core.Request
}

// AcquireReply holds the permit, or an error.
type AcquireReply struct {
	Permit core.Permit
	Err    *errs.Error
}

// ReleaseRequest returns a permit to the owner of its target group.
type ReleaseRequest struct {
	Group   string
	Epoch   model.Epoch // epoch of the group known to the sender; the owner does not check it
	Release core.PermitReleased
}

// ReleaseReply is the reply of Release.
type ReleaseReply struct{ Err *errs.Error }

// CancelRequest withdraws a queued request for a permit.
type CancelRequest struct {
	Group string
	ID    model.RequestID
}

// CancelReply is the reply of Cancel.
type CancelReply struct{ Err *errs.Error }

// ConfirmEpochRequest asks a VM to refuse older epochs of a group.
type ConfirmEpochRequest struct {
	Group string
	Epoch model.Epoch  // epoch of the new owner
	Owner model.Holder // the new owner
}

// ConfirmEpochReply lists the permits that the VM holds for the group.
type ConfirmEpochReply struct {
	Holder  model.Holder // the VM that replies
	Permits []core.Permit
	Err     *errs.Error
}

// LoadPermitRequest asks the load coordinator for permission to start loading an
// adapter from the weights store.
type LoadPermitRequest struct {
	Group   string
	Adapter model.AdapterVersion
	Worth   float64       // total worth of the requests that wait for the adapter
	Due     time.Duration // time until the earliest answer is due, counted from the receipt of the request
}

// LoadPermitReply is the reply of LoadPermit. It is sent when the load may start.
type LoadPermitReply struct{ Err *errs.Error }

// ClaimKey identifies an at-most-once call.
type ClaimKey struct {
	Organisation string
	Kind         string
	Key          string // the caller's idempotency key
}

// ClaimID identifies the attempt of one front end to claim a key. Only the holder
// that made the attempt may dispatch the call.
type ClaimID struct {
	Holder model.Holder
	Number uint64 // distinguishes the attempts of a holder
}

// ClaimState is the state of an idempotency key in the journal.
type ClaimState string

// States of an idempotency key.
const (
	ClaimGranted  ClaimState = "granted"    // the claim ID of the request owns the key
	ClaimRunning  ClaimState = "running"    // another claim ID owns the key, and its holder is not known to be gone
	ClaimFinished ClaimState = "finished"   // the outcome of the call is known
	ClaimUnknown  ClaimState = "unknown"    // the holder is gone without an outcome, or does not know whether the call ran
	ClaimAbsent   ClaimState = "absent"     // the key is not claimed (Lookup only)
	ClaimReused   ClaimState = "key_reused" // the key was claimed with another request body
)

// StoredResponse is the first answer to an at-most-once call.
type StoredResponse struct {
	Status      int // HTTP status
	ContentType string
	Body        []byte
	Truncated   bool // the response exceeded the size limits, so its body was not stored
}

// ClaimRequest asks the owner of a journal shard to claim a key.
type ClaimRequest struct {
	Key      ClaimKey
	ID       ClaimID
	BodyHash [32]byte // SHA-256 of the request body, by which reuse of the key is detected
}

// ClaimReply holds the state of the key after the call.
type ClaimReply struct {
	State    ClaimState
	Response StoredResponse // set if State is ClaimFinished
	Err      *errs.Error    // if set, the call could not determine the state
}

// OutcomeRequest stores the first answer of a claimed call.
type OutcomeRequest struct {
	Key      ClaimKey
	ID       ClaimID
	Response StoredResponse
	Unknown  bool // the holder does not know whether the call ran
}

// OutcomeReply is the reply of Outcome.
type OutcomeReply struct{ Err *errs.Error }

// ReleaseClaimRequest releases a key whose call was certainly not sent.
type ReleaseClaimRequest struct {
	Key ClaimKey
	ID  ClaimID
}

// ReleaseClaimReply is the reply of ReleaseClaim.
type ReleaseClaimReply struct{ Err *errs.Error }

// LookupRequest asks for the state of a key without claiming it. The reply is a
// ClaimReply.
type LookupRequest struct{ Key ClaimKey }

// Digest is the state of a VM that each of its heartbeats carries. A digest with
// many groups is split into several digests, each with some of the groups.
type Digest struct {
	From          model.Holder    // sender
	To            string          // name of the VM that receives the heartbeat
	Heard         Acknowledgement // last heartbeat that the sender received from To
	Stamp         timeline.Stamp  // clock reading of the sender
	DataCentre    string          // data centre of the sender
	Sequence      uint64          // sequence number of the heartbeat
	Ready         bool            // the sender is ready to take traffic
	Draining      bool            // the sender is shutting down
	ConfigVersion uint64          // version of the configuration that the sender has applied
	Groups        []GroupDigest   // groups that the sender owns
}

// Acknowledgement identifies the last heartbeat that was received from a VM, so
// that this VM can see that its heartbeats arrive. It is zero if none was
// received.
type Acknowledgement struct {
	Incarnation model.Incarnation // incarnation of the VM that sent the heartbeat
	Sequence    uint64            // sequence number of the heartbeat
}

// GroupDigest summarises the state of one target group for routing.
type GroupDigest struct {
	Group           string
	Epoch           model.Epoch   // epoch of the owner that sent the digest
	QueuedWork      time.Duration // estimated wait of a new request in the queue
	ResidentVersion uint64        // changes when the set of resident adapters changes
}

// ResidentRequest asks the owner of a target group for its resident adapters.
type ResidentRequest struct{ Group string }

// ResidentReply lists the resident adapters of a target group.
type ResidentReply struct {
	Version  uint64 // changes with the set, as GroupDigest.ResidentVersion does
	Adapters []model.AdapterVersion
	Err      *errs.Error
}

// ProgressRequest reports the token cadence of running requests to the owner of
// their target group.
type ProgressRequest struct {
	Group   string
	Reports []core.Progress
}

// ProgressReply is the reply of Progress.
type ProgressReply struct{ Err *errs.Error }
