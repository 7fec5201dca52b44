package rpcapi

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/timeline"
)

// AcquireRequest asks a group's owner for a permit. The call waits in the
// owner's queue.
type AcquireRequest struct {
	Group   string
	Request core.Request
}

// AcquireReply holds a permit or an error.
type AcquireReply struct {
	Permit core.Permit
	Err    *errs.Error
}

// ReleaseRequest ends a permit.
type ReleaseRequest struct {
	Group   string
	Epoch   model.Epoch
	Release core.PermitReleased
}

// ReleaseReply is the reply of Release.
type ReleaseReply struct{ Err *errs.Error }

// CancelRequest withdraws a queued request.
type CancelRequest struct {
	Group string
	ID    model.RequestID
}

// CancelReply is the reply of Cancel.
type CancelReply struct{ Err *errs.Error }

// ConfirmEpochRequest asks a VM to refuse older epochs of a group.
type ConfirmEpochRequest struct {
	Group string
	Epoch model.Epoch
	Owner model.Holder
}

// ConfirmEpochReply lists the permits that the VM holds for the group.
type ConfirmEpochReply struct {
	Holder  model.Holder
	Permits []core.Permit
	Err     *errs.Error
}

// LoadPermitRequest asks the load coordinator for the right to start a load.
type LoadPermitRequest struct {
	Group   string
	Adapter model.AdapterVersion
	Worth   float64
	Due     time.Duration // from now
}

// LoadPermitReply is the reply of LoadPermit, sent when the load may start.
type LoadPermitReply struct{ Err *errs.Error }

// ClaimKey identifies an at-most-once call.
type ClaimKey struct {
	Organisation string
	Kind         string
	Key          string // the caller's idempotency key
}

// ClaimID identifies one front end's attempt to claim a key. Only the holder
// that made it may dispatch the call.
type ClaimID struct {
	Holder model.Holder
	Number uint64
}

// ClaimState is the state of a key in the journal.
type ClaimState string

// States of a key.
const (
	ClaimGranted  ClaimState = "granted"    // the asking claim id owns the key
	ClaimRunning  ClaimState = "running"    // another claim id owns the key, its holder is not gone
	ClaimFinished ClaimState = "finished"   // the outcome is known
	ClaimUnknown  ClaimState = "unknown"    // the holder is gone without an outcome
	ClaimAbsent   ClaimState = "absent"     // no claim (Lookup only)
	ClaimReused   ClaimState = "key_reused" // claimed with another body
)

// StoredResponse is the first answer to an at-most-once call.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool // the body was over the limit and is not kept
}

// ClaimRequest asks a shard's owner to claim a key.
type ClaimRequest struct {
	Key      ClaimKey
	ID       ClaimID
	BodyHash [32]byte
}

// ClaimReply holds the state of the key after the call.
type ClaimReply struct {
	State    ClaimState
	Response StoredResponse // with ClaimFinished
	Err      *errs.Error    // when set, this call did not learn the state
}

// OutcomeRequest stores the first answer of a claimed call.
type OutcomeRequest struct {
	Key      ClaimKey
	ID       ClaimID
	Response StoredResponse
	Unknown  bool // the holder cannot tell whether the call ran
}

// OutcomeReply is the reply of Outcome.
type OutcomeReply struct{ Err *errs.Error }

// ReleaseClaimRequest frees a key whose call was certainly not sent.
type ReleaseClaimRequest struct {
	Key ClaimKey
	ID  ClaimID
}

// ReleaseClaimReply is the reply of ReleaseClaim.
type ReleaseClaimReply struct{ Err *errs.Error }

// LookupRequest asks for the state of a key without claiming it.
type LookupRequest struct{ Key ClaimKey }

// Digest is what each heartbeat tells about its sender. A digest with many
// groups is sent as several digests, each with a part of the groups.
type Digest struct {
	From          model.Holder
	To            string          // VM that the heartbeat is for
	Heard         Acknowledgement // last heartbeat that the sender received from To
	Stamp         timeline.Stamp
	DataCentre    string
	Sequence      uint64
	Ready         bool
	Draining      bool
	ConfigVersion uint64
	Groups        []GroupDigest // groups that the sender owns
}

// Acknowledgement names the last heartbeat that was received from a VM. It is
// zero if there was none. It shows the VM that its heartbeats arrive.
type Acknowledgement struct {
	Incarnation model.Incarnation
	Sequence    uint64
}

// GroupDigest summarises one target group for routing.
type GroupDigest struct {
	Group           string
	Epoch           model.Epoch
	QueuedWork      time.Duration // estimated wait of a new request
	ResidentVersion uint64        // changes when the set of resident adapters changes
}

// ResidentRequest asks an owner for a group's resident adapters.
type ResidentRequest struct{ Group string }

// ResidentReply lists the resident adapters.
type ResidentReply struct {
	Version  uint64
	Adapters []model.AdapterVersion
	Err      *errs.Error
}

// ProgressRequest reports the cadence of running requests to a group's owner.
type ProgressRequest struct {
	Group   string
	Reports []core.Progress
}

// ProgressReply is the reply of Progress.
type ProgressReply struct{ Err *errs.Error }
