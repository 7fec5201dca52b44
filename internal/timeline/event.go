package timeline

import "cicadaslip/internal/model"

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	RequestArrived    Kind = "request_arrived"
	RequestFinished   Kind = "request_finished"
	RequestRefused    Kind = "request_refused"
	PermitGranted     Kind = "permit_granted"
	PermitReleased    Kind = "permit_released"
	PermitRejected    Kind = "permit_rejected" // the permit had a stale epoch
	RequestDispatched Kind = "request_dispatched"
	RequestResumed    Kind = "request_resumed"
	RequestHedged     Kind = "request_hedged"
	AnswerDiscarded   Kind = "answer_discarded"
	ClaimCommitted    Kind = "claim_committed"
	ClaimReleased     Kind = "claim_released"
	OutcomeCommitted  Kind = "outcome_committed"
	ShardTakenOver    Kind = "shard_taken_over"
	ShardLost         Kind = "shard_lost"
	GroupTakenOver    Kind = "group_taken_over"
	GroupLost         Kind = "group_lost"
	EpochConfirmed    Kind = "epoch_confirmed"
	IntentStored      Kind = "intent_stored"
	OrderSent         Kind = "order_sent"
	OrderDone         Kind = "order_done"
	OrderFailed       Kind = "order_failed"
	TargetRestarted   Kind = "target_restarted"
	TargetLeaving     Kind = "target_leaving"
	ConfigApplied     Kind = "config_applied"
	PeerSuspect       Kind = "peer_suspect"
	PeerAlive         Kind = "peer_alive"
	PeerGone          Kind = "peer_gone"
	StoreDown         Kind = "store_down"
	StoreUp           Kind = "store_up"
	Ready             Kind = "ready"
	NotReady          Kind = "not_ready"
	DrainStarted      Kind = "drain_started"
	DrainFinished     Kind = "drain_finished"
)

// Stamp is a hybrid logical clock value.
type Stamp struct {
	Wall    int64  // nanoseconds since the Unix epoch
	Counter uint32 // orders stamps with the same Wall
}

// Event is one entry of the timeline. Fields that do not apply to its Kind are empty.
type Event struct {
	Stamp        Stamp
	VM           string
	Kind         Kind
	Request      model.RequestID `json:",omitempty"`
	Organisation string          `json:",omitempty"`
	Target       string          `json:",omitempty"`
	Group        string          `json:",omitempty"`
	Epoch        model.Epoch     `json:",omitempty"`
	Detail       string          `json:",omitempty"`
}

// Recorder records events. Implementations must be safe for concurrent use.
type Recorder interface{ Record(event Event) }

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Event) {}
