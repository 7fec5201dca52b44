package placer

import (
	"slices"
	"time"

	"cicadaslip/internal/errs"
)

// usable reports whether requests may be sent to a held adapter. One in an older
// version is used for a short time, until another target has the newer one.
func (c *Core) usable(row *heldRow) bool {
	if row.state != heldReady || row.doubt || !row.target.open() {
		return false
	}
	if row.stale == 0 {
		return true
	}
	if c.now-row.stale > versionGrace {
		return false
	}
	return !slices.ContainsFunc(c.adapter(row.adapter).held, func(other *heldRow) bool {
		return other.state == heldReady && other.stale == 0 && other.target.open()
	})
}

// choice is a target and the expected time until the first event.
type choice struct {
	row     *heldRow
	target  *targetRow
	backlog time.Duration
	first   time.Duration
	price   time.Duration // what the links to the target cost besides
}

// before reports whether a choice is the better one.
func (a choice) before(b choice) bool { return a.first+a.price < b.first+b.price }

// hasRoom reports whether a target can take one more request.
func (c *Core) hasRoom(t *targetRow, r *requestRow) bool {
	if len(t.runs) == 0 {
		return true
	}
	limit := int(memoryPart * float64(c.params.Engine.CacheTokens))
	return len(t.runs) < t.info.Slots && (c.params.Engine.CacheTokens == 0 || t.tokens+r.PromptTokens+r.OutputTokens <= limit)
}

func (c *Core) backlog(t *targetRow) time.Duration { return max(0, t.busyUntil-c.now) }

func (c *Core) estimate(t *targetRow, r *requestRow) choice {
	backlog := c.backlog(t)
	trip, price := c.distance(t, &r.Request)
	price += c.disturbance(t, &r.Request)
	return choice{target: t, backlog: backlog, first: backlog + c.cost(t, &r.Request) + c.eventTime(t) + trip, price: price}
}

// disturbance is what a request and the streams of a target cost each other: a
// target reads prompts between the tokens of its streams.
func (c *Core) disturbance(t *targetRow, r *Request) time.Duration {
	if r.PromptTokens < longPrompt {
		return time.Duration(min(1, t.reading(c.now)) * float64(readingCost))
	}
	return min(streamsCost, time.Duration(len(t.runs))*streamCost)
}

// distance returns the time that the links between a request's VM and a target
// take, and what they cost.
func (c *Core) distance(t *targetRow, r *Request) (trip, price time.Duration) {
	if r.DataCentre == "" || c.params.Regions[r.DataCentre] == c.params.Regions[t.info.DataCentre] {
		return 0, 0
	}
	return regionTrip, regionByteCost * time.Duration(r.Bytes)
}

// bestReady returns the target with the earliest first event among those that
// hold the request's adapter. Targets in trouble are used if no other holds it.
func (c *Core) bestReady(r *requestRow) (best choice, full bool) {
	var avoided choice
	for _, row := range r.adapter.held {
		t := row.target
		if !c.usable(row) || slices.Contains(r.Exclude, t.info.ID) || !t.holdsModel(r.Request.Adapter.Model) {
			continue
		}
		if !c.hasRoom(t, r) {
			full = true
			continue
		}
		option := c.estimate(t, r)
		option.row = row
		into := &best
		if c.now < t.avoidTo {
			into = &avoided
		}
		if into.row == nil || option.before(*into) {
			*into = option
		}
	}
	if best.row == nil {
		return avoided, full
	}
	return best, full
}

// While more than crowd requests wait, the whole queue is looked at only once in
// crowdPause, and each new request once when it arrives.
const (
	crowd      = 12
	crowdPause = 8 * time.Millisecond
)

// runDispatch grants queued requests: first those that can be answered within
// their objective, in order of priority and arrival, then late ones in what
// capacity is left.
func (c *Core) runDispatch() {
	if len(c.waiting) == 0 || len(c.waiting) > crowd && c.now < c.passAt+crowdPause && !c.arrived {
		return
	}
	c.pass++
	c.cold = c.coldComing()
	if len(c.waiting) > crowd && c.now < c.passAt+crowdPause {
		c.arrived = false
		c.dispatch(c.waiting[len(c.waiting)-1])
		return
	}
	c.passAt, c.arrived = c.now, false
	queue := slices.Clone(c.waiting)
	slices.SortStableFunc(queue, func(a, b *requestRow) int {
		if la, lb := a.onTimeTo < c.now, b.onTimeTo < c.now; la != lb {
			if la {
				return 1
			}
			return -1
		}
		return a.Priority - b.Priority
	})
	for _, r := range queue {
		c.dispatch(r)
	}
}

func (c *Core) dispatch(r *requestRow) {
	best, _ := c.bestReady(r)
	left := r.onTimeTo - c.now
	if best.row != nil && best.first <= left {
		if best.backlog >= replicaBacklog {
			c.considerReplica(r, best)
		}
		if !c.sparesStreams(r, best, left) {
			c.grant(r, best)
		}
		return
	}
	if pending, found := c.pending(r); found && (best.row == nil || pending < best.first) {
		return
	}
	if best.row == nil {
		c.startLoad(r, 0)
		return
	}
	if left > 0 && c.startLoad(r, left) {
		return
	}
	if best.backlog <= lateBacklog {
		c.grant(r, best)
	}
}

// sparesStreams reports whether a long prompt waits until its target has read those
// before it, while it can still be in time. A target reads prompts between the
// tokens of its streams, so that prompts in direct succession hold the streams up
// for as long as all of them take.
func (c *Core) sparesStreams(r *requestRow, best choice, left time.Duration) bool {
	if best.backlog == 0 || r.PromptTokens < longPrompt || best.first+spareMargin > left {
		return false
	}
	for _, run := range best.target.runs {
		if run.started {
			return true
		}
	}
	return false
}

// spareMargin is the time that must be left for a long prompt to wait.
const spareMargin = 250 * time.Millisecond

// pending returns the expected time until the first event at the target where the
// request's adapter is ready next.
func (c *Core) pending(r *requestRow) (first time.Duration, found bool) {
	for _, row := range r.adapter.held {
		if row.state != heldLoading || row.doubt || !row.target.open() || c.now-row.since > loadLimit ||
			slices.Contains(r.Exclude, row.target.info.ID) {
			continue
		}
		since := row.since
		if row.started {
			since = row.accepted
		}
		expected := max(0, since+c.model.load(row.cold)-c.now) + c.estimate(row.target, r).first
		if !found || expected < first {
			first, found = expected, true
		}
	}
	return first, found
}

// considerReplica loads an adapter on a further target while the one that holds
// it has much to do and another has little.
func (c *Core) considerReplica(r *requestRow, best choice) {
	if r.Request.Adapter.Name != "" && !c.loading(r.adapter) && r.adapter.demandAt(c.now) >= replicaDemand*float64(len(r.adapter.held)) {
		c.startLoad(r, best.first*4/5)
	}
}

// loading reports whether a load of the adapter is under way.
func (c *Core) loading(a *adapterRow) bool {
	return slices.ContainsFunc(a.held, func(row *heldRow) bool {
		return row.state == heldLoading && !row.doubt && row.target.open() && c.now-row.since < loadLimit
	})
}

func (c *Core) grant(r *requestRow, best choice) {
	t, row := best.target, best.row
	late := r.onTimeTo < c.now+best.first
	c.dequeue(r)
	kept := t.prefixes.kept(r.Request.Adapter, r.Parts)
	run := &runRow{
		request: r, target: t, granted: c.now, expected: best.first, cost: c.cost(t, &r.Request),
		uncached: max(0, r.PromptTokens-kept), alone: best.backlog == 0,
	}
	row.usedAt = c.now
	t.runs[r.ID], c.runs[r.ID] = run, run
	t.tokens += r.PromptTokens + r.OutputTokens
	t.busyUntil = max(t.busyUntil, c.now) + run.cost
	t.addReading(c.now, run.cost)
	t.prefixes.read(r.Request.Adapter, r.Parts)
	c.emit(GrantRequest{
		Grant: Grant{
			Request: r.ID, Target: t.info.ID, Address: t.info.Address, Version: row.version,
			Priority: enginePriority(r.Priority, late),
		},
		Estimate: best.first, Backlog: best.backlog, Waited: c.now - r.queuedAt,
	})
}

// leastUrgent is the last of the engine's priorities.
const leastUrgent = 9

// enginePriority places late requests behind all that can still be in time.
func enginePriority(priority int, late bool) int {
	if late {
		return min(leastUrgent, 5+priority)
	}
	return min(4, priority)
}

// admit refuses a request on arrival if it cannot be answered by its deadline.
func (c *Core) admit(r *requestRow) *errs.Error {
	open, backlog, work := 0, time.Duration(0), time.Duration(0)
	for _, t := range c.targets {
		if t.open() {
			open++
			backlog += c.backlog(t)
		}
	}
	if open == 0 {
		return errs.NotRun(errs.NoTarget, "no target of the group takes new work").WithRetry(longestRetry / 2)
	}
	if len(c.waiting) == 0 {
		return nil
	}
	for _, other := range c.waiting {
		if other.Priority <= r.Priority {
			work += c.model.reading(other.PromptTokens)
		}
	}
	wait := (backlog + work) / time.Duration(open)
	if float64(wait) > queuePart*float64(r.giveUpAt-c.now) {
		return errs.NotRun(errs.Overloaded, "the request would wait beyond its deadline").WithRetry(retryAfter(wait))
	}
	return nil
}

func retryAfter(wait time.Duration) time.Duration {
	return min(longestRetry, max(shortestRetry, wait/2))
}

// runRefusals refuses what can no longer be answered.
func (c *Core) runRefusals() {
	for _, r := range slices.Clone(c.waiting) {
		switch {
		case c.draining:
			c.refuse(r, errs.NotRun(errs.Draining, "the owner of the target group is shutting down"))
		case c.now >= r.giveUpAt:
			c.refuse(r, errs.NotRun(errs.DeadlineUnreachable, "no target could start the request in time").WithRetry(shortestRetry))
		}
	}
}
