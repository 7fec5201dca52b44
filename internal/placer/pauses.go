package placer

import (
	"maps"
	"slices"
	"time"

	"cicadaslip/internal/errs"
)

// maxPauseAdvice limits the retry delay of callers whose VM may use no target for a while,
// because other VMs may serve them earlier.
const maxPauseAdvice = 5 * time.Second

// targetPause is the pause that an incarnation of a target wants from a VM.
type targetPause struct {
	born  int64 // the owner may learn of the incarnation later than of its pause
	until Time
}

// SetPause records for how long an incarnation of a target wants no requests from a VM.
func (c *Core) SetPause(now Time, vm, target string, born int64, left time.Duration) {
	c.advance(now)
	t := c.targetsByID[target]
	if t == nil {
		return
	}
	left = boundedDuration(left)
	if t.pauses == nil {
		t.pauses = map[string]targetPause{}
	}
	known, found := t.pauses[vm]
	if !found {
		maps.DeleteFunc(t.pauses, func(_ string, p targetPause) bool { return p.until <= c.now })
	}
	switch {
	case born < known.born:
		return
	case born > known.born:
		known = targetPause{born: born}
	}
	known.until = max(known.until, c.now+left)
	t.pauses[vm] = known
	c.lastPauseEnd = max(c.lastPauseEnd, c.now+left)
}

// HoldOrders makes the orders and reports of a target wait for a time.
func (c *Core) HoldOrders(now Time, target string, left time.Duration) {
	c.advance(now)
	if t := c.targetsByID[target]; t != nil {
		t.heldUntil = max(t.heldUntil, c.now+left)
	}
}

// ordersFrom returns the earliest time of the next order or report.
func (t *targetState) ordersFrom() Time { return max(t.noOrdersUntil, t.heldUntil) }

// pausedFor returns the time for which a target wants no requests from a VM.
func (t *targetState) pausedFor(now Time, vm string) time.Duration {
	p, found := t.pauses[vm]
	if !found {
		return 0
	}
	if p.until <= now || p.born < t.description.Born {
		delete(t.pauses, vm)
		return 0
	}
	return p.until - now
}

// pauseHold is the time for which the pauses of targets have held a queued request up.
type pauseHold struct {
	since  Time
	target *targetState // nil if no pause has held the request up
}

// holdUpForPause records that the pause of a target holds a queued request up.
func (c *Core) holdUpForPause(r *queuedRequest, t *targetState) {
	if r.pause.target == nil {
		r.pause.since = c.now
	}
	r.pause.target = t
}

// pauseHold returns how the pauses of targets have held a request up, nil if they have not.
func (c *Core) pauseHold(r *queuedRequest) *PauseHold {
	if r.pause.target == nil {
		return nil
	}
	return &PauseHold{Target: r.pause.target.description.ID, Waited: c.now - r.pause.since}
}

// checkPauses returns an error, and the pause that ends first, if all targets that a request may use want no requests from its
// VM for so long that its first event would be late. Its caller may find a VM that was not
// told.
func (c *Core) checkPauses(r *queuedRequest) (*errs.Error, *PauseHold) {
	if c.lastPauseEnd <= c.now {
		return nil, nil
	}
	shortest, first := time.Duration(0), (*targetState)(nil)
	for _, t := range c.targets {
		if !t.acceptsWork() {
			continue
		}
		left, excluded := t.pausedFor(c.now, r.Holder), slices.Contains(r.Exclude, t.description.ID)
		if !excluded && c.now+left < r.firstEventDue || left == 0 && !excluded {
			return nil, nil
		}
		if left > 0 && (first == nil || left < shortest) {
			shortest, first = left, t
		}
	}
	if first == nil {
		return nil, nil
	}
	hold := &PauseHold{Target: first.description.ID}
	if waited := c.pauseHold(r); waited != nil {
		hold.Waited = waited.Waited
	}
	return errs.NotRun(errs.NoTarget, "no target of the group wants requests from this VM now").WithRetry(min(maxPauseAdvice, shortest)), hold
}
