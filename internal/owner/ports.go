package owner

import (
	"context"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// Orders sends orders and questions to targets.
type Orders interface {
	// Execute sends the order of an intent and returns OrderDone, OrderFailed
	// or OrderUnknown.
	Execute(ctx context.Context, target model.Target, intent core.Intent) core.Event
	// State asks for the target's slots and running requests. The question
	// carries the epoch, so that a target that checks the fencing token refuses
	// older orders from then on.
	State(ctx context.Context, target model.Target, epoch model.Epoch) (core.TargetState, error)
	// Cancel ends a request on the target.
	Cancel(ctx context.Context, target model.Target, id model.RequestID) error
}

// Peers calls other VMs.
type Peers interface {
	ConfirmEpoch(ctx context.Context, vm string, request rpcapi.ConfirmEpochRequest) (rpcapi.ConfirmEpochReply, error)
	Hedge(ctx context.Context, vm string, request core.HedgeRequest) error
}

// Loads hands out load permits. Granted permits are reported to the function
// given with Ask, from any goroutine.
type Loads interface {
	Ask(group string, ask core.RequestLoadPermit, due time.Duration, granted func(model.AdapterVersion))
	Cancel(group string, adapter model.AdapterVersion)
}

// Accounts records what targets gave.
type Accounts interface {
	RecordGiven(given core.RecordGiven)
}

// Liveness says whether an incarnation is confirmed gone.
type Liveness interface {
	Gone(holder model.Holder) bool
}
