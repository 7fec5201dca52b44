package owner

import (
	"context"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// Orders sends orders, state queries and cancellations to targets.
type Orders interface {
	// Execute sends the order of an intent and returns core.OrderDone,
	// core.OrderFailed or core.OrderOutcomeUnknown.
	Execute(ctx context.Context, target model.Target, intent core.Intent) core.Event
	// State queries the target's resident adapters and running requests. The
	// query carries the epoch, so that a target that checks the fencing token
	// refuses orders of older epochs from then on.
	State(ctx context.Context, target model.Target, epoch model.Epoch) (core.TargetState, error)
	// Cancel cancels a request on the target.
	Cancel(ctx context.Context, target model.Target, id model.RequestID) error
}

// Peers calls other VMs.
type Peers interface {
	// ConfirmEpoch asks a VM to refuse older epochs of a group.
	ConfirmEpoch(ctx context.Context, vm string, request rpcapi.ConfirmEpochRequest) (rpcapi.ConfirmEpochReply, error)
	// Hedge advises a VM to start a second attempt of a running request.
	Hedge(ctx context.Context, vm string, request core.HedgeRequest) error
}

// LoadPermits obtains permits to load adapters from the weights store.
type LoadPermits interface {
	// Request asks for a load permit in the background. The granted function is
	// called from any goroutine when the permit is granted. The due time counts
	// from now. A request replaces an earlier one for the same group and adapter.
	Request(group string, request core.RequestLoadPermit, due time.Duration, granted func(model.AdapterVersion))
	// Cancel withdraws a request.
	Cancel(group string, adapter model.AdapterVersion)
}

// Accounting records finished requests in the account of the service that
// targets gave to organisations.
type Accounting interface {
	RecordGiven(given core.RecordGiven)
}

// Liveness reports whether an incarnation of a VM is confirmed gone.
type Liveness interface {
	Gone(holder model.Holder) bool
}
