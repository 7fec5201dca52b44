package frontend

import (
	"context"
	"strconv"
	"strings"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/target"
	"cicadaslip/internal/timeline"
)

// runAttempt gets a permit and has the answer generated under it.
func (s *Server) runAttempt(r *race, a *attempt, exclude []string) (string, *errs.Error) {
	j := r.job
	asked := s.coreRequest(j, a.id, exclude)
	permit, failure := s.acquire(a.ctx, asked)
	if failure != nil {
		return "", failure
	}
	r.rename(a, permit.Request)
	body, err := j.targetBody(permit.Priority)
	if err != nil {
		s.finish(permit, asked, core.PermitReleased{Outcome: core.OutcomeNotSent})
		return permit.Target.Name, errs.As(err).WithRan(errs.RanNo)
	}
	settled := false
	defer s.orphaned(&settled, permit, asked)
	a.watch = s.watchAttempt(permit)
	defer a.watch.stop()
	s.event(timeline.RequestDispatch, permit, j.org, "")
	call := target.Call{Request: a.id, Target: permit.Target, Adapter: j.adapter, Chat: j.chat, Body: body, KeepResuming: j.stream || !j.repeatable()}
	result, err := s.opt.Targets.Stream(a.ctx, call, func(c target.Chunk) error { return r.take(a, c) })
	if result.Resumes > 0 {
		s.event(timeline.RequestResumed, permit, j.org, strconv.Itoa(result.Resumes)+" times")
	}
	if err == nil {
		s.predictor.learn(j.predictionKey(), j.maxTokens, result.Tokens)
	}
	settled = true
	s.settle(a.ctx, permit, asked, result, err)
	return permit.Target.Name, errs.As(err)
}

// acquire obtains a permit. A permit for anything else than what was asked for
// is given back.
func (s *Server) acquire(ctx context.Context, asked core.Request) (core.Permit, *errs.Error) {
	permit, err := s.opt.Permits.Acquire(ctx, asked)
	switch {
	case err == nil:
	case ctx.Err() == context.DeadlineExceeded:
		return core.Permit{}, errs.Wrap(err, errs.Timeout, "deadline passed before a permit was granted").WithRan(errs.RanNo)
	case ctx.Err() != nil:
		return core.Permit{}, errs.Wrap(err, errs.Cancelled, "request was cancelled before a permit was granted").WithRan(errs.RanNo)
	default:
		return core.Permit{}, errs.As(err).WithRan(errs.RanNo)
	}
	s.event(timeline.PermitGranted, permit, asked.Organisation, "")
	if derived(permit.Request, asked.ID) && permit.Adapter == asked.Adapter && permit.Target.Class == asked.Class {
		return permit, nil
	}
	s.finish(permit, asked, core.PermitReleased{Outcome: core.OutcomeNotSent})
	return core.Permit{}, errs.NotRun(errs.Internal, "permit is not the one asked for")
}

// orphaned ends a permit that a panic left behind. It must be deferred.
func (s *Server) orphaned(settled *bool, permit core.Permit, asked core.Request) {
	if !*settled {
		s.settle(s.stop, permit, asked, target.Result{Sent: true}, errs.New(errs.Internal, internalMessage).WithRan(errs.RanUnknown))
	}
}

// derived reports whether a permit's request id is the asked one or was derived
// from it by Permits.
func derived(granted, asked model.RequestID) bool {
	return granted == asked || strings.HasPrefix(string(granted), string(asked)+".")
}

// settle ends a permit after an attempt. While the request may still run on
// the target the permit is kept, because it pins the adapter there.
func (s *Server) settle(ctx context.Context, permit core.Permit, asked core.Request, result target.Result, err error) {
	release := core.PermitReleased{
		Outcome: core.OutcomeDone, Usage: result.Usage, FirstToken: result.FirstToken, TokenGap: result.TokenGap,
	}
	if release.Usage.PromptTokens == 0 && result.Accepted {
		release.Usage.PromptTokens = asked.PromptTokens
	}
	if err == nil {
		s.finish(permit, asked, release)
		return
	}
	e := errs.As(err)
	if e.Code == errs.WrongAnswer {
		s.event(timeline.AnswerDiscarded, permit, asked.Organisation, e.Message)
	}
	if !result.Sent || e.Ran == errs.RanNo {
		notResident := e.Code == errs.AdapterNotResident
		s.finish(permit, asked, core.PermitReleased{Outcome: core.OutcomeNotSent, NotResident: notResident})
		return
	}
	release.Outcome = core.OutcomeFailed
	if ctx.Err() != nil || e.Code == errs.Cancelled {
		release.Outcome = core.OutcomeCancelled
	}
	s.spawn(func() {
		s.cancelOnTarget(permit)
		s.finish(permit, asked, release)
	})
}

// cancelOnTarget repeats the cancellation until the target confirms it or is
// gone from the platform's list.
func (s *Server) cancelOnTarget(permit core.Permit) {
	delay := s.limits.CancelRetry
	for s.stop.Err() == nil {
		err := s.opt.Targets.Cancel(s.stop, permit.Target, permit.Request)
		if err == nil || s.targetGone(permit.Target.Name) {
			return
		}
		s.log.Warn().Str("request", string(permit.Request)).Str("target", permit.Target.Name).
			Uint64("epoch", uint64(permit.Epoch)).Err(err).Msg("cancellation is not confirmed")
		pause.For(s.stop, s.jitter.spread(delay))
		delay = min(delay*2, s.limits.CancelRetryMax)
	}
}

func (s *Server) targetGone(name string) bool {
	return s.opt.TargetGone != nil && s.opt.TargetGone(name)
}

// finish releases a permit and enters the usage into the account.
func (s *Server) finish(permit core.Permit, asked core.Request, release core.PermitReleased) {
	release.ID, release.Target = permit.Request, permit.Target.Name
	s.opt.Permits.Release(permit, release)
	s.opt.Usage.RecordUsed(permit.Request, asked.Organisation, asked.Kind, release.Outcome, release.Usage)
	s.event(timeline.PermitReleased, permit, asked.Organisation, string(release.Outcome))
}

// event records an event about a permit.
func (s *Server) event(kind timeline.Kind, permit core.Permit, org, detail string) {
	s.record(timeline.Event{
		Kind: kind, Request: permit.Request, Organisation: org, Target: permit.Target.Name,
		Group: permit.Group, Epoch: permit.Epoch, Detail: detail,
	})
	s.log.Debug().Str("request", string(permit.Request)).Str("organisation", org).Str("target", permit.Target.Name).
		Uint64("epoch", uint64(permit.Epoch)).Str("detail", detail).Msg(string(kind))
}
