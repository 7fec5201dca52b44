package memstore

import (
	"time"

	"cicadaslip/internal/errs"
)

// Counts holds the number of calls of each type since the store was created. A
// watch counts as one call however long it waits.
type Counts struct {
	Get     uint64 `json:"get"`
	Create  uint64 `json:"create"`
	Update  uint64 `json:"update"`
	Put     uint64 `json:"put"`
	Delete  uint64 `json:"delete"`
	List    uint64 `json:"list"`
	Watch   uint64 `json:"watch"`
	Listing uint64 `json:"listing"`
	Refused uint64 `json:"refused"` // calls refused because of a rate limit; they are also counted by type
	Waiting int    `json:"waiting"` // number of watches that are waiting at present
}

// Writes returns the number of calls that write.
func (c Counts) Writes() uint64 { return c.Create + c.Update + c.Put + c.Delete }

// Reads returns the number of calls that read, watches and lists included.
func (c Counts) Reads() uint64 { return c.Get + c.List + c.Watch + c.Listing }

func (c *Counts) add(op Op) {
	counters := map[Op]*uint64{
		OpGet: &c.Get, OpCreate: &c.Create, OpUpdate: &c.Update, OpPut: &c.Put,
		OpDelete: &c.Delete, OpList: &c.List, OpWatch: &c.Watch, OpListing: &c.Listing,
	}
	*counters[op]++
}

// Counts returns the call counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Rates holds the limits of writes and of reads, in calls per second; 0 means no
// limit. A burst of up to one second's calls is allowed.
type Rates struct {
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
}

// SetRates sets the limits and allows a full burst of each kind.
func (s *Store) SetRates(rates Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.rates = rateLimits{writes: tokenBucket{rates.Writes, rates.Writes, now}, reads: tokenBucket{rates.Reads, rates.Reads, now}}
}

// rateLimits holds the token buckets that enforce Rates.
type rateLimits struct{ writes, reads tokenBucket }

// take takes one token for a call, or fails if the limit is exceeded.
func (l *rateLimits) take(op Op, now time.Time) error {
	b := &l.reads
	if op.isWrite() {
		b = &l.writes
	}
	return b.take(now)
}

// tokenBucket allows rate calls per second, with bursts of up to rate calls.
type tokenBucket struct {
	rate       float64 // calls per second; 0 means no limit
	tokens     float64
	refilledAt time.Time
}

// take takes one token. If there is none, the error's retry delay is the time until
// the next one.
func (b *tokenBucket) take(now time.Time) error {
	if b.rate <= 0 {
		return nil
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return nil
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return errs.New(errs.StoreUnavailable, "the platform's limit of calls per second is exceeded").WithRetry(wait)
}
