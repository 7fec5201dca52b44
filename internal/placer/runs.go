package placer

import "time"

// Started enters the first event of a granted request, and the slowness that its
// target told, 0 if none.
func (c *Core) Started(now Time, id string, slowness float64) {
	c.at(now)
	run := c.runs[id]
	if run == nil || run.started {
		return
	}
	c.observeFirst(run.target, run, c.now-run.granted)
	if slowness > 0 {
		run.target.setNoise(c.now, slowness)
	}
	run.started = true
	run.target.failures = 0
	c.recount(run.target)
}

// recount estimates a target's backlog from the prompts that are not yet read.
func (c *Core) recount(t *targetRow) {
	backlog := time.Duration(0)
	for _, run := range t.runs {
		if !run.started {
			backlog += run.cost
		}
	}
	t.busyUntil = c.now + backlog
}

// Release ends a granted request.
func (c *Core) Release(now Time, id string, outcome Outcome) {
	c.at(now)
	run := c.runs[id]
	if run == nil {
		return
	}
	t := run.target
	c.endRun(id, run)
	switch outcome {
	case Done:
		t.failures = 0
	case Errored, Failed, Silent, Unsent:
		c.trouble(t)
	case Full:
		t.avoidTo = max(t.avoidTo, c.now+fullPause)
	case Absent:
		if row := t.held[run.request.Request.Adapter]; row != nil {
			row.doubt = true
		}
		c.resync(t)
	case Cancelled:
	}
}

// fullPause is the time for which a target that refused a request for lack of
// room gets no other.
const fullPause = 100 * time.Millisecond

func (c *Core) endRun(id string, run *runRow) {
	t := run.target
	delete(c.runs, id)
	if t.runs[id] != run {
		return
	}
	delete(t.runs, id)
	t.tokens -= run.request.PromptTokens + run.request.OutputTokens
	if !run.started {
		t.busyUntil = max(c.now, t.busyUntil-run.cost)
	}
}

// expireRuns ends runs whose release was lost.
func (c *Core) expireRuns() {
	if c.now-c.expiredAt < runSlack/4 {
		return
	}
	c.expiredAt = c.now
	for id, run := range c.runs {
		if c.now > run.request.deadline+runSlack {
			c.endRun(id, run)
		}
	}
}

// adoptTime is the time after a takeover in which the VMs tell what they run. Until
// then any adapter may be in use.
const adoptTime = 700 * time.Millisecond

// TakenOver starts the core as the next owner of its group.
func (c *Core) TakenOver(now Time) {
	c.at(now)
	if !c.params.Fresh {
		c.adoptTo = c.now + adoptTime
	}
}

// Adopt enters a request that runs on a target under an earlier owner's grant.
func (c *Core) Adopt(now Time, request Request, target string, started bool) {
	c.at(now)
	t := c.index[target]
	if t == nil || c.runs[request.ID] != nil || c.requests[request.ID] != nil {
		return
	}
	r := &requestRow{Request: request, queuedAt: c.now, deadline: c.now + request.Deadline, adapter: c.adapter(request.Adapter)}
	run := &runRow{request: r, target: t, granted: c.now, started: started}
	if !started {
		run.cost = c.cost(t, &request)
		t.busyUntil = max(t.busyUntil, c.now) + run.cost
	}
	t.runs[request.ID], c.runs[request.ID] = run, run
	t.tokens += request.PromptTokens + request.OutputTokens
}

// inUse reports whether a request runs on an adapter of a target.
func (t *targetRow) inUse(a Adapter) bool {
	for _, run := range t.runs {
		if run.request.Request.Adapter == a {
			return true
		}
	}
	return false
}
