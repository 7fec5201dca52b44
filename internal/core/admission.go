package core

import (
	"container/heap"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// storeRetry is the advice to callers whose adapter cannot be loaded while the
// store is unavailable.
const storeRetry = 2 * time.Second

// runAdmission refuses what cannot be answered: everything during a drain,
// new requests without a possible target, and requests whose time is up.
func (c *Core) runAdmission(now Time) {
	if c.draining {
		for _, id := range sortedIDs(c.requests) {
			c.refuse(c.requests[id], errs.NotRun(errs.Draining, "the owner of the target group is shutting down"))
		}
	}
	for _, r := range c.arrivals {
		if r.lane != nil && c.owner && !c.possible(r) {
			c.refuse(r, errs.NotRun(errs.NoTarget, "no target of the group can serve the request"))
		}
	}
	c.arrivals = c.arrivals[:0]
	for len(c.starts) > 0 && c.starts[0].latestStart <= now {
		r := c.starts[0]
		heap.Fix(&c.starts, 0)
		c.refuse(r, c.lateError(r))
	}
}

func (c *Core) lateError(r *requestRow) *errs.Error {
	switch {
	case !c.owner:
		return errs.NotRun(errs.NotOwner, "the owner of the target group has not taken over yet")
	case c.storeDown && !r.lane.adapter.anyUsable():
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
