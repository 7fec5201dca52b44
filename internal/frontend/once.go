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
	journalRetryDelay    = 100 * time.Millisecond // first delay before a journal write is retried
	maxJournalRetryDelay = 5 * time.Second        // longest delay before a journal write is retried
	inProgressRetryAfter = time.Second            // advice to a caller whose first call with the key is still running
	maxStoredBodyBytes   = 64 << 10               // largest response body that is stored in the journal
)

// atMostOnceResult is the result of an at-most-once call for its caller.
type atMostOnceResult struct {
	response rpcapi.StoredResponse
	replayed bool // response is the stored response of an earlier call with the key
	failure  *errs.Error
}

// callAtMostOnce executes an at-most-once call: it acquires a permit, claims the
// key, sends the call and stores its outcome. A call that was sent does not end with
// the caller's connection or deadline, because its outcome must be stored.
func (s *Server) callAtMostOnce(ctx *fasthttp.RequestCtx, call *serviceCall) *errs.Error {
	callerCtx, cancel := context.WithDeadline(s.baseContext, call.deadline)
	defer cancel()
	go callerconn.Watch(callerCtx, ctx.Conn(), s.limits.DisconnectCheckInterval, cancel)
	done := make(chan atMostOnceResult, 2) // room for a result and the error of a panic that follows it
	s.runInBackground(func() {
		defer call.releaseBody()
		defer s.recoverPanic(func(e *errs.Error) { done <- atMostOnceResult{failure: e} })
		s.runAtMostOnce(callerCtx, call, func(r atMostOnceResult) { done <- r })
	})
	result, failure := s.awaitResult(callerCtx, done)
	if failure != nil {
		return failure
	}
	if result.replayed {
		ctx.Response.Header.Set(HeaderReplayed, "true")
	}
	s.writeResponse(ctx, call, result.response)
	return nil
}

// awaitResult waits for the result until the caller's deadline or disconnection,
// and then for another OutcomeStoreWait. If there is no result by then, it returns a
// timeout error; the call may still run.
func (s *Server) awaitResult(callerCtx context.Context, done <-chan atMostOnceResult) (atMostOnceResult, *errs.Error) {
	select {
	case r := <-done:
		return r, r.failure
	case <-callerCtx.Done():
	}
	select {
	case r := <-done:
		return r, r.failure
	case <-time.After(s.limits.OutcomeStoreWait):
		return atMostOnceResult{}, errs.New(errs.Timeout, "deadline passed while the call was in progress").
			WithRan(errs.RanUnknown).WithRetry(inProgressRetryAfter)
	}
}

// runAtMostOnce acquires a permit, claims the key and sends the call. It calls
// respond exactly once.
func (s *Server) runAtMostOnce(callerCtx context.Context, call *serviceCall, respond func(atMostOnceResult)) {
	permit, permitReq, failure := s.acquireService(callerCtx, call)
	if failure != nil {
		respond(atMostOnceResult{failure: failure})
		return
	}
	id := rpcapi.ClaimID{Holder: s.opt.Holder, Number: s.idCounter.Add(1)}
	response, failure := s.claim(callerCtx, call, id)
	if failure != nil || response != nil {
		s.releasePermit(permit, permitReq, core.PermitReleased{Outcome: core.OutcomeNotSent})
		respond(replayed(response, failure))
		return
	}
	s.recordPermitEvent(timeline.ClaimCommitted, permit, call.org, call.kind.Name)
	if callerCtx.Err() != nil {
		s.releasePermit(permit, permitReq, core.PermitReleased{Outcome: core.OutcomeNotSent})
		s.releaseClaimAndRespond(call, id, errs.NotRun(errs.Timeout, "deadline passed before the call was sent"), respond)
		return
	}
	s.dispatchClaimed(callerCtx, call, id, permit, permitReq, respond)
}

// replayed returns the result of a call that is not sent: the response of an earlier
// call with the key, or an error.
func replayed(response *rpcapi.StoredResponse, failure *errs.Error) atMostOnceResult {
	if failure != nil {
		return atMostOnceResult{failure: failure}
	}
	return atMostOnceResult{response: *response, replayed: true}
}

// claim claims the key in the journal. It returns nil, nil if this call may be sent;
// otherwise it returns the stored response of an earlier call or an error. If the
// claim fails or its result is unknown, the call is never sent, and the claim is
// released, because it may have been committed.
func (s *Server) claim(callerCtx context.Context, call *serviceCall, id rpcapi.ClaimID) (*rpcapi.StoredResponse, *errs.Error) {
	ctx, cancel := context.WithTimeout(callerCtx, s.limits.ClaimTimeout)
	defer cancel()
	reply, err := s.opt.Claims.Claim(ctx, rpcapi.ClaimRequest{Key: call.claimKey(), ID: id, BodyHash: bodyHash(call)})
	failure := errs.As(err)
	if failure == nil {
		failure = reply.Err
	}
	if failure != nil {
		s.runInBackground(func() { s.releaseClaim(call, id) })
		return nil, failure.WithRan(errs.RanNo)
	}
	if reply.State == rpcapi.ClaimGranted {
		return nil, nil
	}
	return earlierResponse(reply)
}

// earlierResponse returns the response or the error for a key that an earlier call
// has claimed.
func earlierResponse(reply rpcapi.ClaimReply) (*rpcapi.StoredResponse, *errs.Error) {
	switch reply.State {
	case rpcapi.ClaimFinished:
		if reply.Response.Truncated {
			return nil, errs.New(errs.TruncatedAnswer, "the call ran, but its response was too large to be kept").WithRan(errs.RanYes)
		}
		return &reply.Response, nil
	case rpcapi.ClaimRunning:
		return nil, errs.New(errs.InProgress, "the first call with this key is in progress").
			WithRan(errs.RanUnknown).WithRetry(inProgressRetryAfter)
	case rpcapi.ClaimReused:
		return nil, errs.NotRun(errs.KeyReused, "the key was used with another body")
	case rpcapi.ClaimUnknown:
		return nil, errs.New(errs.OutcomeUnknown, "the first call with this key has no known outcome").WithRan(errs.RanUnknown)
	default:
		return nil, errs.New(errs.Internal, "journal returned an unexpected claim state").WithRan(errs.RanUnknown)
	}
}

// dispatchClaimed sends a call whose key is claimed. If the call certainly did not
// run, it is retried on another target under the same claim.
func (s *Server) dispatchClaimed(callerCtx context.Context, call *serviceCall, id rpcapi.ClaimID, permit core.Permit, permitReq core.Request, respond func(atMostOnceResult)) {
	for {
		response, failure := s.dispatchService(s.baseContext, call, permit, permitReq, s.limits.AtMostOnceTimeout)
		if failure == nil {
			s.storeOutcomeAndRespond(call, id, rpcapi.OutcomeRequest{Response: storedResponse(response)}, atMostOnceResult{response: storedResponse(response)}, respond)
			return
		}
		if failure.Ran != errs.RanNo {
			unknown := errs.Wrap(failure, errs.OutcomeUnknown, "the call may have run").WithRan(errs.RanUnknown).WithRetry(inProgressRetryAfter)
			s.storeOutcomeAndRespond(call, id, rpcapi.OutcomeRequest{Unknown: true}, atMostOnceResult{failure: unknown}, respond)
			return
		}
		call.exclude = append(call.exclude, permit.Target.Name)
		if callerCtx.Err() != nil || call.attempts >= s.limits.MaxAttempts || !s.retryBudget.tryWithdraw() {
			s.releaseClaimAndRespond(call, id, failure, respond)
			return
		}
		pause.For(callerCtx, s.jitter.randomise(s.limits.RetryDelay))
		var refused *errs.Error
		if permit, permitReq, refused = s.acquireService(callerCtx, call); refused != nil {
			s.releaseClaimAndRespond(call, id, refused, respond)
			return
		}
	}
}

// storeOutcomeAndRespond stores the outcome and responds to the caller once it is
// stored, or after OutcomeStoreWait at the latest. A repeated call should find the
// outcome, but a slow journal must not delay the response for long.
func (s *Server) storeOutcomeAndRespond(call *serviceCall, id rpcapi.ClaimID, outcome rpcapi.OutcomeRequest, result atMostOnceResult, respond func(atMostOnceResult)) {
	outcome.Key, outcome.ID = call.claimKey(), id
	outcome.Response = s.limitStoredBody(outcome.Response)
	outcomeStored := make(chan struct{})
	s.runInBackground(func() {
		defer close(outcomeStored)
		s.retryJournalWrite(func(ctx context.Context) error { return s.opt.Claims.Outcome(ctx, outcome) })
		s.recordEvent(timeline.Event{Kind: timeline.OutcomeCommitted, Request: call.id, Organisation: call.org, Detail: call.kind.Name})
	})
	select {
	case <-outcomeStored:
	case <-time.After(s.limits.OutcomeStoreWait):
	}
	respond(result)
}

// releaseClaimAndRespond releases the claim of a call that certainly did not run and
// responds with the error, at the latest after OutcomeStoreWait.
func (s *Server) releaseClaimAndRespond(call *serviceCall, id rpcapi.ClaimID, failure *errs.Error, respond func(atMostOnceResult)) {
	claimReleased := make(chan struct{})
	s.runInBackground(func() {
		defer close(claimReleased)
		s.releaseClaim(call, id)
	})
	select {
	case <-claimReleased:
	case <-time.After(s.limits.OutcomeStoreWait):
	}
	respond(atMostOnceResult{failure: failure.WithRan(errs.RanNo)})
}

// releaseClaim releases the claim in the journal, so that the key can be used again.
func (s *Server) releaseClaim(call *serviceCall, id rpcapi.ClaimID) {
	s.retryJournalWrite(func(ctx context.Context) error {
		return s.opt.Claims.ReleaseClaim(ctx, rpcapi.ReleaseClaimRequest{Key: call.claimKey(), ID: id})
	})
	s.recordEvent(timeline.Event{Kind: timeline.ClaimReleased, Request: call.id, Organisation: call.org, Detail: call.kind.Name})
}

// retryJournalWrite repeats a journal write until it succeeds, fails permanently, or
// the server is closed. Drain waits for it.
func (s *Server) retryJournalWrite(write func(context.Context) error) {
	for delay := journalRetryDelay; s.baseContext.Err() == nil; delay = min(delay*2, maxJournalRetryDelay) {
		ctx, cancel := context.WithTimeout(s.baseContext, s.limits.ClaimTimeout)
		err := write(ctx)
		cancel()
		if err == nil || isPermanent(errs.As(err)) {
			return
		}
		s.log.Warn().Err(err).Msg("journal write failed; retrying")
		pause.For(s.baseContext, s.jitter.randomise(delay))
	}
}

// isPermanent reports whether an error of the journal means that the write can
// never succeed.
func isPermanent(e *errs.Error) bool {
	switch e.Code {
	case errs.NotFound, errs.Conflict, errs.InvalidRequest, errs.InvalidMessage, errs.Forbidden:
		return true
	default:
		return false
	}
}

// limitStoredBody replaces a response whose body is too large for the journal by one
// that is marked as truncated and has no body.
func (s *Server) limitStoredBody(r rpcapi.StoredResponse) rpcapi.StoredResponse {
	if len(r.Body) > maxStoredBodyBytes {
		return rpcapi.StoredResponse{Status: r.Status, ContentType: r.ContentType, Truncated: true}
	}
	return r
}

func (call *serviceCall) claimKey() rpcapi.ClaimKey {
	return rpcapi.ClaimKey{Organisation: call.org, Kind: call.kind.Name, Key: call.key}
}
