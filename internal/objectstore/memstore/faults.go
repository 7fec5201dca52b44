package memstore

import (
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// Op is a type of call.
type Op string

// Types of calls. OpAny in a rule matches every type, OpWrite each write.
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
	OpListing Op = "listing" // the list of VMs and targets
)

func (o Op) isWrite() bool {
	return o == OpCreate || o == OpUpdate || o == OpPut || o == OpDelete
}

// Fault is what happens to a call.
type Fault string

// Faults. Those of writes do nothing to reads and the other way round.
const (
	// Unavailable refuses the call without effect: errs.StoreUnavailable.
	Unavailable Fault = "unavailable"
	// Slow delays the call by Rule.Delay. A write whose caller gives up
	// meanwhile becomes a delayed write.
	Slow Fault = "slow"
	// LoseResponse applies the write and returns errs.StoreAmbiguous.
	LoseResponse Fault = "lose_response"
	// LoseRequest drops the write and returns errs.StoreAmbiguous.
	LoseRequest Fault = "lose_request"
	// DelayWrite returns errs.StoreAmbiguous; the write takes effect later.
	DelayWrite Fault = "delay_write"
	// StaleRead serves reads from a replica that is Rule.Lag revisions behind.
	StaleRead Fault = "stale_read"
)

// Rule applies a fault to calls that match. The first matching rule that has
// uses left decides.
type Rule struct {
	Fault  Fault         `json:"fault"`
	Op     Op            `json:"op,omitempty"`
	Prefix string        `json:"prefix,omitempty"` // of the key
	Skip   int           `json:"skip,omitempty"`   // matching calls that pass first
	Count  int           `json:"count,omitempty"`  // matching calls that fail; 0: all
	Lag    int64         `json:"lag,omitempty"`    // StaleRead: revisions
	Delay  time.Duration `json:"delay_ns,omitempty"`
	// AfterCalls applies a delayed write after so many further calls of any
	// type; 0: only by ApplyDelayed.
	AfterCalls int `json:"after_calls,omitempty"`
}

type activeRule struct {
	Rule
	seen int
}

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
	r.seen++
	return r.seen > r.Skip && (r.Count == 0 || r.seen <= r.Skip+r.Count)
}

// Inject adds rules behind the present ones.
func (s *Store) Inject(rules ...Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rule := range rules {
		s.rules = append(s.rules, &activeRule{Rule: rule})
	}
}

// ClearFaults removes all rules and ends an outage. Delayed writes stay
// pending.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
	s.outage = false
}

// SetOutage switches an outage of the whole store, list included. Waiting
// watches fail at once.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.wake()
}

// delayedWrite is a write whose caller has been told errs.StoreAmbiguous.
type delayedWrite struct {
	write     mutation
	callsLeft int // 0: waits for ApplyDelayed
}

// ApplyDelayed lets up to n delayed writes (0: all) take effect in the order of
// their calls, and returns how many had a condition that still held.
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

// Delayed returns the number of delayed writes that are pending.
func (s *Store) Delayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayed)
}

// advanceDelayed counts one call and applies the delayed writes that are due.
func (s *Store) advanceDelayed() {
	var waiting []delayedWrite
	var due []mutation
	for _, d := range s.delayed {
		d.callsLeft--
		if d.callsLeft == 0 {
			due = append(due, d.write)
			continue
		}
		d.callsLeft = max(d.callsLeft, 0)
		waiting = append(waiting, d)
	}
	s.delayed = waiting
	for _, write := range due {
		_, _ = s.apply(write)
	}
}

// begin counts a call and decides what happens to it.
func (s *Store) begin(op Op, key string) (Rule, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.add(op)
	s.advanceDelayed()
	if s.outage {
		return Rule{}, errs.New(errs.StoreUnavailable, "the store is down")
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
			return Rule{}, errs.New(errs.StoreUnavailable, "the store refused the call")
		}
		return rule.Rule, nil
	}
	return Rule{}, nil
}
