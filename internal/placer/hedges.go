package placer

import (
	"time"

	"cicadaslip/internal/errs"
)

// hedgeRetryAfter is the advice with the refusal of a hedge. The front end does not ask again for
// the same request.
const hedgeRetryAfter = 300 * time.Millisecond

// errHedgeWaits returns the error for a hedge that would have to wait.
func errHedgeWaits() *errs.Error {
	return errs.NotRun(errs.Overloaded, "a second attempt is not queued").WithRetry(hedgeRetryAfter)
}

// dispatchHedge grants a hedge if a target would begin with it at once, and refuses it otherwise.
// It starts no load, because the first attempt goes on.
func (c *Core) dispatchHedge(r *queuedRequest) {
	if best, _ := c.bestCandidate(r); best.placement != nil && best.backlog == 0 && best.limitWait == 0 && best.pauseWait == 0 && best.decodeWait == 0 {
		c.grant(r, best)
	}
}

// refuseHedge refuses a hedge that was not granted on arrival. It can only be the first request of
// the queue, because no hedge is queued behind another request.
func (c *Core) refuseHedge() {
	if len(c.queue) > 0 && c.queue[0].Hedge {
		c.refuse(c.queue[0], errHedgeWaits())
	}
}
