package core

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/admission"
	"cicadaslip/internal/policy/estimate"
)

// storeUnavailableRetry is the retry delay advised to callers whose adapter
// cannot be loaded while the store is unavailable.
const storeUnavailableRetry = 2 * time.Second

// runAdmission refuses requests that cannot be answered: all queued requests
// during a drain, requests that no target can serve, new requests that cannot
// be answered by their deadlines, and requests whose latest start has passed.
func (c *Core) runAdmission(now Time) {
	if c.draining {
		for _, id := range sortedIDs(c.requests) {
			c.refuse(c.requests[id], errs.NotRun(errs.Draining, "the owner of the target group is shutting down"))
		}
	}
	if c.isOwner && c.targetsChanged {
		c.targetsChanged = false
		c.refuseUnservable()
	}
	throughput := 0.0
	if len(c.arrivals) > 0 {
		throughput = c.throughput()
	}
	for _, r := range c.arrivals {
		if r.lane != nil && c.isOwner {
			c.admit(now, r, throughput)
		}
	}
	clear(c.arrivals)
	c.arrivals = c.arrivals[:0]
	for len(c.byLatestStart) > 0 && c.byLatestStart[0].latestStart <= now {
		c.refuse(c.byLatestStart[0], c.lateError(c.byLatestStart[0]))
	}
}

// refuseUnservable refuses the queued requests that no target can serve any
// more, so that their front ends try another group.
func (c *Core) refuseUnservable() {
	for _, id := range sortedIDs(c.requests) {
		if r := c.requests[id]; !c.servable(r) {
			c.refuse(r, noTargetError())
		}
	}
}

// noTargetError is the refusal of a request that no target can serve.
func noTargetError() *errs.Error {
	return errs.NotRun(errs.NoTarget, "no target of the group can serve the request")
}

// admit refuses a new request that no target can serve, or that the admission
// policy refuses because of its expected wait.
func (c *Core) admit(now Time, r *requestRow, throughput float64) {
	if !c.servable(r) {
		c.refuse(r, noTargetError())
		return
	}
	org := r.lane.org
	arrival := admission.Arrival{
		Slack: r.due - now, ServiceTime: c.serviceTime(r), ExpectedWait: c.expectedWait(r, throughput),
		Density: r.Worth / r.queueHead.Work,
	}
	if queuedWork := org.queuedWork[0] + org.queuedWork[1]; queuedWork > 0 {
		arrival.QueueDensity = org.queuedWorth / queuedWork
	}
	if c.policies.admit.Refuse(arrival) {
		c.refuse(r, errs.NotRun(errs.Overloaded, "the request would wait beyond its deadline").WithRetry(arrival.ExpectedWait))
	}
}

// serviceTime returns the expected time from dispatch to the end of the answer.
func (c *Core) serviceTime(r *requestRow) time.Duration {
	if r.Class == model.ClassService {
		return r.adapterRow.service.Value()
	}
	return c.model.ServiceTime(r.PromptTokens, r.PredictedTokens, c.meanConcurrency())
}

// meanConcurrency returns the mean concurrency of the runners that accept work,
// at least one.
func (c *Core) meanConcurrency() int {
	if c.openRunners == 0 {
		return 1
	}
	return max(1, c.runnerConcurrency/c.openRunners)
}

// throughput returns the work in token equivalents per second that the runners
// in service can do, or zero if no token gap has been observed yet.
func (c *Core) throughput() float64 {
	gap := c.model.TokenGap(c.meanConcurrency())
	if gap == 0 {
		return 0
	}
	return float64(c.runnerConcurrency) / gap.Seconds()
}

// expectedWait returns the expected time in the queue: the time to serve the
// whole queue, or the organisation's own queue at its capacity share if that is
// shorter. Short requests do not wait for long ones.
func (c *Core) expectedWait(r *requestRow, throughput float64) time.Duration {
	if throughput == 0 || r.Class == model.ClassService {
		return 0
	}
	total, own := c.queuedWork[0], r.lane.org.queuedWork[0]
	if r.long {
		total += c.queuedWork[1]
		own += r.lane.org.queuedWork[1]
	}
	total, own = total-r.queueHead.Work, own-r.queueHead.Work
	seconds := total / throughput
	if share := r.lane.org.capacityShare; share > 0 {
		seconds = min(seconds, own/(throughput*share))
	}
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// addQueuedWork adds the work and worth of a request to the sums of the queue,
// or subtracts them if sign is -1.
func (c *Core) addQueuedWork(r *requestRow, sign float64) {
	lengthClass := 0
	if r.long {
		lengthClass = 1
	}
	org := r.lane.org
	org.queuedWork[lengthClass] += sign * r.queueHead.Work
	org.queuedWorth += sign * r.Worth
	c.queuedWork[lengthClass] += sign * r.queueHead.Work
	r.adapterRow.queuedWorth += sign * r.Worth
	if org.queued == 0 { // remove accumulated rounding errors
		org.queuedWork, org.queuedWorth = [2]float64{}, 0
	}
	if r.adapterRow.waiting == 0 {
		r.adapterRow.queuedWorth = 0
	}
	if len(c.requests) == 0 {
		c.queuedWork = [2]float64{}
	}
}

// workOf returns the predicted work of a request in token equivalents.
func workOf(r Request) float64 { return estimate.Work(r.PromptTokens, r.PredictedTokens) }

// lateError returns the refusal of a request whose latest start has passed, with
// the reason why it was not granted.
func (c *Core) lateError(r *requestRow) *errs.Error {
	switch {
	case !c.isOwner:
		return errs.NotRun(errs.NotOwner, "the owner of the target group has not taken over yet")
	case c.storeDown && !r.adapterRow.anyUsable():
		return errs.NotRun(errs.StoreUnavailable, "the adapter is not resident and the store is unavailable").WithRetry(storeUnavailableRetry)
	}
	return errs.NotRun(errs.DeadlineUnreachable, "the request cannot be answered by its deadline")
}

// servable reports whether any target that accepts work matches the request.
func (c *Core) servable(r *requestRow) bool {
	for _, t := range c.targets {
		if t.acceptsWork() && matches(t, r) {
			return true
		}
	}
	return false
}

// matches reports whether a target has the class and the application or base
// model that the request needs and is not excluded by the request.
func matches(t *targetRow, r *requestRow) bool {
	if t.info.Class != r.Class || excluded(r.Exclude, t.info.Name) {
		return false
	}
	if r.Class == model.ClassService {
		return t.info.Application == r.Application
	}
	return t.info.BaseModel == r.BaseModel
}
