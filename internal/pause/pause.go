// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d. It reports false when ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
