package core

import (
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/hedge"
)

// mostRatio bounds the weight of one very late observation, so that a target
// that was silent once returns after a few normal answers.
const mostRatio = 6.0

// observe enters an observed time against the expected one. The expected times
// are learned only from targets that are not slow.
func (c *Core) observe(t *targetRow, observed, expected time.Duration) {
	if observed <= 0 || expected <= 0 {
		return
	}
	c.policies.slow.Observe(t.index, min(mostRatio, float64(observed)/float64(expected)))
}

func (c *Core) observeGap(t *targetRow, gap time.Duration) {
	running := max(1, len(t.permits))
	c.observe(t, gap, c.model.TokenGap(running))
	if !c.policies.slow.Slow(t.index) {
		c.model.ObserveTokenGap(running, gap)
	}
}

func (c *Core) observeFirst(p *permitRow, first time.Duration) {
	if p.request == nil || p.firstSeen || first <= 0 {
		return
	}
	p.firstSeen = true
	c.observe(p.target, first, c.model.FirstToken(p.request.PromptTokens))
	if !c.policies.slow.Slow(p.target.index) {
		c.model.ObserveFirstToken(p.request.PromptTokens, first)
	}
}

func (c *Core) applyProgress(_ Time, e Progress) {
	p := c.permits[permitKey{e.ID, e.Target}]
	if p == nil || p.ending || p.target.info.Class != model.ClassRunner {
		return
	}
	c.observeFirst(p, e.FirstToken)
	expected := c.expectedNext(p, e)
	if e.SilentFor > expected {
		c.observe(p.target, e.SilentFor, expected)
	} else {
		c.observeGap(p.target, e.TokenGap)
	}
	c.considerHedge(p, e, expected)
}

// expectedNext returns the expected time until a request's next token.
func (c *Core) expectedNext(p *permitRow, e Progress) time.Duration {
	if e.Tokens > 0 {
		return c.model.TokenGap(max(1, len(p.target.permits)))
	}
	if p.request == nil {
		return 0
	}
	return c.model.FirstToken(p.request.PromptTokens)
}

func (c *Core) considerHedge(p *permitRow, e Progress, expected time.Duration) {
	if p.hedged || p.request == nil || !p.request.Repeatable {
		return
	}
	attempt := hedge.Attempt{
		Slow: c.policies.slow.Slow(p.target.index), SilentFor: e.SilentFor, ExpectedWait: expected, Tokens: e.Tokens,
		Remaining:     time.Duration(max(0, p.request.PredictedTokens-e.Tokens)) * max(e.TokenGap, e.SilentFor),
		SecondAttempt: c.serviceTime(p.request),
	}
	if c.policies.hedger.Hedge(attempt) {
		p.hedged = true
		c.emit(HedgeRequest{ID: p.permit.Request, Holder: p.holder, Target: p.target.info.Name})
	}
}

// learn enters what a finished request shows about its target.
func (c *Core) learn(now Time, p *permitRow, e PermitReleased) {
	if e.Outcome != OutcomeDone {
		return
	}
	if p.target.info.Class == model.ClassService {
		if p.request != nil {
			p.request.adapterRow.service.Observe(now - p.grantedAt)
		}
		return
	}
	c.observeFirst(p, e.FirstToken)
	c.observeGap(p.target, e.TokenGap)
}

// runHealth lets all targets be considered again when the set of slow ones changed.
func (c *Core) runHealth() {
	if !c.policies.slow.Update() {
		return
	}
	for _, t := range c.targets {
		c.markTarget(t)
	}
}
