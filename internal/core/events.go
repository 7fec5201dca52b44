package core

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Time is the time since an arbitrary start. The core never reads a clock.
type Time = time.Duration

// Request is one unit of work that needs a permit.
type Request struct {
	ID              model.RequestID
	Organisation    string
	Adapter         model.AdapterVersion // zero for service calls
	Kind            string
	Class           model.TargetClass
	BaseModel       string // runners only
	Application     string // services only
	PromptTokens    int
	PredictedTokens int           // expected length of the answer
	PrefixHashes    []uint64      // hashes of the prompt's prefix blocks, shortest first
	Deadline        time.Duration // time left for the whole answer when it was sent
	Worth           float64
	Repeatable      bool // may run more than once
	Holder          model.Holder
	Exclude         []string // targets that must not be used (hedge, retry)
}

// Permit allows its holder to send one request to one target. It pins the
// adapter version on the target until it is released.
type Permit struct {
	Request  model.RequestID
	Group    string
	Epoch    model.Epoch
	Target   model.Target
	Adapter  model.AdapterVersion
	Priority int // engine priority, 0 is the most urgent

	// Organisation and Kind are those of the request, so that an owner that
	// learns of the permit from its holder can account for it.
	Organisation string
	Kind         string
}

// IntentKind is the kind of an order to a target.
type IntentKind string

// Kinds of orders.
const (
	IntentLoad  IntentKind = "load"
	IntentEvict IntentKind = "evict"
)

// Intent is a recorded order. It is stored before the order is sent.
type Intent struct {
	ID      uint64               `json:"id"` // unique in its group
	Epoch   model.Epoch          `json:"epoch"`
	Kind    IntentKind           `json:"kind"`
	Target  string               `json:"target"`
	Adapter model.AdapterVersion `json:"adapter"`
}

// Outcome says how a permitted request ended.
type Outcome string

// Outcomes of permitted requests.
const (
	OutcomeDone      Outcome = "done"
	OutcomeFailed    Outcome = "failed"    // the target failed or was silent
	OutcomeCancelled Outcome = "cancelled" // the caller or the hedge was cancelled
	OutcomeNotSent   Outcome = "not_sent"  // the request never reached the target
)

// Usage is what one request consumed on a target.
type Usage struct {
	PromptTokens    int
	GeneratedTokens int
}

// Event is an input of the core.
type Event interface{ event() }

// TargetsChanged replaces the table of targets of the group.
type TargetsChanged struct{ Targets []model.Target }

// SharesChanged replaces the organisations' shares.
type SharesChanged struct{ Shares map[string]float64 }

// RequestQueued adds a request to the queue.
type RequestQueued struct{ Request Request }

// RequestCancelled removes a queued request. It has no effect on a granted one.
type RequestCancelled struct{ ID model.RequestID }

// PermitReleased ends a permit.
type PermitReleased struct {
	ID         model.RequestID
	Target     string
	Outcome    Outcome
	Usage      Usage
	FirstToken time.Duration // from dispatch to first token, 0 if none
	TokenGap   time.Duration // mean time between tokens, 0 if unknown

	// NotResident says that the target refused the request because it does not
	// have the adapter.
	NotResident bool

	// Organisation, Kind and Holder are those of the permit, for an owner that
	// does not know the permit yet.
	Organisation string
	Kind         string
	Holder       model.Holder
}

// Progress reports the observed cadence of a running request.
type Progress struct {
	ID         model.RequestID
	Target     string
	Tokens     int           // generated so far
	TokenGap   time.Duration // mean of the recent tokens
	SilentFor  time.Duration // since the last token
	FirstToken time.Duration // from dispatch to first token, 0 if none yet
}

// IntentStored confirms that an intent is in the store.
type IntentStored struct{ ID uint64 }

// IntentRejected says that an intent was certainly not stored.
type IntentRejected struct{ ID uint64 }

// OrderDone confirms that the target carried out an order.
type OrderDone struct{ ID uint64 }

// OrderFailed says that an order certainly has no effect on the target, now
// or later.
type OrderFailed struct {
	ID  uint64
	Err *errs.Error
}

// OrderUnknown says that an order may have taken or may still take effect.
type OrderUnknown struct{ ID uint64 }

// TargetState is a target's own statement about its slots and requests.
type TargetState struct {
	Target   string
	Instance string // changes when the target restarts
	AskedAt  Time   // when the statement was requested
	Resident []model.AdapterVersion
	Running  []model.RequestID
}

// LoadReport is a target's lagging report of its load.
type LoadReport struct {
	Target  string
	Running int
	Waiting int
}

// LoadPermitted allows one load from the weights store to start.
type LoadPermitted struct{ Adapter model.AdapterVersion }

// TakenOver starts the core as owner at an epoch. Former holds the unresolved
// intents of earlier epochs.
type TakenOver struct {
	Epoch       model.Epoch
	FormerOwner model.Holder
	Former      []Intent
	Registered  []model.Holder // VMs that must confirm the epoch
}

// EpochConfirmed says that a VM refuses older epochs and lists the permits
// that it holds for the group. A former owner that confirms sends no further
// orders of an older epoch.
type EpochConfirmed struct {
	Holder  model.Holder
	Permits []Permit
}

// HolderGone says that an incarnation is confirmed gone.
type HolderGone struct{ Holder model.Holder }

// StoreAvailability says whether intents can be stored.
type StoreAvailability struct{ Available bool }

// DrainStarted stops grants: queued requests are refused as not run.
type DrainStarted struct{}

func (TargetsChanged) event()    {}
func (SharesChanged) event()     {}
func (RequestQueued) event()     {}
func (RequestCancelled) event()  {}
func (PermitReleased) event()    {}
func (Progress) event()          {}
func (IntentStored) event()      {}
func (IntentRejected) event()    {}
func (OrderDone) event()         {}
func (OrderFailed) event()       {}
func (OrderUnknown) event()      {}
func (TargetState) event()       {}
func (LoadReport) event()        {}
func (LoadPermitted) event()     {}
func (TakenOver) event()         {}
func (EpochConfirmed) event()    {}
func (HolderGone) event()        {}
func (StoreAvailability) event() {}
func (DrainStarted) event()      {}

// Command is an output of the core.
type Command interface{ command() }

// GrantPermit answers a queued request with a permit.
type GrantPermit struct{ Permit Permit }

// RefuseRequest answers a queued request with an error. The request did not run.
type RefuseRequest struct {
	ID  model.RequestID
	Err *errs.Error
}

// StoreIntent asks to record an intent.
type StoreIntent struct{ Intent Intent }

// ClearIntent asks to remove a resolved intent. It need not be stored at once.
type ClearIntent struct{ ID uint64 }

// SendOrder asks to send the order of a stored intent to its target.
type SendOrder struct{ Intent Intent }

// AskLoadPermit asks the load coordinator for permission to load an adapter.
// It replaces an earlier request for the same adapter.
type AskLoadPermit struct {
	Adapter model.AdapterVersion
	Worth   float64 // of the waiting requests
	Due     Time    // earliest deadline of the waiting requests
}

// CancelLoadPermit withdraws an AskLoadPermit.
type CancelLoadPermit struct{ Adapter model.AdapterVersion }

// CancelOnTarget asks to cancel a request of a gone holder.
type CancelOnTarget struct {
	Target string
	ID     model.RequestID
}

// AskTargetState asks for a fresh TargetState event.
type AskTargetState struct{ Target string }

// AskEpochConfirmation asks a VM to confirm the epoch.
type AskEpochConfirmation struct{ Holder model.Holder }

// HedgeRequest advises the holder of a running request to start a second
// attempt that excludes the given targets.
type HedgeRequest struct {
	ID     model.RequestID
	Holder model.Holder
	Target string // the slow target
}

// RecordGiven enters a finished request into the account of what targets gave.
type RecordGiven struct {
	ID           model.RequestID
	Holder       model.Holder // the entry VM, which records the used side
	Organisation string
	Kind         string
	Target       string
	Outcome      Outcome
	Usage        Usage
}

func (GrantPermit) command()          {}
func (RefuseRequest) command()        {}
func (StoreIntent) command()          {}
func (ClearIntent) command()          {}
func (SendOrder) command()            {}
func (AskLoadPermit) command()        {}
func (CancelLoadPermit) command()     {}
func (CancelOnTarget) command()       {}
func (AskTargetState) command()       {}
func (AskEpochConfirmation) command() {}
func (HedgeRequest) command()         {}
func (RecordGiven) command()          {}

// Decider is the interface of a decision core. The daemon and replay drive it.
type Decider interface {
	// Apply enters an event into the tables.
	Apply(now Time, event Event)
	// Tick runs the systems and returns the commands in order.
	Tick(now Time) []Command
	// NextTick returns when the next tick is due if no event arrives.
	NextTick(now Time) Time
}
