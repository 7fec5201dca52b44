package memstore

import (
	"context"
	"time"
)

// Clock is the source of time for rate limits, delays and waiting watches.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives a value when d has passed, and a
	// function that stops the timer.
	After(d time.Duration) (<-chan time.Time, func())
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) After(d time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}

// sleep waits for d and reports whether d passed before ctx ended.
func (s *Store) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	ready, stop := s.clock.After(d)
	defer stop()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return false
	}
}
