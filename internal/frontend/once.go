package frontend

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

const (
	journalRetry    = 100 * time.Millisecond // first delay between attempts to store an outcome
	journalRetryMax = 5 * time.Second
	progressRetry   = time.Second // advice to a caller that meets its running first call
	maxStoredBytes  = 64 << 10    // of a response kept in the journal
)

// onceResult is what a caller learns of an at-most-once call.
type onceResult struct {
	response rpcapi.StoredResponse
	replayed bool // the response is that of an earlier call
	failure  *errs.Error
}

// callOnce makes an at-most-once call: permit, claim, dispatch, outcome. The
// work does not end with the caller, because a call that was sent must get its
// outcome.
func (s *Server) callOnce(ctx *fasthttp.RequestCtx, c *serviceCall) *errs.Error {
	wait, cancel := context.WithDeadline(s.stop, c.deadline)
	defer cancel()
	go callerconn.Watch(wait, ctx.Conn(), s.limits.GoneCheckPeriod, cancel)
	done := make(chan onceResult, 2) // an answer, and the error of a panic after it
	s.spawn(func() {
		defer c.release()
		defer s.recovered(func(e *errs.Error) { done <- onceResult{failure: e} })
		s.runOnce(wait, c, func(r onceResult) { done <- r })
	})
	result, failure := s.awaitOnce(wait, done)
	if failure != nil {
		return failure
	}
	if result.replayed {
		ctx.Response.Header.Set(HeaderReplayed, "true")
	}
	s.writeAnswer(ctx, c, result.response)
	return nil
}

// awaitOnce waits for the result or the caller's deadline. When the deadline
// comes first, the call may still run.
func (s *Server) awaitOnce(wait context.Context, done <-chan onceResult) (onceResult, *errs.Error) {
	select {
	case r := <-done:
		return r, r.failure
	case <-wait.Done():
	}
	select {
	case r := <-done:
		return r, r.failure
	case <-time.After(s.limits.OutcomeWait):
		return onceResult{}, errs.New(errs.Timeout, "deadline passed while the call was in progress").
			WithRan(errs.RanUnknown).WithRetry(progressRetry)
	}
}

// runOnce obtains a permit and a claim and dispatches. answer is called once.
func (s *Server) runOnce(wait context.Context, c *serviceCall, answer func(onceResult)) {
	permit, asked, failure := s.acquireService(wait, c)
	if failure != nil {
		answer(onceResult{failure: failure})
		return
	}
	id := rpcapi.ClaimID{Holder: s.opt.Holder, Number: s.number.Add(1)}
	response, failure := s.claim(wait, c, id)
	if failure != nil || response != nil {
		s.finish(permit, asked, core.PermitReleased{Outcome: core.OutcomeNotSent})
		answer(replayed(response, failure))
		return
	}
	s.event(timeline.ClaimCommitted, permit, c.org, c.kind.Name)
	if wait.Err() != nil {
		s.finish(permit, asked, core.PermitReleased{Outcome: core.OutcomeNotSent})
		s.notSent(c, id, errs.NotRun(errs.Timeout, "deadline passed before the call was sent"), answer)
		return
	}
	s.dispatchOnce(wait, c, id, permit, asked, answer)
}

func replayed(response *rpcapi.StoredResponse, failure *errs.Error) onceResult {
	if failure != nil {
		return onceResult{failure: failure}
	}
	return onceResult{response: *response, replayed: true}
}

// claim claims the key. It returns nil, nil if this call may be dispatched, the
// first response of an earlier call, or an error. When the result of the claim
// is not known the call is never dispatched, and the claim is released, since
// it may have been committed.
func (s *Server) claim(wait context.Context, c *serviceCall, id rpcapi.ClaimID) (*rpcapi.StoredResponse, *errs.Error) {
	ctx, cancel := context.WithTimeout(wait, s.limits.ClaimTimeout)
	defer cancel()
	reply, err := s.opt.Claims.Claim(ctx, rpcapi.ClaimRequest{Key: c.claimKey(), ID: id, BodyHash: bodyHash(c)})
	failure := errs.As(err)
	if failure == nil {
		failure = reply.Err
	}
	if failure != nil {
		s.spawn(func() { s.releaseClaim(c, id) })
		return nil, failure.WithRan(errs.RanNo)
	}
	if reply.State == rpcapi.ClaimGranted {
		return nil, nil
	}
	return earlier(reply)
}

// earlier converts the state of a key that another call owns.
func earlier(reply rpcapi.ClaimReply) (*rpcapi.StoredResponse, *errs.Error) {
	switch reply.State {
	case rpcapi.ClaimFinished:
		if reply.Response.Truncated {
			return nil, errs.New(errs.TruncatedAnswer, "the call ran, but its response was too large to be kept").WithRan(errs.RanYes)
		}
		return &reply.Response, nil
	case rpcapi.ClaimRunning:
		return nil, errs.New(errs.InProgress, "the first call with this key is in progress").
			WithRan(errs.RanUnknown).WithRetry(progressRetry)
	case rpcapi.ClaimReused:
		return nil, errs.NotRun(errs.KeyReused, "the key was used with another body")
	case rpcapi.ClaimUnknown:
		return nil, errs.New(errs.OutcomeUnknown, "the first call with this key has no known outcome").WithRan(errs.RanUnknown)
	default:
		return nil, errs.New(errs.Internal, "journal answered with an unexpected state").WithRan(errs.RanUnknown)
	}
}

// dispatchOnce sends a claimed call. A call that was certainly not sent is
// tried on another target under the same claim.
func (s *Server) dispatchOnce(wait context.Context, c *serviceCall, id rpcapi.ClaimID, permit core.Permit, asked core.Request, answer func(onceResult)) {
	for {
		response, failure := s.dispatchService(s.stop, c, permit, asked, s.limits.ServiceWait)
		if failure == nil {
			s.sent(c, id, rpcapi.OutcomeRequest{Response: stored(response)}, onceResult{response: stored(response)}, answer)
			return
		}
		if failure.Ran != errs.RanNo {
			unknown := errs.Wrap(failure, errs.OutcomeUnknown, "the call may have run").WithRan(errs.RanUnknown).WithRetry(progressRetry)
			s.sent(c, id, rpcapi.OutcomeRequest{Unknown: true}, onceResult{failure: unknown}, answer)
			return
		}
		c.exclude = append(c.exclude, permit.Target.Name)
		if wait.Err() != nil || c.attempts >= s.limits.MaxAttempts || !s.retries.take() {
			s.notSent(c, id, failure, answer)
			return
		}
		pause.For(wait, s.jitter.spread(s.limits.RetryDelay))
		var refused *errs.Error
		if permit, asked, refused = s.acquireService(wait, c); refused != nil {
			s.notSent(c, id, refused, answer)
			return
		}
	}
}

// sent stores the outcome and answers when it is stored or after a short wait:
// a repetition should find the outcome, but the journal must not delay the
// answer for long.
func (s *Server) sent(c *serviceCall, id rpcapi.ClaimID, outcome rpcapi.OutcomeRequest, result onceResult, answer func(onceResult)) {
	outcome.Key, outcome.ID = c.claimKey(), id
	outcome.Response = s.trimmed(outcome.Response)
	storedIt := make(chan struct{})
	s.spawn(func() {
		defer close(storedIt)
		s.untilStored(func(ctx context.Context) error { return s.opt.Claims.Outcome(ctx, outcome) })
		s.record(timeline.Event{Kind: timeline.OutcomeCommitted, Request: c.id, Organisation: c.org, Detail: c.kind.Name})
	})
	select {
	case <-storedIt:
	case <-time.After(s.limits.OutcomeWait):
	}
	answer(result)
}

// notSent frees the key of a call that was certainly not sent.
func (s *Server) notSent(c *serviceCall, id rpcapi.ClaimID, failure *errs.Error, answer func(onceResult)) {
	freed := make(chan struct{})
	s.spawn(func() {
		defer close(freed)
		s.releaseClaim(c, id)
	})
	select {
	case <-freed:
	case <-time.After(s.limits.OutcomeWait):
	}
	answer(onceResult{failure: failure.WithRan(errs.RanNo)})
}

func (s *Server) releaseClaim(c *serviceCall, id rpcapi.ClaimID) {
	s.untilStored(func(ctx context.Context) error {
		return s.opt.Claims.ReleaseClaim(ctx, rpcapi.ReleaseClaimRequest{Key: c.claimKey(), ID: id})
	})
	s.record(timeline.Event{Kind: timeline.ClaimReleased, Request: c.id, Organisation: c.org, Detail: c.kind.Name})
}

// untilStored repeats a journal write until it succeeds. Drain waits for it.
func (s *Server) untilStored(write func(context.Context) error) {
	for delay := journalRetry; s.stop.Err() == nil; delay = min(delay*2, journalRetryMax) {
		ctx, cancel := context.WithTimeout(s.stop, s.limits.ClaimTimeout)
		err := write(ctx)
		cancel()
		if err == nil || final(errs.As(err)) {
			return
		}
		s.log.Warn().Err(err).Msg("journal write failed")
		pause.For(s.stop, s.jitter.spread(delay))
	}
}

// final reports whether the journal said that a write can never succeed.
func final(e *errs.Error) bool {
	switch e.Code {
	case errs.NotFound, errs.Conflict, errs.InvalidRequest, errs.InvalidMessage, errs.Forbidden:
		return true
	default:
		return false
	}
}

// trimmed drops a body that is too large for the journal.
func (s *Server) trimmed(r rpcapi.StoredResponse) rpcapi.StoredResponse {
	if len(r.Body) > maxStoredBytes {
		return rpcapi.StoredResponse{Status: r.Status, ContentType: r.ContentType, Truncated: true}
	}
	return r
}

func (c *serviceCall) claimKey() rpcapi.ClaimKey {
	return rpcapi.ClaimKey{Organisation: c.org, Kind: c.kind.Name, Key: c.key}
}
