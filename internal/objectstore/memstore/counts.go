package memstore

import (
	"time"

	"cicadaslip/internal/errs"
)

// Counts holds the number of calls by type since the start. A watch counts once
// however long it waits.
type Counts struct {
	Get     uint64 `json:"get"`
	Create  uint64 `json:"create"`
	Update  uint64 `json:"update"`
	Put     uint64 `json:"put"`
	Delete  uint64 `json:"delete"`
	List    uint64 `json:"list"`
	Watch   uint64 `json:"watch"`
	Listing uint64 `json:"listing"`
	Refused uint64 `json:"refused"` // over a rate; also counted above
	Waiting int    `json:"waiting"` // watches that wait now
}

// Writes returns the number of writes.
func (c Counts) Writes() uint64 { return c.Create + c.Update + c.Put + c.Delete }

// Reads returns the number of reads, watches and lists included.
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

// Rates limits the calls per second; 0 is no limit. A burst of one second's
// calls is allowed.
type Rates struct {
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
}

// SetRates sets the limits and fills both allowances.
func (s *Store) SetRates(rates Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.rates = limits{writes: bucket{rates.Writes, rates.Writes, now}, reads: bucket{rates.Reads, rates.Reads, now}}
}

type limits struct{ writes, reads bucket }

func (l *limits) take(op Op, now time.Time) error {
	b := &l.reads
	if op.isWrite() {
		b = &l.writes
	}
	return b.take(now)
}

type bucket struct {
	rate   float64 // calls per second; 0: no limit
	tokens float64
	filled time.Time
}

func (b *bucket) take(now time.Time) error {
	if b.rate <= 0 {
		return nil
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens >= 1 {
		b.tokens--
		return nil
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return errs.New(errs.StoreUnavailable, "over the platform's call rate").WithRetry(wait)
}
