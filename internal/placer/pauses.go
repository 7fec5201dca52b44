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

// SetPause records for how long an incarnation of a target wants no requests from a VM.
func (c *Core) SetPause(now Time, vm, target string, born int64, left time.Duration) {
	c.advance(now)
	t := c.targetsByID[target]
	if t == nil || t.description.Born > born {
		return
	}
	left = boundedDuration(left)
	if t.pausedUntil == nil {
		t.pausedUntil = map[string]Time{}
	}
	if _, known := t.pausedUntil[vm]; !known {
		maps.DeleteFunc(t.pausedUntil, func(_ string, until Time) bool { return until <= c.now })
	}
	t.pausedUntil[vm] = max(t.pausedUntil[vm], c.now+left)
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
	until, found := t.pausedUntil[vm]
	if found && until <= now {
		delete(t.pausedUntil, vm)
	}
	return max(0, until-now)
}

// checkPauses returns an error if all targets that a request may use want no requests from its
// VM for so long that its first event would be late. Its caller may find a VM that was not
// told.
func (c *Core) checkPauses(r *queuedRequest) *errs.Error {
	if c.lastPauseEnd <= c.now {
		return nil
	}
	shortest := time.Duration(0)
	for _, t := range c.targets {
		if !t.acceptsWork() {
			continue
		}
		left, excluded := t.pausedFor(c.now, r.Holder), slices.Contains(r.Exclude, t.description.ID)
		if !excluded && c.now+left < r.firstEventDue || left == 0 && !excluded {
			return nil
		}
		if left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	if shortest == 0 {
		return nil
	}
	return errs.NotRun(errs.NoTarget, "no target of the group wants requests from this VM now").WithRetry(min(maxPauseAdvice, shortest))
}
