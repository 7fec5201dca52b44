package journal

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// probeNeeded reports whether the store failed and no batch is in doubt whose
// next attempt serves as the probe.
func (s *Shard) probeNeeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown && s.inDoubt == nil
}

// fail counts a failure of the store and sets the time of the next attempt.
func (s *Shard) fail(err error, doing string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.deps.Counters.StoreFailures.Add(1)
	s.notBefore = s.deps.Now().Add(s.backoff(s.failures))
	if !errs.Is(err, errs.StoreUnavailable) && s.failures < attemptsBeforeRefusal {
		return // a single lost response is not an outage
	}
	if !s.storeDown {
		s.record(timeline.StoreDown, doing)
		s.deps.Log.Warn().Err(err).Int("shard", s.number).Str("doing", doing).Msg("journal store call failed")
	}
	s.storeDown = true
	if s.inDoubt == nil && s.mode != modeAcquiring {
		s.refuseQueue(s.errStoreDown())
	}
}

// succeed ends an outage.
func (s *Shard) succeed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		s.record(timeline.StoreUp, "")
	}
	s.storeDown, s.failures = false, 0
}

// backoff returns a wait that doubles with each failure in a row. It is drawn from the
// upper half of the interval, so that owners do not all return at once when the
// store recovers. Callers hold the lock.
func (s *Shard) backoff(failures int) time.Duration {
	const maxDoublings = 16
	limit := s.settings.BackoffMin << min(failures-1, maxDoublings)
	limit = min(limit, s.settings.BackoffMax)
	return limit/2 + time.Duration(s.deps.Rand.Int64N(int64(limit/2)+1))
}

// errStoreDown advises a retry time after the next attempt, spread over the same
// length again. Callers hold the lock.
func (s *Shard) errStoreDown() *errs.Error {
	wait := max(s.notBefore.Sub(s.deps.Now()), s.settings.BackoffMin)
	wait += time.Duration(s.deps.Rand.Int64N(int64(wait)))
	return errs.NotRun(errs.StoreUnavailable, "the platform's store is unavailable").WithRetry(wait)
}
