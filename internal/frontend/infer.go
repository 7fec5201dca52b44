package frontend

import (
	"context"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/target"
	"cicadaslip/internal/timeline"
)

// inferenceRequest is a validated completion or chat completion request.
type inferenceRequest struct {
	*request
	completionParams
	chat      bool        // chat completion instead of completion
	baseModel string      // of the adapter
	deliver   target.Sink // receives the chunks of the answer for the caller, in order
}

// repeatable reports whether the request may run more than once.
func (req *inferenceRequest) repeatable() bool { return !req.kind.AtMostOnce }

// predictionKey returns the key of the request in the lengthPredictor.
func (req *inferenceRequest) predictionKey() string { return req.org + "/" + req.kind.Name }

// newPermitRequest returns the permit request for one attempt. The owner of the
// target group makes its decision from it.
func (s *Server) newPermitRequest(req *inferenceRequest, id model.RequestID, exclude []string) core.Request {
	return core.Request{
		ID: id, Organisation: req.org, Adapter: req.adapter, Kind: req.kind.Name, Class: model.ClassRunner, BaseModel: req.baseModel,
		PromptTokens:    estimateTokens(req.prompt),
		PredictedTokens: s.lengthPredictor.predict(req.predictionKey(), req.maxTokens),
		PrefixHashes:    prefixHashes(req.prompt),
		Deadline:        time.Until(req.deadline), Worth: req.worth, Repeatable: req.repeatable(),
		Holder: s.opt.Holder, Exclude: exclude,
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *attempt
	target  string      // name of the target, empty if no permit was granted
	err     *errs.Error // nil if the whole answer was delivered
}

// runInference runs attempts until one has delivered its whole answer or no
// further attempt is allowed. A failed attempt is retried only if no part of an
// answer has been delivered to the caller.
func (s *Server) runInference(ctx context.Context, req *inferenceRequest) *errs.Error {
	g := newAttemptGroup(s, ctx, req)
	defer g.cancelAll()
	s.retryBudget.deposit()
	s.hedgeBudget.deposit()
	g.startAttempt()
	for {
		select {
		case slowTarget := <-g.slowTargets:
			g.startHedge(slowTarget)
		case result := <-g.results:
			g.attemptsRunning--
			if result.err == nil {
				return nil
			}
			g.recordFailure(result)
			if g.attemptsRunning > 0 {
				continue
			}
			if !g.shouldRetry(result) || !g.waitBeforeRetry() {
				return g.finalError(result.err)
			}
			g.startAttempt()
		}
	}
}

// recordFailure updates the state that determines later attempts and the final
// error: the error, whether the request ran, and the targets to avoid.
func (g *attemptGroup) recordFailure(result attemptResult) {
	if result.target != "" {
		g.lastTargetError = result.err
		if result.err.Code != errs.AdapterNotResident { // the target works, but lost its adapters in a restart
			g.exclude = append(g.exclude, result.target)
		}
	}
	g.ran = strongestRan(g.ran, result.err.Ran)
	g.s.log.Debug().Str("request", string(result.attempt.id)).Str("organisation", g.inference.org).Str("target", result.target).
		Str("code", string(result.err.Code)).Msg("attempt failed")
}

// finalError returns the error for the caller. It reports RanNo only if no attempt
// ran. The error of a target takes precedence over the refusal of a permit for a
// later attempt.
func (g *attemptGroup) finalError(last *errs.Error) *errs.Error {
	if g.lastTargetError != nil {
		last = g.lastTargetError
	}
	return last.WithRan(strongestRan(g.ran, last.Ran))
}

// strongestRan combines the Ran values of two attempts. RanYes takes precedence
// over RanUnknown, which takes precedence over RanNo.
func strongestRan(a, b errs.Ran) errs.Ran {
	rank := map[errs.Ran]int{errs.RanUnset: 0, errs.RanNo: 1, errs.RanUnknown: 2, errs.RanYes: 3}
	if rank[a] >= rank[b] {
		return a
	}
	return b
}

// shouldRetry reports whether another attempt is allowed and can succeed, and takes
// it from the retry budget. A refused permit is not requested again, because the
// owner has already considered all targets of its group.
func (g *attemptGroup) shouldRetry(result attemptResult) bool {
	g.mu.Lock()
	hasWinner := g.winner != nil
	g.mu.Unlock()
	switch {
	case result.target == "" || hasWinner || g.ctx.Err() != nil || g.attemptsStarted >= g.s.limits.MaxAttempts:
		return false
	case g.ran != errs.RanNo && !g.inference.repeatable():
		return false
	case result.err.Code == errs.TooLarge || result.err.Code == errs.Internal:
		return false
	}
	return g.s.retryBudget.tryWithdraw()
}

// waitBeforeRetry waits for the randomised retry delay. It reports false if the
// request ends first.
func (g *attemptGroup) waitBeforeRetry() bool {
	timer := time.NewTimer(g.s.jitter.randomise(g.s.limits.RetryDelay))
	defer timer.Stop()
	select {
	case <-g.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// startHedge starts a second attempt that avoids the slow target. It does nothing
// if the request must not run twice, an attempt has won, not exactly one attempt is
// running, or the attempt limit or the hedge budget is exhausted.
func (g *attemptGroup) startHedge(slowTarget string) {
	g.mu.Lock()
	hasWinner := g.winner != nil
	g.mu.Unlock()
	if hasWinner || !g.inference.repeatable() || g.attemptsRunning != 1 || g.attemptsStarted >= g.s.limits.MaxAttempts || !g.s.hedgeBudget.tryWithdraw() {
		return
	}
	g.exclude = append(g.exclude, slowTarget)
	g.s.recordEvent(timeline.Event{Kind: timeline.RequestHedged, Request: g.inference.id, Organisation: g.inference.org, Target: slowTarget})
	g.startAttempt()
}
