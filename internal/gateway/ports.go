package gateway

import (
	"context"
	"time"

	"cicadaslip/internal/balance"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/placer"
)

// RequestMeta is the metadata that the header fields of a request contain.
type RequestMeta struct {
	ID              string
	Deadline        time.Duration // time that the caller waits for the response, 0 if not stated
	Adapter         placer.Adapter
	PromptTokens    int
	MaxOutputTokens int
	LengthHint      int           // expected number of output tokens, 0 if not stated
	Parts           []placer.Part // parts of the prompt, which other requests may share
	LastEventID     int64         // ID of the last event that the caller has received, 0 if none
	StatesTokens    bool          // the request states PromptTokens and MaxOutputTokens
	Key             string        // of the caller's organisation, empty if there is not exactly one
}

// Attempt describes one request to a target. Dialect.AttemptFields encodes it
// in header fields.
type Attempt struct {
	TimeLeft    time.Duration // until the deadline of the request
	Target      string        // ID of the only target that may run the request
	Engine      bool          // the target is a model engine
	Priority    int           // priority for the engine, 0 is the most urgent
	Version     int64         // required version of the adapter, 0 if any version will do
	LastEventID int64         // ID of the last forwarded event if the attempt resumes a stream, else 0
}

// ResponseMeta is the metadata that the head of a target's response contains.
type ResponseMeta struct {
	RequestID   string
	Signed      bool          // the response carries the signature of a target
	NotRun      bool          // the target states that it did not run the request
	Misdirected bool          // the target did not run the request, which expects another target, model or version
	Encoded     bool          // the body has a content encoding, so it is not the target's own bytes
	Load        *balance.Load // load that the target reports, nil if none
	Statement   TargetStatement
}

// Dialect encodes and decodes the header fields of the platform.
type Dialect interface {
	// ParseRequest decodes the header fields of a request and returns the fields
	// to forward to the target.
	ParseRequest(fields httpfields.List) (RequestMeta, httpfields.List, error)
	// WithOrganisation returns the fields to forward without the caller's key and with the name
	// of the organisation that holds it, none if that is empty. It may change fields.
	WithOrganisation(fields httpfields.List, organisation string) httpfields.List
	// AttemptFields returns the header fields that the gateway adds to an attempt.
	AttemptFields(a Attempt) httpfields.List
	// ParseResponse decodes the status and header fields of a response.
	ParseResponse(status int, fields httpfields.List) ResponseMeta
	// RetryAfterField returns the header field that states when the caller may
	// retry.
	RetryAfterField(d time.Duration) httpfields.Field
}

// Lease is the right to run one request on a target. It ends with
// Placement.Release.
type Lease struct {
	Grant    placer.Grant
	Estimate time.Duration     // estimated time until the first event
	Owner    string            // VM that granted the lease, empty if this VM chose the target from its own view
	Group    string            // group of targets that the owner manages, empty if Owner is
	Hold     *placer.LimitHold // nil if no rate limit of a target has held the request up
	Pause    *placer.PauseHold // nil if no pause of a target has held the request up
}

// TargetStatement is what a target stated about itself in the head of an answer.
type TargetStatement struct {
	Slowness  float64       // multiple of its usual processing time, 0 if not stated
	RateLimit float64       // requests per second that it takes from all VMs together, 0 if it names none
	Leaving   bool          // it is about to stop and takes no new requests
	Unclear   bool          // neither Leaving nor the opposite
	Pause     time.Duration // for which it wants no request from this VM, 0 if it names none
	Born      int64         // its start time according to the grant or this VM's view when the request was sent, in Unix milliseconds, 0 if unknown
	Invalid   []string      // header fields whose statement is ignored
	SentAt    time.Time     // when the answered request was sent
	HeardAt   time.Time     // when the head arrived
}

// ForeignStatement is the reason to ignore the statement of an answer that does not come from
// the target, or that belongs to another request.
const ForeignStatement = "foreign"

// states reports whether the head states anything but its target's slowness.
func (s *TargetStatement) states() bool {
	return s.Leaving || s.Pause > 0 || s.RateLimit > 0 || len(s.Invalid) > 0
}

// Age returns the time since the head arrived.
func (s TargetStatement) Age() time.Duration { return time.Since(s.HeardAt) }

// Placement selects targets for requests to model engines.
type Placement interface {
	// Acquire waits for a target. If it fails, the request has not run.
	Acquire(ctx context.Context, service string, request placer.Request) (Lease, *errs.Error)
	// Stated reports that the head of an answer has arrived.
	Stated(lease Lease, head TargetStatement)
	// Started reports that the first event has arrived, with what the head of the answer
	// stated.
	Started(lease Lease, head TargetStatement)
	// Release ends a lease and reports the outcome of the request.
	Release(lease Lease, outcome placer.Outcome)
}

// Fleet is the state of the deployment that the gateway needs to handle
// requests.
type Fleet interface {
	// Routes returns the current route table, or nil if no configuration has been
	// loaded.
	Routes() *fleet.RouteTable
	// Limits returns the limits for callers, with zero values if no configuration has been
	// loaded.
	Limits() fleet.Limits
	// Outdated reports whether another VM is known to have a newer configuration in force.
	Outdated() bool
	// KeysUnconfirmed reports whether keys may have been withdrawn for longer than this VM may
	// go on accepting them.
	KeysUnconfirmed() bool
	// Usable reports whether requests may currently be sent to an incarnation of a target,
	// apart from pauses. born is its start time in Unix milliseconds, 0 if unknown.
	Usable(target string, born int64) bool
	// NewestStart returns the start time of the newest known incarnation of a target that began
	// at born or later, in Unix milliseconds.
	NewestStart(target string, born int64) int64
	// PausedFor returns the time for which an incarnation of a target wants no requests from
	// this VM, 0 if it takes them.
	PausedFor(target string, born int64) time.Duration
	// ServicePausedFor returns the time until the first target of a service takes requests
	// from this VM, 0 if one takes them now.
	ServicePausedFor(service string) time.Duration
	// RequiredVersion returns the oldest version of an adapter that may be used,
	// or 0 if any version may be used.
	RequiredVersion(a placer.Adapter) int64
	// Pick selects a target of a plain service and counts a request as open there.
	// It returns false if there is none outside exclude.
	Pick(service string, exclude []string) (fleet.Target, bool)
	// Limited reports whether targets of a plain service outside exclude take requests, but
	// their rate limits leave this VM none now.
	Limited(service string, exclude []string) bool
	// ExpectedLatency returns the usual response time of a target of a plain
	// service.
	ExpectedLatency(service, target string) time.Duration
	// RecordOutcome ends a request that Pick opened. took is the duration of the
	// attempt, connect the time to connect (0 if there was no connection) and load
	// the load that the target reported (nil if none).
	RecordOutcome(service, target string, outcome balance.Outcome, took, connect time.Duration, load *balance.Load)
	// RecordStatement records what a target stated in the head of an answer.
	RecordStatement(target string, statement TargetStatement)
	// IgnoreStatement counts what the head of an answer stated in a way that cannot be used:
	// the name of a header field, or ForeignStatement.
	IgnoreStatement(reason string)
	// CountRequest counts a request towards the retry budget of a service.
	CountRequest(service string)
	// TakeRetry takes one retry or hedge from the retry budget of a service. It
	// returns false if the budget is used up.
	TakeRetry(service string) bool
	// ReturnRetry gives back a retry that was taken at a time and that was not sent.
	ReturnRetry(service string, takenAt time.Time)
}

// Quota keeps the usage of organisations within their limits. It is asked only about organisations
// that have one.
type Quota interface {
	// Admit counts the cost of an attempt that this VM is about to make, or refuses it. It waits for
	// credit, unless ctx has ended. repeat tells that a target may have had the request before.
	Admit(ctx context.Context, organisation string, cost int, repeat bool) *errs.Error
	// Refund returns the cost of a request that has not run.
	Refund(organisation string, cost int)
}

// noQuota admits all requests.
type noQuota struct{}

func (noQuota) Admit(context.Context, string, int, bool) *errs.Error { return nil }
func (noQuota) Refund(string, int)                                   {}

// Quarantine keeps requests from targets that they would crash. Parts are the IDs of the
// shared parts of a prompt, in its order.
type Quarantine interface {
	// Blocked returns for how long requests with one of the parts are refused, 0 if they
	// may run.
	Blocked(service string, parts []string) time.Duration
	// TargetCrashed reports a target that crashed before a request made progress there.
	// request identifies the request's content.
	TargetCrashed(service, target string, parts []string, request string)
	// Progressed reports that a request has made progress.
	Progressed(service string, parts []string)
	// Suspect reports whether a request with the parts may be the cause of crashes, so that
	// it must not be sent to a further target.
	Suspect(service string, parts []string) bool
}

// noQuarantine lets all requests run.
type noQuarantine struct{}

func (noQuarantine) Blocked(string, []string) time.Duration         { return 0 }
func (noQuarantine) TargetCrashed(string, string, []string, string) {}
func (noQuarantine) Progressed(string, []string)                    {}
func (noQuarantine) Suspect(string, []string) bool                  { return false }
