package advisory

import (
	"math"
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
	Unclear   bool          // neither Leaving nor the opposite
	Pause     time.Duration // for which the target wants no request from this VM, 0 if none
	RateLimit float64       // requests per second from all VMs together, 0 if there is no limit
	SentAt    time.Duration // when the answered request was sent
	HeardAt   time.Duration // when the head arrived
}

// Source tells who heard a statement.
type Source string

// Sources of statements.
const (
	Answer Source = "answer" // this VM, from the target
	Owner  Source = "owner"  // another VM, and the owner of a target group passed it on
	Told   Source = "vm"     // another VM, which told this VM as the owner of a target group
)

const (
	// never is the time of what has not happened.
	never = time.Duration(math.MinInt64)
	// unlistedRetention is how long the statements of a target are kept that is not listed. The
	// entry of a target that serves may be missing for as long as an outage of the store, and may
	// reach this VM later than its answer.
	unlistedRetention = time.Hour
)

// record is what one incarnation of a target has stated.
type record struct {
	born          int64
	heardAt       time.Duration // newest statement to this VM that the target leaves
	toldAt        time.Duration // newest statement to another VM that the target leaves
	stayedAt      time.Duration // newest request of this VM whose answer does not state it
	leavingSince  time.Duration // of the statement that made the target leave
	changed       uint64        // version of the table since which other VMs are to hear that the target leaves
	pausedSince   time.Duration // first statement of the current or last pause
	pausedUntil   time.Duration
	called        bool          // the call that TakeCall allows was made during the current or last pause
	unlistedSince time.Duration // never if the target is listed
}

// leaving reports whether the target leaves. What it has told this VM holds for the whole
// incarnation. What it has told another VM ends with its answer to a later request of this VM.
func (r *record) leaving() bool {
	return r.heardAt != never || r.toldAt != never && r.toldAt >= r.stayedAt
}

// source returns who heard that the target leaves.
func (r *record) source() Source {
	if r.heardAt != never {
		return Answer
	}
	return Owner
}

// Table holds the statements of all targets that a VM has heard of. It is not safe for
// concurrent use.
type Table struct {
	records map[string]*record // by target
	// limits outlive an incarnation: that a new one takes more than the former is for its
	// first answer to tell.
	limits  *ratelimit.Table
	version uint64 // of what the table can tell other VMs, rises with each change
	pauses  pauses
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]*record{}, limits: ratelimit.NewTable(), pauses: newPauses()}
}

// Observe records the statement of an answer to this VM. It reports whether the target
// begins or ceases to leave.
func (t *Table) Observe(i Incarnation, s Statement, p ratelimit.Position) bool {
	if known := t.records[i.Target]; known != nil && known.born > i.Born {
		return false
	}
	t.limits.Observe(s.HeardAt, i.Target, s.RateLimit, p)
	r := t.record(i)
	before := r.leaving()
	switch {
	case s.Leaving:
		if r.heardAt == never && before {
			t.giveVersion(r) // now this VM tells it as its own
		}
		r.heardAt = max(r.heardAt, s.HeardAt)
	case !s.Unclear:
		r.stayedAt = max(r.stayedAt, s.SentAt)
	}
	t.ObservePause(s.HeardAt, i, s.Pause)
	return t.noteChange(r, before, s.HeardAt)
}

// record returns the record of an incarnation that is not older than the known one, and
// creates it if there is none.
func (t *Table) record(i Incarnation) *record {
	r := t.records[i.Target]
	if r == nil || r.born < i.Born {
		r = &record{born: i.Born, heardAt: never, toldAt: never, stayedAt: never, pausedUntil: never, unlistedSince: never}
		t.records[i.Target] = r
	}
	return r
}

// noteChange gives a target that begins to leave a version. It reports whether the target
// begins or ceases to leave.
func (t *Table) noteChange(r *record, before bool, at time.Duration) bool {
	after := r.leaving()
	if after && !before {
		t.giveVersion(r)
		r.leavingSince = at
	}
	return after != before
}

// giveVersion makes the other VMs hear of a target with the next delta.
func (t *Table) giveVersion(r *record) {
	t.version++
	r.changed = t.version
}

// Leaving reports whether a target has stated that it leaves.
func (t *Table) Leaving(i Incarnation) bool {
	r := t.records[i.Target]
	return r != nil && r.born >= i.Born && r.leaving()
}

// Origin returns who heard that a target leaves or left, and how long ago.
func (t *Table) Origin(now time.Duration, target string) (Source, time.Duration) {
	if r := t.records[target]; r != nil && max(r.heardAt, r.toldAt) != never {
		return r.source(), now - r.leavingSince
	}
	return "", 0
}

// Retain drops the statements of former incarnations, and of targets that are no longer
// listed. listed returns the start time of a target that is listed.
func (t *Table) Retain(now time.Duration, listed func(target string) (born int64, found bool)) {
	for target, r := range t.records {
		born, found := listed(target)
		switch {
		case found && born > r.born:
			delete(t.records, target)
		case found:
			r.unlistedSince = never
		case r.unlistedSince == never:
			r.unlistedSince = now
		case now-r.unlistedSince > unlistedRetention && r.pausedUntil <= now:
			delete(t.records, target)
		}
	}
	t.limits.Retain(func(target string) bool { _, found := listed(target); return found })
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

// StatedLimits returns the limits of the targets, with the times since which they have been in
// force.
func (t *Table) StatedLimits() map[string]ratelimit.Stated { return t.limits.Stated() }

// RateLimits returns the limits of the targets.
func (t *Table) RateLimits() map[string]float64 { return t.limits.Limits() }
