package gateway

import (
	"context"

	"cicadaslip/internal/errs"
)

// costOfAttempt returns what one attempt at the request takes of the organisation's quota, 0 if
// there is no limit or the route is public.
func (c *call) costOfAttempt() int {
	switch {
	case c.organisation == nil || c.organisation.Quota.PerSecond <= 0 || c.route.Public:
		return 0
	case !c.organisation.Quota.InTokens:
		return 1
	case c.meta.StatesTokens:
		return c.meta.PromptTokens + c.meta.MaxOutputTokens
	}
	return c.organisation.Quota.PlainTokens
}

// needsCharge reports whether the next attempt is to be charged: one that has not run has passed its
// charge on.
func (c *call) needsCharge() bool { return c.quotaCost > 0 && c.charges <= c.possibleRuns }

// payPlain charges the quota for an attempt at a plain service. beside tells that another attempt is at
// work, whose answer must not wait for credit for this one.
func (c *call) payPlain(beside bool) *errs.Error {
	if !c.needsCharge() {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	if beside {
		cancel()
	}
	if failure := c.server.opt.Quota.Admit(ctx, c.organisation.Name, c.quotaCost, c.possibleRuns > 0); failure != nil {
		return failure
	}
	c.charges++
	return nil
}

// refundUnused returns what was charged for more attempts than may have run. It is called when no
// further attempt is about to use that.
func (c *call) refundUnused() {
	if unused := c.charges - c.possibleRuns; unused > 0 && c.quotaCost > 0 {
		c.charges -= unused
		c.server.opt.Quota.Refund(c.organisation.Name, unused*c.quotaCost)
	}
}
