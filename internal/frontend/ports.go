package frontend

import (
	"context"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/target"
)

// Permits obtains permits from the owners of target groups. Acquire picks a
// group and waits in its owner's queue. Its errors say that the request was not
// run. The request id of the permit is the asked one or derived from it by a
// suffix; it is the id of the attempt towards the target.
type Permits interface {
	Acquire(ctx context.Context, request core.Request) (core.Permit, error)
	Release(permit core.Permit, release core.PermitReleased)
}

// ProgressReporter takes the observed cadence of running requests. A Permits
// that implements it gets reports for every permit that is in use. Report must
// not block.
type ProgressReporter interface {
	Report(permit core.Permit, progress core.Progress)
}

// Claims records at-most-once calls in the journal.
type Claims interface {
	Claim(ctx context.Context, request rpcapi.ClaimRequest) (rpcapi.ClaimReply, error)
	Outcome(ctx context.Context, request rpcapi.OutcomeRequest) error
	ReleaseClaim(ctx context.Context, request rpcapi.ReleaseClaimRequest) error
	Lookup(ctx context.Context, request rpcapi.LookupRequest) (rpcapi.ClaimReply, error)
}

// Configuration gives the configuration in force. The result must not be
// changed.
type Configuration interface {
	Current() *model.Configuration
}

// UsageRecorder enters what a request used into the account.
type UsageRecorder interface {
	RecordUsed(id model.RequestID, organisation, kind string, outcome core.Outcome, usage core.Usage)
}

// Targets sends work to targets. target.Client implements it.
type Targets interface {
	Stream(ctx context.Context, call target.Call, sink target.Sink) (target.Result, error)
	CallService(ctx context.Context, call target.ServiceCall) (target.ServiceAnswer, error)
	Cancel(ctx context.Context, to model.Target, id model.RequestID) error
}

// Readiness says whether this process may take traffic. Ready returns nil or
// the reason why not.
type Readiness interface {
	Ready() error
}
