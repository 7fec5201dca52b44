package placer

import (
	"slices"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/ratelimit"
)

// SetRateLimit sets the number of requests per second that a target takes from all VMs
// together, 0 for no limit. The age is the time since the target stated it; older statements
// than the newest one are ignored.
func (c *Core) SetRateLimit(now Time, target string, perSecond float64, age time.Duration) {
	c.advance(now)
	perSecond, age = boundedRate(perSecond), max(0, boundedDuration(age))
	if t := c.targetsByID[target]; t != nil && c.now-age >= t.limitStatedAt {
		t.limitStatedAt = c.now - age
		if perSecond > 0 {
			perSecond = max(ratelimit.MinPerSecond, perSecond)
		}
		known := t.limit.Limited()
		if t.limit.PerSecond() != perSecond {
			t.limitSince = t.limitStatedAt
		}
		t.limit.SetRate(c.now, perSecond)
		if !known {
			t.limit.Take(c.now) // requests are on their way that were sent before
		}
	}
}

// SetRateLimitOfRun is like SetRateLimit, for the target of a granted request.
func (c *Core) SetRateLimitOfRun(now Time, id string, perSecond float64, age time.Duration) {
	if run := c.runs[id]; run != nil {
		c.SetRateLimit(now, run.target.description.ID, perSecond, age)
	}
}

// limitWait returns the time until the limit of a target allows one more request, after those
// that already wait for it.
func (c *Core) limitWait(t *targetState) time.Duration {
	reserved := t.limitReserved
	if t.limitPass != c.dispatchPass {
		reserved = 0
	}
	return t.limit.Wait(c.now, reserved)
}

// reserveLimit makes the next requests in the queue count a request that waits for the limit
// of a target.
func (c *Core) reserveLimit(t *targetState) {
	if t.limitPass != c.dispatchPass {
		t.limitPass, t.limitReserved = c.dispatchPass, 0
	}
	t.limitReserved++
}

// checkLimits returns an error, and the limits that cause it, if all targets are limited, and a new request would have to
// wait too long behind the queued ones.
func (c *Core) checkLimits(r *queuedRequest) (*errs.Error, *LimitHold) {
	rate := 0.0
	for _, t := range c.targets {
		switch {
		case !t.acceptsWork():
		case !t.limit.Limited():
			return nil, nil
		default:
			rate += 1 / t.limit.Interval().Seconds()
		}
	}
	wait := time.Duration(float64(len(c.queue)) / rate * float64(time.Second))
	if float64(wait) > maxWaitFraction*float64(r.latestStart-c.now) {
		return errs.NotRun(errs.Overloaded, "the targets limit their requests, and the request would wait beyond its deadline").WithRetry(retryAfter(wait)), &LimitHold{PerSecond: rate}
	}
	return nil, nil
}

// limitHold is the time for which the limits of targets have held a queued request up.
type limitHold struct {
	since     Time
	target    *targetState // nil if no limit has held the request up
	perSecond float64      // the limit of target when it last did
}

// holdUp records that the limit of a target holds a queued request up.
func (c *Core) holdUp(r *queuedRequest, t *targetState) {
	if r.hold.target == nil {
		r.hold.since = c.now
	}
	r.hold.target, r.hold.perSecond = t, t.limit.PerSecond()
}

// limitHold returns how the limits of targets have held a request up, nil if they have not.
func (c *Core) limitHold(r *queuedRequest) *LimitHold {
	if r.hold.target == nil {
		return nil
	}
	return &LimitHold{Target: r.hold.target.description.ID, PerSecond: r.hold.perSecond, Waited: c.now - r.hold.since}
}

// LimitedTarget is the rate limit of a target.
type LimitedTarget struct {
	Born      int64
	PerSecond float64
	Age       time.Duration // since the target first stated the limit
}

// RateLimits returns the rate limits of the targets that have one, by ID.
func (c *Core) RateLimits(now Time) map[string]LimitedTarget {
	c.advance(now)
	all := map[string]LimitedTarget{}
	for id, t := range c.targetsByID {
		if !t.limit.Limited() {
			continue
		}
		all[id] = LimitedTarget{Born: t.description.Born, PerSecond: t.limit.PerSecond(), Age: c.now - t.limitSince}
	}
	return all
}

const (
	// ordersOfLoad is the number of orders that a load takes: one to make room, and the load.
	ordersOfLoad = 2
	// limitedPollFactor is how much later than usual an order of a limited target is expected
	// to be done.
	limitedPollFactor = 1.5
	// longPromptLimitShare is the part of limitPenalty that a long prompt pays.
	longPromptLimitShare = 0.1
)

// countOrder counts an order against the limit of its target. An order that has been planned
// is sent in any case; new loads wait for the limit (allowsLoad).
func (t *targetState) countOrder(now Time) { t.limit.Take(now) }

// allowsLoad reports whether the limit of a target leaves room for the orders of a load. Queued
// requests that only limited targets can serve come first: they have nowhere else to go, and a
// load is in vain if its request then finds the limit used up. Where all targets are limited, no
// other target would ever load an adapter for which less is asked.
func (c *Core) allowsLoad(t *targetState) bool {
	if !t.limit.Limited() {
		return true
	}
	if c.limitBoundPass != c.dispatchPass {
		c.limitBoundPass = c.dispatchPass
		c.markLimitBound()
	}
	return (c.allLimited || t.limitBoundPass != c.dispatchPass) && c.limitWait(t) == 0
}

// markLimitBound marks the limited targets that have or load the adapter of a queued request,
// unless a target without a limit does, and sets allLimited.
func (c *Core) markLimitBound() {
	c.allLimited = !slices.ContainsFunc(c.targets, func(t *targetState) bool { return t.acceptsWork() && !t.limit.Limited() })
	for _, r := range c.queue {
		if slices.ContainsFunc(r.adapter.placements, func(pl *placement) bool { return serves(pl) && !pl.target.limit.Limited() }) {
			continue
		}
		for _, pl := range r.adapter.placements {
			if serves(pl) {
				pl.target.limitBoundPass = c.dispatchPass
			}
		}
	}
}

// serves reports whether requests can use a placement, now or after its load.
func serves(pl *placement) bool { return pl.state != placementUnloading && pl.target.acceptsWork() }

// loadPenalty returns the penalty for the part of a target's limit that the orders of a load
// use up.
func (t *targetState) loadPenalty() time.Duration { return ordersOfLoad * t.limit.Interval() }

// limitedPollDelay returns the delay until an order of a target is expected to be done, given
// that until the first poll of a target without a limit.
func (t *targetState) limitedPollDelay(delay time.Duration) time.Duration {
	if !t.limit.Limited() {
		return delay
	}
	return time.Duration(limitedPollFactor * float64(delay))
}

// assumeLoaded reports whether a planned order is the poll for the end of an adapter load at a
// limited target, and if so, marks the load as done without it. The first request tells
// whether that is true.
func (c *Core) assumeLoaded(t *targetState, p plannedOrder) bool {
	if p.operation != Load || !p.placement.accepted || p.placement.adapter.Name == "" || !t.limit.Limited() {
		return false
	}
	p.placement.uncertain = false
	t.recentlyUnloaded.remove(p.placement.adapter)
	c.markReady(p.placement)
	return true
}

// limitPenalty returns the penalty for the part of a target's limit that a request uses up. A
// limit counts requests, not their work, so it is best used for long prompts.
func (c *Core) limitPenalty(t *targetState, r *Request) time.Duration {
	if r.PromptTokens >= longPromptTokens {
		return time.Duration(longPromptLimitShare * float64(t.limit.Interval()))
	}
	return t.limit.Interval()
}
