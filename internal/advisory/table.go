package advisory

import (
	"time"

	"cicadaslip/internal/ratelimit"
)

// Incarnation is one run of a target, from its start to its end.
type Incarnation struct {
	Target string
	Born   int64 // start time of the target, in Unix milliseconds
}

// Statement is what the head of one answer states about its target.
type Statement struct {
	Leaving   bool
	Pause     time.Duration // for which the target wants no request from this VM, 0 if none
	RateLimit float64       // requests per second from all VMs together, 0 if there is no limit
	SentAt    time.Duration // when the answered request was sent
	HeardAt   time.Duration // when the head arrived
}

// Source tells where a statement comes from.
type Source string

// Sources of statements.
const (
	Answer Source = "answer" // an answer to this VM
	Peer   Source = "owner"  // another VM, through the owner of a target group
)

// record is what one target has stated. Statements of older incarnations are dropped.
type record struct {
	born        int64
	leaving     bool
	source      Source
	leavingAt   time.Duration // newest statement that the target leaves
	stayedAt    time.Duration // newest request whose answer did not state that
	pausedUntil time.Duration // 0 if there is no pause
	pauseSentAt time.Duration // request whose answer set or ended the pause
}

// Table holds the statements of all targets to one VM. It is not safe for concurrent use.
type Table struct {
	records map[string]*record // by target
	limits  *ratelimit.Table
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]*record{}, limits: ratelimit.NewTable()}
}

// Observe records the statement of an answer to this VM.
func (t *Table) Observe(i Incarnation, s Statement, p ratelimit.Position) {
	r := t.record(i)
	if r == nil {
		return
	}
	t.limits.Observe(s.HeardAt, i.Target, s.RateLimit, p)
	switch {
	case s.Leaving:
		r.leaving, r.source, r.leavingAt = true, Answer, max(r.leavingAt, s.HeardAt)
	case s.SentAt >= r.leavingAt:
		r.leaving = false
	}
	if s.Pause > 0 {
		r.pausedUntil, r.pauseSentAt = max(r.pausedUntil, s.HeardAt+s.Pause), max(r.pauseSentAt, s.SentAt)
	}
}

// record returns the record of an incarnation, and creates it if there is none or an older
// one. It returns nil if the target has a newer incarnation.
func (t *Table) record(i Incarnation) *record {
	r := t.records[i.Target]
	switch {
	case r == nil || r.born < i.Born:
		r = &record{born: i.Born}
		t.records[i.Target] = r
	case r.born > i.Born:
		return nil
	}
	return r
}

// Leaving reports whether a target has stated that it leaves.
func (t *Table) Leaving(i Incarnation) bool {
	r := t.records[i.Target]
	return r != nil && r.born >= i.Born && r.leaving
}

// PausedFor returns the time for which a target wants no request from this VM, 0 if it takes
// requests.
func (t *Table) PausedFor(now time.Duration, i Incarnation) time.Duration {
	r := t.records[i.Target]
	if r == nil || r.born < i.Born {
		return 0
	}
	return max(0, r.pausedUntil-now)
}

// Retain removes the statements of targets that no longer exist.
func (t *Table) Retain(exists func(target string) bool) {
	for target := range t.records {
		if !exists(target) {
			delete(t.records, target)
		}
	}
	t.limits.Retain(exists)
}

// TakeFromLimit records a request that this VM sends to a target by its own choice and
// reports true, or reports false if this VM's share of the target's limit is used up.
func (t *Table) TakeFromLimit(now time.Duration, target string) bool {
	return t.limits.Take(now, target)
}

// CountAgainstLimit records a request that is sent to a target under the grant of an owner.
func (t *Table) CountAgainstLimit(now time.Duration, target string) { t.limits.Count(now, target) }

// Exhausted returns the targets whose limit allows no request of this VM now.
func (t *Table) Exhausted(now time.Duration) []string { return t.limits.Exhausted(now) }

// RateLimits returns the limits of the targets.
func (t *Table) RateLimits() map[string]float64 { return t.limits.Limits() }
