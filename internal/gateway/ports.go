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

// Meta is what a request says of itself.
type Meta struct {
	ID           string
	Deadline     time.Duration // that the caller waits, 0 if not said
	Adapter      placer.Adapter
	PromptTokens int
	OutputTokens int // at most
	LengthHint   int // expected output tokens, 0 if not said
	Parts        []placer.Part
	ResumeAfter  int64 // last event that the caller has, 0 if none
}

// Attempt is what the system says of one request to a target.
type Attempt struct {
	TimeLeft    time.Duration
	Target      string // the only one that may run it
	Engine      bool   // the target is a model engine
	Priority    int    // for the engine, 0 is the most urgent
	Version     int64  // of the adapter, 0 if any
	ResumeAfter int64  // last event that was passed on, 0 if none
}

// Answer is what the head of a target's answer says.
type Answer struct {
	RequestID string
	Genuine   bool // carries the signature of a target
	NotRun    bool // the target states that it did not run the request
	Elsewhere bool // not run, because the target, model or version is another
	Encoded   bool // the body is not the target's own bytes
	Load      *balance.Load
}

// Dialect translates the header fields of the platform.
type Dialect interface {
	// Request decodes the fields of a request and returns those to pass on.
	Request(fields httpfields.List) (Meta, httpfields.List, error)
	// Attempt returns the fields that the system adds.
	Attempt(a Attempt) httpfields.List
	// Answer decodes the fields of an answer.
	Answer(status int, fields httpfields.List) Answer
	// RetryAfter is the field that tells a caller when to return.
	RetryAfter(d time.Duration) httpfields.Field
}

// Lease is a target for one request.
type Lease struct {
	Grant    placer.Grant
	Estimate time.Duration // until the first event
	Owner    string        // VM that granted it, empty if this VM chose by its own view
	Group    string
}

// Placement gives targets to requests for model engines.
type Placement interface {
	// Acquire waits for a target. The error is about a request that did not run.
	Acquire(ctx context.Context, service string, request placer.Request) (Lease, *errs.Error)
	// Started tells that the first event arrived, and the slowness that the target
	// told, 0 if none.
	Started(lease Lease, slowness float64)
	// Release ends the use of a target.
	Release(lease Lease, outcome placer.Outcome)
}

// Fleet is the state of the deployment that a request is handled by.
type Fleet interface {
	// Routes returns the routes in force, or nil if no configuration is known.
	Routes() *fleet.RouteTable
	// Usable reports whether requests may be sent to a target now.
	Usable(target string) bool
	// RequiredVersion returns the oldest version of an adapter that may be used, 0
	// if any.
	RequiredVersion(a placer.Adapter) int64
	// Pick opens a request to a target of a plain service.
	Pick(service string, exclude []string) (fleet.Target, bool)
	// Expected returns the usual time of an answer of a plain target.
	Expected(service, target string) time.Duration
	// Answered ends a request that Pick has opened.
	Answered(service, target string, outcome balance.Outcome, took, connect time.Duration, load *balance.Load)
	// CountRequest counts a request for the budget of repeats.
	CountRequest(service string)
	// TakeRepeat asks the budget for one repeat.
	TakeRepeat(service string) bool
}
