package journal

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// probeNeeded reports whether the store must be probed: it is down, and there is
// no batch in doubt whose next attempt would serve as the probe.
func (s *Shard) probeNeeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown && s.pending == nil
}

// handleStoreFailure counts a failed operation and sets the time of the next
// attempt. If the failure amounts to an outage, it refuses the queued calls, unless
// a batch is in doubt or the shard is being taken over. The name of the operation
// goes into the log and the timeline.
func (s *Shard) handleStoreFailure(err error, operation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures++
	s.deps.Counters.StoreFailures.Add(1)
	s.notBefore = s.deps.Now().Add(s.backoff(s.consecutiveFailures))
	if !errs.Is(err, errs.StoreUnavailable) && s.consecutiveFailures < attemptsBeforeRefusal {
		return // one or two failures with an uncertain result are not an outage
	}
	if !s.storeDown {
		s.recordEvent(timeline.StoreDown, operation)
		s.deps.Log.Warn().Err(err).Int("shard", s.number).Str("doing", operation).Msg("journal store call failed")
	}
	s.storeDown = true
	if s.pending == nil && s.mode != modeAcquiring {
		s.refuseQueue(s.errStoreDown())
	}
}

// handleStoreSuccess ends an outage, if there is one.
func (s *Shard) handleStoreSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		s.recordEvent(timeline.StoreUp, "")
	}
	s.storeDown, s.consecutiveFailures = false, 0
}

// backoff returns a random wait from the upper half of an interval that doubles
// with each consecutive failure, up to BackoffMax. The randomness keeps the owners
// of all shards from calling the store at the same moment when it recovers.
// Callers hold the lock.
func (s *Shard) backoff(failures int) time.Duration {
	const maxDoublings = 16
	limit := s.settings.BackoffMin << min(failures-1, maxDoublings)
	limit = min(limit, s.settings.BackoffMax)
	return limit/2 + time.Duration(s.deps.Rand.Int64N(int64(limit/2)+1))
}

// errStoreDown returns the error of a call during an outage. Its retry time lies
// after the shard's next attempt, delayed at random by up to the time until then,
// so that callers do not all return at once. Callers hold the lock.
func (s *Shard) errStoreDown() *errs.Error {
	wait := max(s.notBefore.Sub(s.deps.Now()), s.settings.BackoffMin)
	wait += time.Duration(s.deps.Rand.Int64N(int64(wait)))
	return errs.NotRun(errs.StoreUnavailable, "the platform's store is unavailable").WithRetry(wait)
}
