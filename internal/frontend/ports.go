package frontend

import (
	"context"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/target"
)

// Permits acquires permits from the owners of target groups and releases them.
// Acquire selects a group and waits in the queue of its owner; if it fails, the
// request did not run. The request id of the permit is the id of the attempt on the
// target: it is either the requested id or derived from it by a suffix.
type Permits interface {
	Acquire(ctx context.Context, request core.Request) (core.Permit, error)
	Release(permit core.Permit, release core.PermitReleased)
}

// ProgressReporter receives the observed token rate of running requests. If a
// Permits implements it, it receives reports for every permit that is in use. Report
// must not block.
type ProgressReporter interface {
	Report(permit core.Permit, progress core.Progress)
}

// Claims records the claims and outcomes of at-most-once calls in the journal.
type Claims interface {
	Claim(ctx context.Context, request rpcapi.ClaimRequest) (rpcapi.ClaimReply, error)
	Outcome(ctx context.Context, request rpcapi.OutcomeRequest) error
	ReleaseClaim(ctx context.Context, request rpcapi.ReleaseClaimRequest) error
	Lookup(ctx context.Context, request rpcapi.LookupRequest) (rpcapi.ClaimReply, error)
}

// Configuration provides the configuration in force, or nil if none has been loaded.
// The result must not be modified.
type Configuration interface {
	Current() *model.Configuration
}

// UsageRecorder records the usage of an attempt in the account of its organisation.
type UsageRecorder interface {
	RecordUsed(id model.RequestID, organisation, kind string, outcome core.Outcome, usage core.Usage)
}

// Targets sends requests, service calls and cancellations to targets.
// target.Client implements it.
type Targets interface {
	Stream(ctx context.Context, call target.Call, sink target.Sink) (target.Result, error)
	CallService(ctx context.Context, call target.ServiceCall) (target.ServiceAnswer, error)
	Cancel(ctx context.Context, to model.Target, id model.RequestID) error
}

// Readiness reports whether this process may receive traffic. Ready returns nil if it
// may, else the reason why it may not.
type Readiness interface {
	Ready() error
}
