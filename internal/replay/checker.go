package replay

import (
	"fmt"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Invariants that the checker tests in every run.
const (
	InvariantResident   = "no_request_on_absent_adapter"
	InvariantPins       = "no_eviction_with_pins"
	InvariantOneAnswer  = "every_request_answered_once"
	InvariantNotRun     = "not_run_did_not_run"
	InvariantAtMostOnce = "at_most_once_kinds_run_once"
	InvariantAdapter    = "answer_from_named_adapter"
	InvariantLeaving    = "no_new_work_on_leaving_target"
	InvariantSlots      = "no_load_into_occupied_slot"
)

// Invariants lists the names in a fixed order.
func Invariants() []string {
	return []string{
		InvariantResident, InvariantPins, InvariantOneAnswer, InvariantNotRun,
		InvariantAtMostOnce, InvariantAdapter, InvariantLeaving, InvariantSlots,
	}
}

const (
	// leavingGrace is the time after which a leaving target must receive no new
	// work: the list is read with a lag and permits may be under way.
	leavingGrace = 3 * time.Second
	// restartGrace is the time in which an owner may not know yet that a target
	// restarted empty: the interval of its state queries and some delay.
	restartGrace = 6 * time.Second
	// maxDetails bounds the violations that are kept in words.
	maxDetails = 20
)

// checker tests the invariants. It sees only what targets and callers see:
// requests that arrive at targets, orders that targets carry out, answers.
type checker struct {
	w       *world
	counts  map[string]int
	details []string
	runs    map[*request]int
	answers map[*request]int
	closed  map[string]time.Duration // targets by the time they were listed as leaving or removed
}

func newChecker(w *world) *checker {
	return &checker{
		w: w, counts: map[string]int{}, runs: map[*request]int{}, answers: map[*request]int{},
		closed: map[string]time.Duration{},
	}
}

func (c *checker) violate(invariant, detail string) {
	c.counts[invariant]++
	if len(c.details) < maxDetails {
		c.details = append(c.details, fmt.Sprintf("%v %s: %s", c.w.now, invariant, detail))
	}
}

// started is called when a request arrives at a target. It reports whether the
// target can serve it: a runner refuses a request for an absent adapter.
func (c *checker) started(t *target, a *attempt) bool {
	arrival := a.request.arrival
	if t.info.Class == model.ClassRunner {
		if a.permit.Adapter != arrival.adapter() {
			c.violate(InvariantAdapter, string(a.id))
		}
		if !t.resident[arrival.adapter()] {
			if t.instance == 0 || c.w.now > t.restartedAt+restartGrace {
				c.violate(InvariantResident, string(a.id)+" on "+t.info.Name)
			}
			return false
		}
	}
	c.runs[a.request]++
	if c.runs[a.request] > 1 && !c.w.repeatable(arrival) {
		c.violate(InvariantAtMostOnce, string(a.id))
	}
	if at, closed := c.closed[t.info.Name]; closed && c.w.now > at+leavingGrace {
		c.violate(InvariantLeaving, string(a.id)+" on "+t.info.Name)
	}
	if c.answers[a.request] > 0 && !a.request.ok {
		c.violate(InvariantNotRun, string(a.id))
	}
	return true
}

// evicted is called when a target carries out an evict order.
func (c *checker) evicted(t *target, adapter model.AdapterVersion) {
	for _, j := range append(append([]*job(nil), t.running...), t.waiting...) {
		if j.attempt.request.arrival.adapter() == adapter {
			c.violate(InvariantPins, string(j.attempt.id)+" on "+t.info.Name)
		}
	}
}

// noSlot is called when a load order reaches a target without a free slot.
func (c *checker) noSlot(t *target) { c.violate(InvariantSlots, t.info.Name) }

// answered is called when a caller gets its answer or its error.
func (c *checker) answered(r *request, err *errs.Error) {
	c.answers[r]++
	if c.answers[r] > 1 {
		c.violate(InvariantOneAnswer, string(r.arrival.ID)+" answered twice")
	}
	if err != nil && err.Ran == errs.RanNo && c.runs[r] > 0 {
		c.violate(InvariantNotRun, string(r.arrival.ID))
	}
}

func (c *checker) listed(change *ListChange) {
	if change.Leaving || change.Removed {
		if _, closed := c.closed[change.Target]; !closed {
			c.closed[change.Target] = c.w.now
		}
		return
	}
	delete(c.closed, change.Target)
}

// finish checks at the end of a run that no request is without an answer.
func (c *checker) finish() {
	for _, r := range c.w.requests {
		if c.answers[r] == 0 {
			c.violate(InvariantOneAnswer, string(r.arrival.ID)+" not answered")
		}
	}
}
