package advisory

import (
	"context"
	"time"
)

// CallStatement is what the answer to an order, or to a request for a report, states about its
// target.
type CallStatement struct {
	Pause   time.Duration // for which the target wants nothing from this VM, 0 if none
	Invalid []string      // header fields whose statement is ignored
}

type callListenerKey struct{}

// WithCallListener returns a context for a call to a target. Its client passes what the answer
// states to heard.
func WithCallListener(ctx context.Context, heard func(CallStatement)) context.Context {
	return context.WithValue(ctx, callListenerKey{}, heard)
}

// HeardInCall passes on what the answer to a call states.
func HeardInCall(ctx context.Context, s CallStatement) {
	if heard, found := ctx.Value(callListenerKey{}).(func(CallStatement)); found && (s.Pause > 0 || len(s.Invalid) > 0) {
		heard(s)
	}
}
