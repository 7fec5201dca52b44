package quota

import (
	"math"
	"time"
)

// Limit is the quota of an organisation, over all VMs together. Its unit is tokens or requests;
// in this package both are called tokens.
type Limit struct {
	PerSecond float64 // 0 for no limit
	Burst     float64
}

// Bounds states by how much the usage that runs at targets may exceed a limit.
type Bounds struct {
	Window  time.Duration // length of the spans in which usage is measured
	Overage float64       // as a share of what the limit allows in a span
	Slack   float64       // in tokens, beyond that
}

// DefaultWindow applies to bounds that state no window.
const DefaultWindow = 8 * time.Second

// Max returns the most tokens that may run at targets in one window.
func (b Bounds) Max(l Limit) float64 { return b.allowed(l) + b.tolerance(l) }

func (b Bounds) allowed(l Limit) float64 { return l.PerSecond*b.window().Seconds() + l.Burst }

func (b Bounds) window() time.Duration {
	if b.Window <= 0 {
		return DefaultWindow
	}
	return b.Window
}

func (b Bounds) tolerance(l Limit) float64 { return b.Overage*b.allowed(l) + b.Slack }

// The tolerance of a limit is divided among the ways in which usage may exceed the limit.
const (
	pendingPart   = 3.0 / 8 // credit and queued requests beyond the burst, which may all run in a later window
	fallbackPart  = 1.0 / 4 // credit that holders without a coordinator save up beyond the burst
	overdraftPart = 1.0 / 8 // what VMs use before they report it; twice in a window without a coordinator
	requestPart   = 1.0 / 8 // by which one request may overdraw the bucket
)

// largest returns the cost of the largest request that is admitted. Larger ones would overdraw the
// bucket by more than the tolerance covers, and keep the organisation out for as long as they state.
func (b Bounds) largest(l Limit) float64 { return bucketSize(l) + requestPart*b.tolerance(l) }

// maxDebt returns the most that one VM may have used without credit when it calls. One that states
// more is wrong, and must not lock the organisation out.
func (b Bounds) maxDebt(l Limit) float64 { return overdraftPart * b.tolerance(l) }

// minBurstTime is the time whose rate a bucket holds if the burst is smaller.
const minBurstTime = 250 * time.Millisecond

// bucketSize returns the most tokens that the bucket of a limit holds.
func bucketSize(l Limit) float64 { return max(l.Burst, l.PerSecond*minBurstTime.Seconds()) }

// Call reports the usage of a VM to a coordinator and asks for credit.
type Call struct {
	VM          string
	Groups      int // number of target groups that the VM owns
	Unconfirmed int // number of further groups that it owns and whose former owner may be at work
	Rows        []Row
}

// Row is the part of a call that concerns one organisation.
type Row struct {
	Organisation string
	Debt         float64       // used without credit and not yet reported
	Unused       float64       // credit that has expired unused
	Want         float64       // credit that the VM asks for
	Need         float64       // part of Want that the first waiting request lacks
	Pending      float64       // credit, and tokens of queued requests
	Demand       float64       // tokens per second that requests ask for
	Valid        time.Duration // the VM doesn't use its share of the rate for this time
}

// Reply answers a call. It has no grant for organisations without a limit.
type Reply struct{ Grants []Grant }

// Grant is the part of a reply that concerns one organisation.
type Grant struct {
	Organisation string
	Credit       float64
	Out          time.Duration // time until the bucket has tokens again, 0 if it has some
	Overload     float64       // demand of all VMs as a multiple of the limit
}

// CreditLifetime is the time after which credit expires, counted from the call that asked for it.
const CreditLifetime = time.Second

// maxTokens bounds the amounts that VMs tell each other.
const maxTokens = 1e12

// amount returns a number of tokens from another VM within its bounds.
func amount(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return max(0, min(maxTokens, v))
}
