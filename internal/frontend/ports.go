package frontend

import (
	"context"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// Permits obtains permits from the owners of target groups. Acquire picks a
// group and waits in its owner's queue. Its errors say that the request was not
// run.
type Permits interface {
	Acquire(ctx context.Context, request core.Request) (core.Permit, error)
	Release(permit core.Permit, release core.PermitReleased)
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
