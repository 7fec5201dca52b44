package memstore

import (
	"context"
	"time"
)

// Clock gives the time to rate limits, delays and waiting watches.
type Clock interface {
	Now() time.Time
	// After returns a channel that is ready once d has passed and a function
	// that frees the timer.
	After(d time.Duration) (<-chan time.Time, func())
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) After(d time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}

// pause waits for d. It reports false when ctx ended first.
func (s *Store) pause(ctx context.Context, d time.Duration) bool {
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
