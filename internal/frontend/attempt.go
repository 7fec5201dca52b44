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

// runAttempt acquires a permit, sends the request to the permit's target and
// releases the permit. It returns the name of the target, which is empty if no
// permit was granted.
func (s *Server) runAttempt(g *attemptGroup, a *attempt, exclude []string) (string, *errs.Error) {
	req := g.inference
	permitReq := s.newPermitRequest(req, a.id, exclude)
	permit, failure := s.acquirePermit(a.ctx, permitReq)
	if failure != nil {
		return "", failure
	}
	g.setAttemptID(a, permit.Request)
	body, err := req.runnerBody(permit.Priority)
	if err != nil {
		s.releasePermit(permit, permitReq, core.PermitReleased{Outcome: core.OutcomeNotSent})
		return permit.Target.Name, errs.As(err).WithRan(errs.RanNo)
	}
	released := false
	defer s.releaseAfterPanic(&released, permit, permitReq)
	a.progressMonitor = s.startProgressMonitor(permit)
	defer a.progressMonitor.stop()
	s.recordPermitEvent(timeline.RequestDispatched, permit, req.org, "")
	call := target.Call{Request: a.id, Target: permit.Target, Adapter: req.adapter, Chat: req.chat, Body: body, KeepResuming: req.stream || !req.repeatable()}
	result, err := s.opt.Targets.Stream(a.ctx, call, func(chunk target.Chunk) error { return g.handleChunk(a, chunk) })
	if result.Resumes > 0 {
		s.recordPermitEvent(timeline.RequestResumed, permit, req.org, strconv.Itoa(result.Resumes)+" times")
	}
	if err == nil {
		s.lengthPredictor.observe(req.predictionKey(), req.maxTokens, result.Tokens)
	}
	released = true
	s.releaseAfterAttempt(a.ctx, permit, permitReq, result, err)
	return permit.Target.Name, errs.As(err)
}

// acquirePermit acquires a permit. It releases a permit that does not match the
// request and returns an error instead.
func (s *Server) acquirePermit(ctx context.Context, permitReq core.Request) (core.Permit, *errs.Error) {
	permit, err := s.opt.Permits.Acquire(ctx, permitReq)
	switch {
	case err == nil:
	case ctx.Err() == context.DeadlineExceeded:
		return core.Permit{}, errs.Wrap(err, errs.Timeout, "deadline passed before a permit was granted").WithRan(errs.RanNo)
	case ctx.Err() != nil:
		return core.Permit{}, errs.Wrap(err, errs.Cancelled, "request was cancelled before a permit was granted").WithRan(errs.RanNo)
	default:
		return core.Permit{}, errs.As(err).WithRan(errs.RanNo)
	}
	s.recordPermitEvent(timeline.PermitGranted, permit, permitReq.Organisation, "")
	if isDerivedID(permit.Request, permitReq.ID) && permit.Adapter == permitReq.Adapter && permit.Target.Class == permitReq.Class {
		return permit, nil
	}
	s.releasePermit(permit, permitReq, core.PermitReleased{Outcome: core.OutcomeNotSent})
	return core.Permit{}, errs.NotRun(errs.Internal, "permit does not match the request")
}

// releaseAfterPanic releases the permit of an attempt that panicked before its
// permit was released. It must be deferred.
func (s *Server) releaseAfterPanic(released *bool, permit core.Permit, permitReq core.Request) {
	if !*released {
		s.releaseAfterAttempt(s.baseContext, permit, permitReq, target.Result{Sent: true}, errs.New(errs.Internal, internalErrorMessage).WithRan(errs.RanUnknown))
	}
}

// isDerivedID reports whether the request id of a permit is the requested one or
// was derived from it by Permits, which appends a full stop and a suffix.
func isDerivedID(granted, requested model.RequestID) bool {
	return granted == requested || strings.HasPrefix(string(granted), string(requested)+".")
}

// releaseAfterAttempt releases the permit of an attempt that has ended. If the
// request may still run on the target, the permit is released only after the
// target has confirmed the cancellation, because the permit pins the adapter
// there.
func (s *Server) releaseAfterAttempt(ctx context.Context, permit core.Permit, permitReq core.Request, result target.Result, err error) {
	release := core.PermitReleased{
		Outcome: core.OutcomeDone, Usage: result.Usage, FirstToken: result.FirstToken, TokenGap: result.TokenGap,
	}
	if release.Usage.PromptTokens == 0 && result.Accepted {
		release.Usage.PromptTokens = permitReq.PromptTokens
	}
	if err == nil {
		s.releasePermit(permit, permitReq, release)
		return
	}
	e := errs.As(err)
	if e.Code == errs.WrongAnswer {
		s.recordPermitEvent(timeline.AnswerDiscarded, permit, permitReq.Organisation, e.Message)
	}
	if !result.Sent || e.Ran == errs.RanNo {
		notResident := e.Code == errs.AdapterNotResident
		s.releasePermit(permit, permitReq, core.PermitReleased{Outcome: core.OutcomeNotSent, NotResident: notResident})
		return
	}
	release.Outcome = core.OutcomeFailed
	if ctx.Err() != nil || e.Code == errs.Cancelled {
		release.Outcome = core.OutcomeCancelled
	}
	s.runInBackground(func() {
		s.cancelOnTarget(permit)
		s.releasePermit(permit, permitReq, release)
	})
}

// cancelOnTarget cancels a request on its target. It retries until the target
// confirms the cancellation, the platform no longer lists the target, or the
// server is closed.
func (s *Server) cancelOnTarget(permit core.Permit) {
	delay := s.limits.CancelRetryDelay
	for s.baseContext.Err() == nil {
		err := s.opt.Targets.Cancel(s.baseContext, permit.Target, permit.Request)
		if err == nil || s.isTargetGone(permit.Target.Name) {
			return
		}
		s.log.Warn().Str("request", string(permit.Request)).Str("target", permit.Target.Name).
			Uint64("epoch", uint64(permit.Epoch)).Err(err).Msg("target did not confirm the cancellation; retrying")
		pause.For(s.baseContext, s.jitter.randomise(delay))
		delay = min(delay*2, s.limits.MaxCancelRetryDelay)
	}
}

// isTargetGone reports whether the platform no longer lists the target. Without
// Options.TargetGone it reports false.
func (s *Server) isTargetGone(name string) bool {
	return s.opt.TargetGone != nil && s.opt.TargetGone(name)
}

// releasePermit releases a permit and records the usage of the attempt.
func (s *Server) releasePermit(permit core.Permit, permitReq core.Request, release core.PermitReleased) {
	release.ID, release.Target = permit.Request, permit.Target.Name
	s.opt.Permits.Release(permit, release)
	s.opt.Usage.RecordUsed(permit.Request, permitReq.Organisation, permitReq.Kind, release.Outcome, release.Usage)
	s.recordPermitEvent(timeline.PermitReleased, permit, permitReq.Organisation, string(release.Outcome))
}

// recordPermitEvent records an event about a permit in the timeline and logs it
// at debug level.
func (s *Server) recordPermitEvent(kind timeline.Kind, permit core.Permit, org, detail string) {
	s.recordEvent(timeline.Event{
		Kind: kind, Request: permit.Request, Organisation: org, Target: permit.Target.Name,
		Group: permit.Group, Epoch: permit.Epoch, Detail: detail,
	})
	s.log.Debug().Str("request", string(permit.Request)).Str("organisation", org).Str("target", permit.Target.Name).
		Uint64("epoch", uint64(permit.Epoch)).Str("detail", detail).Msg(string(kind))
}
