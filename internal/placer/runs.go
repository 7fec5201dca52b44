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
		run.held.doubt = true
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
	run.held.runs--
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
