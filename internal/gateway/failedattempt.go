package gateway

import (
	"cicadaslip/internal/errs"
	"cicadaslip/internal/placer"
)

// recordFailedAttempt excludes the target of a failed attempt from further
// attempts and releases its lease. It returns the failure with the ID of the
// target added.
func (c *call) recordFailedAttempt(lease Lease, failure *errs.Error, eventCount int) *errs.Error {
	switch {
	case failure.Ran == errs.RanNo:
		c.unavailable = append(c.unavailable, lease.Grant.Target)
	case failure.Code == errs.Cancelled: // the target is sound
	default:
		c.excluded = append(c.excluded, lease.Grant.Target)
	}
	outcome := placer.Failed
	switch {
	case c.callerLeft.Load(), c.endedByShutdown(), failure.Ran != errs.RanNo && failure.Code == errs.Cancelled:
		outcome = placer.Cancelled
	case failure.Ran == errs.RanNo:
		outcome = placer.Unsent
		if failure.Code == errs.Overloaded { // this VM has no connections left
			outcome = placer.Cancelled
		}
		c.refusals++
	case failure.Code == errs.Timeout:
		outcome = placer.TimedOut
	case failure.Code == errs.Overloaded: // this VM has no memory for the answer
		outcome = placer.Cancelled
	}
	if failure.Ran != errs.RanNo {
		c.mayHaveRun = true
	}
	c.server.opt.Placement.Release(lease, outcome)
	step := Step{At: c.trace.elapsed(), Name: StepFailed, Target: lease.Grant.Target, Detail: string(failure.Code)}
	if c.mayHaveCrashed(failure) {
		step.Break = c.inspectBreak(lease, eventCount)
	}
	c.trace.addSteps(step)
	return failure.WithDetails(lease.Grant.Target)
}

// mayHaveCrashed reports whether the target of a failed attempt may have crashed. One that
// answers with an error, or slower than another one, has not.
func (c *call) mayHaveCrashed(failure *errs.Error) bool {
	return failure.Ran != errs.RanNo && failure.Code != errs.TargetRefused && failure.Code != errs.Cancelled && c.ctx.Err() == nil
}

// inspectBreak describes a stream that its target broke off. If the stream had made no
// progress and the target crashed, it reports that to the quarantine.
func (c *call) inspectBreak(lease Lease, eventCount int) *StreamBreak {
	b := &StreamBreak{Parts: c.sharedParts, EventCount: eventCount}
	if eventCount < progressEvents {
		b.Crashed = c.checkCrash(lease.Grant.Target, lease.Grant.Address)
	}
	return b
}
