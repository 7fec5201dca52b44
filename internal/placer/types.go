package placer

import (
	"time"

	"cicadaslip/internal/errs"
)

// Time is the time since an arbitrary start.
type Time = time.Duration

// Adapter names an adapter of a base model. An empty name is the model itself.
type Adapter struct {
	Model string
	Name  string
}

// Part is one part of a prompt, which other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request that needs a target.
type Request struct {
	ID           string
	Holder       string // VM whose front end asks
	DataCentre   string // of the holder
	Bytes        int    // of the request, which cross a link to the target
	Adapter      Adapter
	PromptTokens int
	OutputTokens int // expected
	Parts        []Part
	Priority     int           // 0 is the most urgent
	Objective    time.Duration // left until the first event is late, may be negative
	Deadline     time.Duration // left until an answer is of no use
	Exclude      []string      // targets that must not be used
}

// Grant tells which target runs a request.
type Grant struct {
	Request  string
	Target   string
	Address  string
	Version  int64 // of the adapter, 0 if unknown
	Priority int   // for the engine, 0 is the most urgent
}

// Operation is the kind of an order.
type Operation string

// Operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order asks a target to change what it holds.
type Order struct {
	Target       string
	Address      string
	Operation    Operation
	Adapter      Adapter
	Version      int64 // 0: the newest
	Precondition int64 // orders accepted by the target so far
	Poll         bool  // asks whether an accepted load has ended
	number       uint64
}

// Result is the answer to an order.
type Result string

// Results of orders.
const (
	Accepted    Result = "accepted"    // is being carried out
	Holds       Result = "holds"       // is so already
	Conflicts   Result = "conflicts"   // the precondition differs or another order is under way
	Fenced      Result = "fenced"      // a newer owner was seen
	Misdirected Result = "misdirected" // another target has the address
	Invalid     Result = "invalid"
	Unanswered  Result = "unanswered" // may have been or may still be carried out
	NotSent     Result = "not_sent"   // no connection
)

// Report is a target's own statement, which lags by some hundred milliseconds.
type Report struct {
	Born     int64
	Sequence int64 // orders accepted
	Busy     bool
	Models   map[string]int64  // held base models and their versions
	Ready    map[Adapter]int64 // held adapters and their versions
	Coming   []Adapter         // adapters in transit
}

// Outcome says how a granted request ended.
type Outcome string

// Outcomes of granted requests.
const (
	Done      Outcome = "done"
	Errored   Outcome = "errored"   // the target answered with a failure
	Failed    Outcome = "failed"    // the target broke off
	Silent    Outcome = "silent"    // the target did not answer in time
	Full      Outcome = "full"      // refused as not run for lack of room
	Absent    Outcome = "absent"    // refused as not run: adapter, version or target is another
	Cancelled Outcome = "cancelled" // the caller left
	Unsent    Outcome = "unsent"    // no connection to the target
)

// Command is an output of the core.
type Command interface{ command() }

// GrantRequest answers a request with a target.
type GrantRequest struct {
	Grant    Grant
	Estimate time.Duration // until the first event
	Backlog  time.Duration // of the target
	Waited   time.Duration
}

// RefuseRequest answers a request with an error. The request did not run.
type RefuseRequest struct {
	ID     string
	Err    *errs.Error
	Waited time.Duration
}

// SendOrder asks to send an order.
type SendOrder struct{ Order Order }

// AskReport asks for a fresh report of a target.
type AskReport struct{ Target, Address string }

// LoseOwnership says that a target has seen a newer owner.
type LoseOwnership struct{ Target string }

func (GrantRequest) command()  {}
func (RefuseRequest) command() {}
func (SendOrder) command()     {}
func (AskReport) command()     {}
func (LoseOwnership) command() {}
