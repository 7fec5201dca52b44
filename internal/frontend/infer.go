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

// inference is one request for an answer of an adapter.
type inference struct {
	*request
	completion
	chat bool
	base string      // base model of the adapter
	emit target.Sink // takes the chunks that the caller gets
}

// repeatable reports whether the request may run more than once.
func (j *inference) repeatable() bool { return !j.kind.AtMostOnce }

func (j *inference) predictionKey() string { return j.org + "/" + j.kind.Name }

// coreRequest returns what the permit's owner needs to know of an attempt.
func (s *Server) coreRequest(j *inference, id model.RequestID, exclude []string) core.Request {
	return core.Request{
		ID: id, Organisation: j.org, Adapter: j.adapter, Kind: j.kind.Name, Class: model.ClassRunner, BaseModel: j.base,
		PromptTokens:    countTokens(j.prompt),
		PredictedTokens: s.predictor.predict(j.predictionKey(), j.maxTokens),
		PrefixHashes:    prefixHashes(j.prompt),
		Deadline:        time.Until(j.deadline), Worth: j.worth, Repeatable: j.repeatable(),
		Holder: s.opt.Holder, Exclude: exclude,
	}
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	attempt *attempt
	target  string // empty if no permit was granted
	err     *errs.Error
}

// infer runs attempts until one has passed its final chunk to the caller. A
// failed attempt is retried while nothing was passed on.
func (s *Server) infer(ctx context.Context, j *inference) *errs.Error {
	r := newRace(s, ctx, j)
	defer r.end()
	s.retries.earn()
	s.hedges.earn()
	r.start()
	for {
		select {
		case slow := <-r.hedge:
			r.startHedge(slow)
		case result := <-r.results:
			r.active--
			if result.err == nil {
				return nil
			}
			r.failed(result)
			if r.active > 0 {
				continue
			}
			if !r.mayRetry(result) || !r.pause() {
				return r.verdict(result.err)
			}
			r.start()
		}
	}
}

// failed notes what is known of a failed attempt.
func (r *race) failed(result attemptResult) {
	if result.target != "" {
		r.cause = result.err
		if result.err.Code != errs.AdapterNotResident { // the target works, it only restarted
			r.exclude = append(r.exclude, result.target)
		}
	}
	r.ran = strongestRan(r.ran, result.err.Ran)
	r.s.log.Debug().Str("request", string(result.attempt.id)).Str("organisation", r.job.org).Str("target", result.target).
		Str("code", string(result.err.Code)).Msg("attempt failed")
}

// verdict returns the error that the caller gets. It says not run only if no
// attempt ran. The failure of a target outweighs the refusal of a permit for a
// further attempt.
func (r *race) verdict(last *errs.Error) *errs.Error {
	if r.cause != nil {
		last = r.cause
	}
	return last.WithRan(strongestRan(r.ran, last.Ran))
}

// strongestRan combines what is known of several attempts: one that ran
// outweighs one that may have run, which outweighs one that did not.
func strongestRan(a, b errs.Ran) errs.Ran {
	rank := map[errs.Ran]int{errs.RanUnset: 0, errs.RanNo: 1, errs.RanUnknown: 2, errs.RanYes: 3}
	if rank[a] >= rank[b] {
		return a
	}
	return b
}

// mayRetry reports whether another attempt is allowed and useful. A refusal by
// the owner is final: it has judged the whole group already.
func (r *race) mayRetry(result attemptResult) bool {
	r.mu.Lock()
	passedOn := r.winner != nil
	r.mu.Unlock()
	switch {
	case result.target == "" || passedOn || r.ctx.Err() != nil || r.started >= r.s.limits.MaxAttempts:
		return false
	case r.ran != errs.RanNo && !r.job.repeatable():
		return false
	case result.err.Code == errs.TooLarge || result.err.Code == errs.Internal:
		return false
	}
	return r.s.retries.take()
}

func (r *race) pause() bool {
	timer := time.NewTimer(r.s.jitter.spread(r.s.limits.RetryDelay))
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// startHedge starts a second attempt that excludes a slow target.
func (r *race) startHedge(slow string) {
	r.mu.Lock()
	passedOn := r.winner != nil
	r.mu.Unlock()
	if passedOn || !r.job.repeatable() || r.active != 1 || r.started >= r.s.limits.MaxAttempts || !r.s.hedges.take() {
		return
	}
	r.exclude = append(r.exclude, slow)
	r.s.record(timeline.Event{Kind: timeline.RequestHedged, Request: r.job.id, Organisation: r.job.org, Target: slow})
	r.start()
}
