package placer

import (
	"time"

	"cicadaslip/internal/errs"
)

// Time is a point in time, as the duration since an arbitrary origin.
type Time = time.Duration

// Adapter identifies a LoRA adapter of a base model. An empty Name stands for
// the base model itself.
type Adapter struct {
	Model string
	Name  string
}

// Part is one part of a prompt. Several requests may share it, so that its KV
// cache entries can be reused.
type Part struct {
	ID     string
	Tokens int
}

// Request is a request that needs a target.
type Request struct {
	ID           string
	Holder       string // ID of the VM whose front end sent the request
	DataCentre   string // data centre of that VM
	Bytes        int    // size of the request that is sent to the target, in bytes
	Adapter      Adapter
	PromptTokens int
	OutputTokens int // expected number of tokens in the answer
	Parts        []Part
	Priority     int           // 0 is the most urgent
	Objective    time.Duration // time left until the first event is late; may be negative
	Deadline     time.Duration // time left until an answer is no longer useful
	EventGap     time.Duration // objective for the longest pause between two events, 0 if there is none
	Abandon      time.Duration // time left until the caller abandons a request without a first event, 0 if it does not
	Exclude      []string      // IDs of targets that must not run the request
	Hedge        bool          // a second attempt beside one that goes on: granted at once or refused

	Organisation         string // that sends the request, empty if there are no organisations
	OrganisationPriority int    // 0 is the most urgent; it comes before Priority
	QuotaCost            int    // what the organisation's quota is charged before the request is queued, 0 for nothing
	QuotaRepeat          bool   // a target may have had the request: the attempt goes before those that wait for credit
}

// Grant assigns a request to a target.
type Grant struct {
	Request  string // ID of the request
	Target   string // ID of the target
	Address  string // address of the target, as ip:port
	Version  int64  // adapter version, 0 if unknown
	Priority int    // priority for the engine, 0 is the most urgent
	Born     int64  // start time of the target, in Unix milliseconds, 0 if unknown
}

// Operation is the kind of an order.
type Operation string

// Operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order instructs a target to load or unload an adapter or a base model.
type Order struct {
	Target       string
	Address      string
	Born         int64 // start time of the target, in Unix milliseconds
	Operation    Operation
	Adapter      Adapter
	Version      int64 // version to load, 0 for the newest
	Precondition int64 // number of orders that the target must have accepted so far
	Poll         bool  // repeats an accepted order to find out whether it has completed
	Busy         bool  // the load puts a busy adapter on a further target
	id           uint64
}

// OrderResult is a target's answer to an order, or the reason why there is none.
type OrderResult string

// Results of orders.
const (
	Accepted       OrderResult = "accepted"    // the order is being executed
	AlreadyApplied OrderResult = "holds"       // the target is already in the ordered state
	Conflict       OrderResult = "conflicts"   // the precondition does not match, or another order is being executed
	Fenced         OrderResult = "fenced"      // the target has seen a newer owner
	Misdirected    OrderResult = "misdirected" // the address belongs to another target
	Invalid        OrderResult = "invalid"
	Unanswered     OrderResult = "unanswered" // the order may have been executed, or may still be
	NotSent        OrderResult = "not_sent"   // no connection to the target
	Withheld       OrderResult = "withheld"   // the owner had no permission to send it
)

// Report is the state of a target as the target reports it. It may lag by some
// hundred milliseconds.
type Report struct {
	Born     int64 // start time of the target, in Unix milliseconds
	Sequence int64 // number of orders accepted since the start
	Busy     bool
	Models   map[string]int64  // versions of the loaded base models, by name
	Ready    map[Adapter]int64 // versions of the loaded adapters
	Loading  []Adapter         // adapters that are being loaded
	Ignored  []error           // parts that were left out because they can't be read
}

// Outcome describes how a granted request ended.
type Outcome string

// Outcomes of granted requests.
const (
	Done       Outcome = "done"
	Errored    Outcome = "errored"   // the target answered with an error
	Failed     Outcome = "failed"    // the target broke off the exchange
	TimedOut   Outcome = "silent"    // the target did not answer in time
	AtCapacity Outcome = "full"      // the target refused the request without running it, for lack of capacity
	Absent     Outcome = "absent"    // the target refused the request without running it: its ID, adapter or adapter version differs
	Cancelled  Outcome = "cancelled" // the caller disconnected
	Unsent     Outcome = "unsent"    // no connection to the target
)

// Command is an instruction of the core to its caller.
type Command interface{ command() }

// LimitHold tells that the rate limits of targets have held a request up.
type LimitHold struct {
	Target    string        // the last target whose limit the request waited for, empty if it was refused on arrival
	PerSecond float64       // the limit of Target, or the sum of all limits if there is no Target
	Waited    time.Duration // since the limit first held the request up
}

// PauseHold tells that a request waited for the end of a target's pause for its VM, or was
// refused because of it.
type PauseHold struct {
	Target string        // the last target that the request waited for, or of those that pause for too long the one whose pause ends first
	Waited time.Duration // since a pause first held the request up, 0 if none has
}

// GrantRequest answers a request with a target.
type GrantRequest struct {
	Grant    Grant
	Estimate time.Duration // expected time until the first event
	Backlog  time.Duration // time that the target needs for the prompts granted before
	Waited   time.Duration // time that the request was queued
	Hold     *LimitHold    // nil if no limit held the request up
	Pause    *PauseHold    // nil if no pause held the request up
	// StreamsWait is the time since the request first waited for the streams of a target to get
	// an event, 0 if it has not.
	StreamsWait time.Duration
	// Organisation sent the request, empty if there are no organisations.
	Organisation string
	Repeat       bool // the request has been sent to another target before
}

// RefuseRequest answers a request with an error. The request did not run.
type RefuseRequest struct {
	ID     string
	Err    *errs.Error
	Waited time.Duration // time that the request was queued
	Hold   *LimitHold    // nil if no limit held the request up
	Pause  *PauseHold    // nil if no pause held the request up or is the cause

	Organisation string     // that sent the request, empty if there are no organisations
	Admission    *Admission // nil unless rank and share are the cause
}

// SendOrder instructs the caller to send an order to a target.
type SendOrder struct{ Order Order }

// FetchReport instructs the caller to fetch a fresh report from a target.
type FetchReport struct {
	Target, Address string
	Born            int64 // start time of the target, in Unix milliseconds
	StateUnknown    bool  // no request is granted the target before its first report
}

// RelinquishOwnership instructs the caller to give up the group, because a
// target has seen a newer owner.
type RelinquishOwnership struct{ Target string }

func (GrantRequest) command()        {}
func (RefuseRequest) command()       {}
func (SendOrder) command()           {}
func (FetchReport) command()         {}
func (RelinquishOwnership) command() {}
