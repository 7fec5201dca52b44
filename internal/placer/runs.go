package placer

import "time"

// HandleFirstEvent records the first event of a granted request, and the slowness
// that its target reported: 1 is its usual speed, and 0 means that none was reported.
func (c *Core) HandleFirstEvent(now Time, id string, slowness float64) {
	c.advance(now)
	run := c.runs[id]
	if run == nil || run.firstEventSeen {
		return
	}
	c.observeFirstEvent(run.target, run, c.now-run.grantedAt)
	if slowness > 0 {
		run.target.setReportedSlowness(c.now, slowness)
	}
	run.firstEventSeen = true
	run.target.consecutiveFailures = 0
	c.recomputeBacklog(run.target)
}

// recomputeBacklog derives a target's backlog from the runs without a first event.
func (c *Core) recomputeBacklog(t *targetState) {
	backlog := time.Duration(0)
	for _, run := range t.runs {
		if !run.firstEventSeen {
			backlog += run.prefillTime
		}
	}
	t.prefillUntil = c.now + backlog
	t.prefillGranted = min(t.prefillGranted, backlog) // the other streams have had an event, too
}

// Release records the end of a granted request.
func (c *Core) Release(now Time, id string, outcome Outcome) {
	c.advance(now)
	run := c.runs[id]
	if run == nil {
		return
	}
	t := run.target
	c.endRun(id, run)
	switch outcome {
	case Done:
		t.consecutiveFailures = 0
	case Errored, Failed, TimedOut, Unsent:
		c.recordFailure(t)
	case AtCapacity:
		t.avoidUntil = max(t.avoidUntil, c.now+atCapacityPause)
	case Absent:
		if pl := t.placements[run.request.Request.Adapter]; pl != nil {
			pl.uncertain = true
		}
		c.requestFreshReport(t)
	case Cancelled:
	}
}

// atCapacityPause is the time for which a target is avoided after it refused a request
// for lack of capacity.
const atCapacityPause = 100 * time.Millisecond

// endRun removes a run from the core and its target.
func (c *Core) endRun(id string, run *activeRun) {
	t := run.target
	delete(c.runs, id)
	if t.runs[id] != run {
		return
	}
	delete(t.runs, id)
	t.endPacedRun(run.request)
	t.runTokens -= run.request.PromptTokens + run.request.OutputTokens
	if !run.firstEventSeen {
		t.prefillUntil = max(c.now, t.prefillUntil-run.prefillTime)
	}
}

// expireRuns ends runs whose release was lost, once they are past their deadline by
// runExpiryGrace.
func (c *Core) expireRuns() {
	if c.now-c.lastRunExpiry < runExpiryGrace/4 {
		return
	}
	c.lastRunExpiry = c.now
	for id, run := range c.runs {
		if c.now > run.request.deadline+runExpiryGrace {
			c.endRun(id, run)
		}
	}
}

// adoptionPeriod is the time after a takeover in which the VMs report their running
// requests. Until its end any adapter may be in use, so none is unloaded.
const adoptionPeriod = 700 * time.Millisecond

// BeginOwnership records that this VM has become the owner of the group. If there was
// an earlier owner, no adapter is unloaded during the adoption period.
func (c *Core) BeginOwnership(now Time) {
	c.advance(now)
	if !c.params.FirstOwner {
		c.adoptUntil = c.now + adoptionPeriod
	}
}

// AdoptRun records a request that is running on a target under an earlier owner's
// grant. The parameter started tells whether its first event has arrived.
func (c *Core) AdoptRun(now Time, request Request, target string, started bool) {
	c.advance(now)
	t := c.targetsByID[target]
	if t == nil || c.runs[request.ID] != nil || c.queuedByID[request.ID] != nil {
		return
	}
	request = request.bounded()
	r := &queuedRequest{Request: request, queuedAt: c.now, deadline: c.now + request.Deadline, adapter: c.adapterState(request.Adapter)}
	run := &activeRun{request: r, target: t, grantedAt: c.now, firstEventSeen: started}
	if !started {
		run.prefillTime = c.prefillTime(t, &request)
		t.prefillUntil = max(t.prefillUntil, c.now) + run.prefillTime
	}
	c.startPacedRun(t, r, run.prefillTime)
	t.runs[request.ID], c.runs[request.ID] = run, run
	t.runTokens += request.PromptTokens + request.OutputTokens
}

// inUse reports whether a granted request uses an adapter on the target.
func (t *targetState) inUse(a Adapter) bool {
	for _, run := range t.runs {
		if run.request.Request.Adapter == a {
			return true
		}
	}
	return false
}
