package core

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/admission"
	"cicadaslip/internal/policy/estimate"
)

// storeRetry is the advice to callers whose adapter cannot be loaded while the
// store is unavailable.
const storeRetry = 2 * time.Second

// runAdmission refuses what cannot be answered: everything during a drain,
// new requests without a possible target or without a chance of an answer in
// time, and requests whose time is up.
func (c *Core) runAdmission(now Time) {
	if c.draining {
		for _, id := range sortedIDs(c.requests) {
			c.refuse(c.requests[id], errs.NotRun(errs.Draining, "the owner of the target group is shutting down"))
		}
	}
	if c.owner && c.targetsChanged {
		c.targetsChanged = false
		c.refuseImpossible()
	}
	throughput := 0.0
	if len(c.arrivals) > 0 {
		throughput = c.throughput()
	}
	for _, r := range c.arrivals {
		if r.lane != nil && c.owner {
			c.admit(now, r, throughput)
		}
	}
	clear(c.arrivals)
	c.arrivals = c.arrivals[:0]
	for len(c.starts) > 0 && c.starts[0].latestStart <= now {
		c.refuse(c.starts[0], c.lateError(c.starts[0]))
	}
}

// refuseImpossible refuses the requests that no target can serve any more, so that
// their front ends ask another group.
func (c *Core) refuseImpossible() {
	for _, id := range sortedIDs(c.requests) {
		if r := c.requests[id]; !c.possible(r) {
			c.refuse(r, impossible())
		}
	}
}

func impossible() *errs.Error {
	return errs.NotRun(errs.NoTarget, "no target of the group can serve the request")
}

func (c *Core) admit(now Time, r *requestRow, throughput float64) {
	if !c.possible(r) {
		c.refuse(r, impossible())
		return
	}
	org := r.lane.org
	arrival := admission.Arrival{
		Slack: r.due - now, ServiceTime: c.serviceTime(r), ExpectedWait: c.expectedWait(r, throughput),
		Density: r.Worth / r.head.Work,
	}
	if work := org.work[0] + org.work[1]; work > 0 {
		arrival.QueueDensity = org.worth / work
	}
	if c.policies.admit.Refuse(arrival) {
		c.refuse(r, errs.NotRun(errs.Overloaded, "the request would wait beyond its deadline").WithRetry(arrival.ExpectedWait))
	}
}

// serviceTime returns the expected time from dispatch to the whole answer.
func (c *Core) serviceTime(r *requestRow) time.Duration {
	if r.Class == model.ClassService {
		return r.adapterRow.service.Value()
	}
	return c.model.Service(r.PromptTokens, r.PredictedTokens, c.typicalConcurrency())
}

func (c *Core) typicalConcurrency() int {
	if c.openTargets == 0 {
		return 1
	}
	return max(1, c.concurrency/c.openTargets)
}

// throughput returns the work per second that the open targets can do, or zero
// if nothing was observed yet.
func (c *Core) throughput() float64 {
	gap := c.model.Gap(c.typicalConcurrency())
	if gap == 0 {
		return 0
	}
	return float64(c.concurrency) / gap.Seconds()
}

// expectedWait is bounded by the whole queue and by the organisation's own
// queue at its share. Short requests do not wait for long ones.
func (c *Core) expectedWait(r *requestRow, throughput float64) time.Duration {
	if throughput == 0 || r.Class == model.ClassService {
		return 0
	}
	total, own := c.work[0], r.lane.org.work[0]
	if r.long {
		total += c.work[1]
		own += r.lane.org.work[1]
	}
	total, own = total-r.head.Work, own-r.head.Work
	seconds := total / throughput
	if share := r.lane.org.part; share > 0 {
		seconds = min(seconds, own/(throughput*share))
	}
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// addWork keeps the sums of queued work and worth.
func (c *Core) addWork(r *requestRow, sign float64) {
	kind := 0
	if r.long {
		kind = 1
	}
	org := r.lane.org
	org.work[kind] += sign * r.head.Work
	org.worth += sign * r.Worth
	c.work[kind] += sign * r.head.Work
	r.adapterRow.worth += sign * r.Worth
	if org.queued == 0 { // removes rounding errors
		org.work, org.worth = [2]float64{}, 0
	}
	if r.adapterRow.waiting == 0 {
		r.adapterRow.worth = 0
	}
	if len(c.requests) == 0 {
		c.work = [2]float64{}
	}
}

func workOf(r Request) float64 { return estimate.Work(r.PromptTokens, r.PredictedTokens) }

func (c *Core) lateError(r *requestRow) *errs.Error {
	switch {
	case !c.owner:
		return errs.NotRun(errs.NotOwner, "the owner of the target group has not taken over yet")
	case c.storeDown && !r.adapterRow.anyUsable():
		return errs.NotRun(errs.StoreUnavailable, "the adapter is not resident and the store is unavailable").WithRetry(storeRetry)
	}
	return errs.NotRun(errs.DeadlineUnreachable, "the request cannot be answered by its deadline")
}

// possible reports whether any target could serve the request.
func (c *Core) possible(r *requestRow) bool {
	for _, t := range c.targets {
		if t.open() && matches(t, r) {
			return true
		}
	}
	return false
}

// matches reports whether a target is of the class that the request needs and
// is not excluded.
func matches(t *targetRow, r *requestRow) bool {
	if t.info.Class != r.Class || excluded(r.Exclude, t.info.Name) {
		return false
	}
	if r.Class == model.ClassService {
		return t.info.Application == r.Application
	}
	return t.info.BaseModel == r.BaseModel
}
