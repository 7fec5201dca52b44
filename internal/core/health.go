package core

import (
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/hedge"
)

// maxSlownessRatio limits the ratio of an observed to the expected time, so that
// a target that was silent once recovers after a few normal answers.
const maxSlownessRatio = 6.0

// observe reports the ratio of an observed to the expected time to the straggler
// detector. Its callers update the expected times only from targets that are not
// slow.
func (c *Core) observe(t *targetRow, observed, expected time.Duration) {
	if observed <= 0 || expected <= 0 {
		return
	}
	c.policies.stragglers.Observe(t.index, min(maxSlownessRatio, float64(observed)/float64(expected)))
}

// observeTokenGap updates the straggler detector and the expected token gap with
// an observed gap.
func (c *Core) observeTokenGap(t *targetRow, gap time.Duration) {
	running := max(1, len(t.permits))
	c.observe(t, gap, c.model.TokenGap(running))
	if !c.policies.stragglers.Slow(t.index) {
		c.model.ObserveTokenGap(running, gap)
	}
}

// observeFirstToken updates the straggler detector and the expected time to the
// first token with a request's time from dispatch to its first token. Only the
// first report of a request counts.
func (c *Core) observeFirstToken(p *permitRow, first time.Duration) {
	if p.request == nil || p.firstTokenObserved || first <= 0 {
		return
	}
	p.firstTokenObserved = true
	c.observe(p.target, first, c.model.FirstToken(p.request.PromptTokens))
	if !c.policies.stragglers.Slow(p.target.index) {
		c.model.ObserveFirstToken(p.request.PromptTokens, first)
	}
}

func (c *Core) applyProgress(_ Time, e Progress) {
	p := c.permits[permitKey{e.ID, e.Target}]
	if p == nil || p.pendingEnd || p.target.info.Class != model.ClassRunner {
		return
	}
	c.observeFirstToken(p, e.FirstToken)
	expected := c.expectedNextToken(p, e)
	if e.SilentFor > expected {
		c.observe(p.target, e.SilentFor, expected)
	} else {
		c.observeTokenGap(p.target, e.TokenGap)
	}
	c.considerHedge(p, e, expected)
}

// expectedNextToken returns the expected time until a request's next token, or
// zero if the request's prompt length is unknown.
func (c *Core) expectedNextToken(p *permitRow, e Progress) time.Duration {
	if e.Tokens > 0 {
		return c.model.TokenGap(max(1, len(p.target.permits)))
	}
	if p.request == nil {
		return 0
	}
	return c.model.FirstToken(p.request.PromptTokens)
}

// considerHedge advises the holder to hedge a repeatable request if the policy
// decides so. A request is hedged at most once.
func (c *Core) considerHedge(p *permitRow, e Progress, expected time.Duration) {
	if p.hedged || p.request == nil || !p.request.Repeatable {
		return
	}
	attempt := hedge.Attempt{
		Slow: c.policies.stragglers.Slow(p.target.index), SilentFor: e.SilentFor, ExpectedWait: expected, Tokens: e.Tokens,
		Remaining:     time.Duration(max(0, p.request.PredictedTokens-e.Tokens)) * max(e.TokenGap, e.SilentFor),
		SecondAttempt: c.serviceTime(p.request),
	}
	if c.policies.hedger.Hedge(attempt) {
		p.hedged = true
		c.emit(HedgeRequest{ID: p.permit.Request, Holder: p.holder, Target: p.target.info.Name})
	}
}

// observeOutcome updates the estimates and the straggler detector with the times
// of a request that was answered in full.
func (c *Core) observeOutcome(now Time, p *permitRow, e PermitReleased) {
	if e.Outcome != OutcomeDone {
		return
	}
	if p.target.info.Class == model.ClassService {
		if p.request != nil {
			p.request.adapterRow.service.Observe(now - p.grantedAt)
		}
		return
	}
	c.observeFirstToken(p, e.FirstToken)
	c.observeTokenGap(p.target, e.TokenGap)
}

// runHealth marks all targets for dispatch when the set of slow targets changed.
func (c *Core) runHealth() {
	if !c.policies.stragglers.Update() {
		return
	}
	for _, t := range c.targets {
		c.markTarget(t)
	}
}
