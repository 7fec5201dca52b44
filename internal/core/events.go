package core

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Time is a duration since an arbitrary start. The core never reads a clock.
type Time = time.Duration

// Request is one unit of work that needs a permit.
type Request struct {
	ID              model.RequestID
	Organisation    string
	Adapter         model.AdapterVersion // zero for services
	Kind            string
	Class           model.TargetClass
	BaseModel       string // runners only
	Application     string // services only
	PromptTokens    int
	PredictedTokens int           // predicted output length in tokens
	PrefixHashes    []uint64      // hashes of the prompt's prefix blocks, shortest first
	Deadline        time.Duration // time left for the whole answer when the request was sent
	Worth           float64       // value of an answer in time
	Repeatable      bool          // may run more than once, so that it can be hedged
	Holder          model.Holder  // the VM incarnation that gets the permit
	Exclude         []string      // names of targets that must not be used, for a hedge or retry
}

// Permit allows its holder to send one request to one target. It pins the
// adapter version on the target until it is released.
type Permit struct {
	Request  model.RequestID
	Group    string
	Epoch    model.Epoch
	Target   model.Target
	Adapter  model.AdapterVersion
	Priority int // priority on the engine; 0 is the most urgent

	// Organisation and Kind are those of the request, so that a later owner that
	// gets the permit from its holder can record its usage.
	Organisation string
	Kind         string
}

// IntentKind is the kind of an intent and its order.
type IntentKind string

// Kinds of intents.
const (
	IntentLoad  IntentKind = "load"
	IntentEvict IntentKind = "evict"
)

// Intent is the record of an order to a target. It is stored before the order is
// sent, so that a later owner knows of orders that may still take effect.
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
	OutcomeFailed    Outcome = "failed"    // the target failed or sent nothing in time
	OutcomeCancelled Outcome = "cancelled" // the caller or the hedged attempt was cancelled
	OutcomeNotSent   Outcome = "not_sent"  // the request never reached the target
)

// Usage is the number of tokens that one request used on a target.
type Usage struct {
	PromptTokens    int
	GeneratedTokens int
}

// Event is an input of the core.
type Event interface{ event() }

// TargetsChanged replaces the list of targets of the group.
type TargetsChanged struct{ Targets []model.Target }

// SharesChanged replaces the organisations' shares of the capacity. Shares maps the
// name of an organisation to its relative weight; others get zero.
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

	// NotResident reports that the target refused the request because it does not
	// have the adapter.
	NotResident bool

	// Organisation, Kind and Holder are those of the permit, for an owner that
	// does not have the permit in its tables.
	Organisation string
	Kind         string
	Holder       model.Holder
}

// Progress reports the observed token times of a running request.
type Progress struct {
	ID         model.RequestID
	Target     string
	Tokens     int           // tokens generated so far
	TokenGap   time.Duration // mean time between the recent tokens
	SilentFor  time.Duration // time since the last token
	FirstToken time.Duration // from dispatch to first token, 0 if none yet
}

// IntentStored confirms that an intent is in the store.
type IntentStored struct{ ID uint64 }

// IntentRejected reports that an intent was certainly not stored.
type IntentRejected struct{ ID uint64 }

// OrderDone confirms that the target carried out an order.
type OrderDone struct{ ID uint64 }

// OrderFailed reports that an order has had no effect on the target and will have
// none.
type OrderFailed struct {
	ID  uint64
	Err *errs.Error
}

// OrderOutcomeUnknown reports that an order has no result: it may have taken effect or
// may still take effect.
type OrderOutcomeUnknown struct{ ID uint64 }

// TargetState is a state report of a target: its resident adapters and its running
// requests.
type TargetState struct {
	Target      string
	Instance    string // changes when the target restarts
	RequestedAt Time   // when the report was requested
	Resident    []model.AdapterVersion
	Running     []model.RequestID
}

// LoadReport is a target's report of its load, which lags.
type LoadReport struct {
	Target  string
	Running int
	Waiting int
}

// LoadPermitted is the load permit of an adapter: one load from the weights store
// may start.
type LoadPermitted struct{ Adapter model.AdapterVersion }

// TakenOver starts the core as owner at an epoch.
type TakenOver struct {
	Epoch         model.Epoch
	FormerOwner   model.Holder
	FormerIntents []Intent       // unresolved intents of earlier epochs
	Registered    []model.Holder // VMs that must confirm the epoch
}

// EpochConfirmed reports that a VM refuses older epochs, and lists the permits
// that it holds for the group. A former owner that has confirmed the epoch sends
// no further orders of an older epoch.
type EpochConfirmed struct {
	Holder  model.Holder
	Permits []Permit
}

// HolderGone reports that a VM incarnation is confirmed gone.
type HolderGone struct{ Holder model.Holder }

// StoreAvailability reports whether intents can be stored.
type StoreAvailability struct{ Available bool }

// DrainStarted stops grants. Queued and new requests are refused as not run.
type DrainStarted struct{}

func (TargetsChanged) event()      {}
func (SharesChanged) event()       {}
func (RequestQueued) event()       {}
func (RequestCancelled) event()    {}
func (PermitReleased) event()      {}
func (Progress) event()            {}
func (IntentStored) event()        {}
func (IntentRejected) event()      {}
func (OrderDone) event()           {}
func (OrderFailed) event()         {}
func (OrderOutcomeUnknown) event() {}
func (TargetState) event()         {}
func (LoadReport) event()          {}
func (LoadPermitted) event()       {}
func (TakenOver) event()           {}
func (EpochConfirmed) event()      {}
func (HolderGone) event()          {}
func (StoreAvailability) event()   {}
func (DrainStarted) event()        {}

// Command is an output of the core.
type Command interface{ command() }

// GrantPermit answers a queued request with a permit.
type GrantPermit struct{ Permit Permit }

// RefuseRequest answers a queued request with an error. The request did not run.
type RefuseRequest struct {
	ID  model.RequestID
	Err *errs.Error
}

// StoreIntent records an intent in the store. IntentStored or IntentRejected
// answers it.
type StoreIntent struct{ Intent Intent }

// ClearIntent removes a resolved intent from the store. The removal may be delayed.
type ClearIntent struct{ ID uint64 }

// SendOrder sends the order of a stored intent to its target. OrderDone,
// OrderFailed or OrderOutcomeUnknown answers it.
type SendOrder struct{ Intent Intent }

// RequestLoadPermit requests permission from the load coordinator to load an
// adapter. It replaces an earlier request for the same adapter.
type RequestLoadPermit struct {
	Adapter model.AdapterVersion
	Worth   float64 // total worth of the queued requests for the adapter
	Due     Time    // earliest deadline of these requests
}

// CancelLoadPermit withdraws a RequestLoadPermit or the permit granted for it.
type CancelLoadPermit struct{ Adapter model.AdapterVersion }

// CancelOnTarget cancels a request on its target, because its holder is gone or
// abandoned it.
type CancelOnTarget struct {
	Target string
	ID     model.RequestID
}

// RequestTargetState requests a new state report of a target, which arrives as a
// TargetState event.
type RequestTargetState struct{ Target string }

// RequestEpochConfirmation asks a VM to confirm the epoch. EpochConfirmed or
// HolderGone answers it.
type RequestEpochConfirmation struct{ Holder model.Holder }

// HedgeRequest advises the holder of a running request to start a second attempt
// on another target.
type HedgeRequest struct {
	ID     model.RequestID
	Holder model.Holder
	Target string // the target of the first attempt
}

// RecordGiven records a finished request in the account of what targets gave. Its
// counterpart is the account of what entry VMs used.
type RecordGiven struct {
	ID           model.RequestID
	Holder       model.Holder // the entry VM of the request, which records the used side
	Organisation string
	Kind         string
	Target       string
	Outcome      Outcome
	Usage        Usage
}

func (GrantPermit) command()              {}
func (RefuseRequest) command()            {}
func (StoreIntent) command()              {}
func (ClearIntent) command()              {}
func (SendOrder) command()                {}
func (RequestLoadPermit) command()        {}
func (CancelLoadPermit) command()         {}
func (CancelOnTarget) command()           {}
func (RequestTargetState) command()       {}
func (RequestEpochConfirmation) command() {}
func (HedgeRequest) command()             {}
func (RecordGiven) command()              {}

// Decider is the interface of a decision core. The daemon and replay run it.
type Decider interface {
	// Apply updates the tables with an event.
	Apply(now Time, event Event)
	// Tick runs the systems and returns the commands in the order in which they
	// were produced.
	Tick(now Time) []Command
	// NextTick returns when the next tick is due if no event arrives.
	NextTick(now Time) Time
}
