package memstore

import (
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// Op is a type of call to the store or its list.
type Op string

// Types of calls. In a rule, OpAny matches every type, and OpWrite matches creates,
// updates, puts and deletes.
const (
	OpAny     Op = ""
	OpWrite   Op = "write"
	OpGet     Op = "get"
	OpCreate  Op = "create"
	OpUpdate  Op = "update"
	OpPut     Op = "put"
	OpDelete  Op = "delete"
	OpList    Op = "list"
	OpWatch   Op = "watch"
	OpListing Op = "listing" // a read of the platform's list of VMs and targets
)

func (o Op) isWrite() bool {
	return o == OpCreate || o == OpUpdate || o == OpPut || o == OpDelete
}

// Fault is the effect of a rule on a call.
type Fault string

// Faults. LoseResponse, LoseRequest and DelayWrite apply only to writes, and
// StaleRead applies only to reads of objects.
const (
	// Unavailable refuses the call with errs.StoreUnavailable; it has no effect.
	Unavailable Fault = "unavailable"
	// Slow delays the call by Rule.Delay. If the context of a write ends during
	// the delay, the write becomes a delayed write.
	Slow Fault = "slow"
	// LoseResponse applies the write but returns errs.StoreAmbiguous.
	LoseResponse Fault = "lose_response"
	// LoseRequest drops the write and returns errs.StoreAmbiguous.
	LoseRequest Fault = "lose_request"
	// DelayWrite returns errs.StoreAmbiguous and applies the write later.
	DelayWrite Fault = "delay_write"
	// StaleRead serves reads from a replica that is Rule.Lag revisions behind.
	StaleRead Fault = "stale_read"
)

// Rule applies a fault to the calls that match it. Of several rules, the first one
// that matches a call and is not used up applies.
type Rule struct {
	Fault  Fault         `json:"fault"`
	Op     Op            `json:"op,omitempty"`
	Prefix string        `json:"prefix,omitempty"`   // prefix of the keys that match
	Skip   int           `json:"skip,omitempty"`     // number of matching calls that the rule lets pass before its first fault
	Count  int           `json:"count,omitempty"`    // number of matching calls that the fault applies to; 0 means all
	Lag    int64         `json:"lag,omitempty"`      // for StaleRead, the number of revisions that the replica is behind
	Delay  time.Duration `json:"delay_ns,omitempty"` // delay before the call is served, in nanoseconds; 0 means none
	// AfterCalls is, for a delayed write, the number of further calls of any type
	// after which it is applied; 0 means that only ApplyDelayed applies it.
	AfterCalls int `json:"after_calls,omitempty"`
}

// activeRule is an injected rule with its use so far.
type activeRule struct {
	Rule
	matched int // number of matching calls so far
}

// matches reports whether the rule applies to a call, and counts the call if it is
// of the type, fault and prefix of the rule.
func (r *activeRule) matches(op Op, key string) bool {
	byType := r.Op == OpAny || r.Op == op || r.Op == OpWrite && op.isWrite()
	byFault := true
	switch r.Fault {
	case LoseResponse, LoseRequest, DelayWrite:
		byFault = op.isWrite()
	case StaleRead:
		byFault = op == OpGet || op == OpList
	}
	if !byType || !byFault || !strings.HasPrefix(key, r.Prefix) {
		return false
	}
	r.matched++
	return r.matched > r.Skip && (r.Count == 0 || r.matched <= r.Skip+r.Count)
}

// Inject adds rules after the existing ones.
func (s *Store) Inject(rules ...Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rule := range rules {
		s.rules = append(s.rules, &activeRule{Rule: rule})
	}
}

// ClearFaults removes all rules and ends an outage. It does not apply or drop
// delayed writes.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
	s.outage = false
}

// SetOutage starts or ends an outage of the whole store, its list included. When
// an outage starts, remaining watches fail at once.
func (s *Store) SetOutage(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = active
	s.notifyWatches()
}

// delayedWrite is a write that returned errs.StoreAmbiguous and is not yet applied.
type delayedWrite struct {
	write     mutation
	callsLeft int // calls until the write is applied; 0 means that only ApplyDelayed applies it
}

// ApplyDelayed applies the first n delayed writes, or all of them if n is 0, in the
// order of their calls. It returns the number of those that took effect, which are
// the ones whose condition still held.
func (s *Store) ApplyDelayed(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n <= 0 || n > len(s.delayed) {
		n = len(s.delayed)
	}
	due := s.delayed[:n]
	s.delayed = append([]delayedWrite(nil), s.delayed[n:]...)
	applied := 0
	for _, d := range due {
		if _, err := s.apply(d.write); err == nil {
			applied++
		}
	}
	return applied
}

// Delayed returns the number of delayed writes that are not yet applied.
func (s *Store) Delayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayed)
}

// advanceDelayed counts one call for each delayed write and applies those that are
// due.
func (s *Store) advanceDelayed() {
	var remaining []delayedWrite
	var due []mutation
	for _, d := range s.delayed {
		d.callsLeft--
		if d.callsLeft == 0 {
			due = append(due, d.write)
			continue
		}
		d.callsLeft = max(d.callsLeft, 0)
		remaining = append(remaining, d)
	}
	s.delayed = remaining
	for _, write := range due {
		_, _ = s.apply(write)
	}
}

// startCall counts a call and returns the rule that applies to it, or a zero rule.
// It fails if an outage, a rate limit or an Unavailable rule refuses the call.
func (s *Store) startCall(op Op, key string) (Rule, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.add(op)
	s.advanceDelayed()
	if s.outage {
		return Rule{}, errs.New(errs.StoreUnavailable, "the store is down because of an injected outage")
	}
	if err := s.rates.take(op, s.clock.Now()); err != nil {
		s.counts.Refused++
		return Rule{}, err
	}
	for _, rule := range s.rules {
		if !rule.matches(op, key) {
			continue
		}
		if rule.Fault == Unavailable {
			return Rule{}, errs.New(errs.StoreUnavailable, "the store refused the call because of an injected fault")
		}
		return rule.Rule, nil
	}
	return Rule{}, nil
}
