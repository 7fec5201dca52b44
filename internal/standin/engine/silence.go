package engine

import (
	"net/http"
	"sync/atomic"
	"time"
)

// silence is a time in which a target sends nothing and loses nothing.
type silence struct {
	until atomic.Int64 // Unix time in nanoseconds
}

// FallSilent makes the target send nothing for a time: no head, no event, no answer to orders
// and reports. Then it goes on. A later call replaces it.
func (t *Target) FallSilent(d time.Duration) {
	t.quiet.until.Store(time.Now().Add(d).UnixNano())
}

// SilentUntil returns the end of the last silence.
func (t *Target) SilentUntil() time.Time { return time.Unix(0, t.quiet.until.Load()) }

// wait returns at the end of the silence. It reports false if the caller has left before.
func (s *silence) wait(r *http.Request) bool {
	for {
		left := time.Until(time.Unix(0, s.until.Load()))
		if left <= 0 {
			return true
		}
		if !pause(r, left) {
			return false
		}
	}
}
