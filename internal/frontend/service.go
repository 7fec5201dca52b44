package frontend

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/target"
	"cicadaslip/internal/timeline"
)

// serviceCall is a request for a kind that a service implements instead of an adapter.
type serviceCall struct {
	*request
	key         string // idempotency key, empty if none
	contentType string
	attempts    int      // permits requested so far
	exclude     []string // targets that further attempts avoid, by name
	ran         errs.Ran // strongest value of the attempts so far
}

// handleService serves a call of a kind that a service implements.
func (s *Server) handleService(ctx *fasthttp.RequestCtx, req *request, kindName string) *errs.Error {
	if _, failure := parseKind(kindName); failure != nil {
		return failure
	}
	if failure := s.applyHeaders(ctx, req, kindName); failure != nil {
		return failure
	}
	if req.kind.Application == "" {
		return errs.NotRun(errs.NotFound, "kind is not served by a service")
	}
	call := &serviceCall{request: req, contentType: string(ctx.Request.Header.ContentType())}
	if key := string(ctx.Request.Header.Peek(HeaderKey)); key != "" || req.kind.AtMostOnce {
		parsed, failure := parseKey(key)
		if failure != nil {
			return failure
		}
		call.key = parsed
	}
	if failure := s.readBody(ctx, req); failure != nil {
		return failure
	}
	s.recordEvent(timeline.Event{Kind: timeline.RequestArrived, Request: req.id, Organisation: req.org, Detail: req.kind.Name})
	if req.kind.AtMostOnce {
		return s.callAtMostOnce(ctx, call)
	}
	return s.callRepeatable(ctx, call)
}

// callRepeatable executes a call of a kind that may run more than once. It retries
// a failed attempt on another target. A refused permit ends the call.
func (s *Server) callRepeatable(ctx *fasthttp.RequestCtx, call *serviceCall) *errs.Error {
	defer call.releaseBody()
	workCtx, cancel := context.WithDeadline(s.baseContext, call.deadline)
	defer cancel()
	go callerconn.Watch(workCtx, ctx.Conn(), s.limits.DisconnectCheckInterval, cancel)
	s.retryBudget.deposit()
	for {
		answer, failure := s.callAttempt(workCtx, call)
		if failure == nil {
			s.writeResponse(ctx, call, storedResponse(answer))
			return nil
		}
		call.ran = strongestRan(call.ran, failure.Ran)
		retry := call.attempts < s.limits.MaxAttempts && len(call.exclude) == call.attempts
		if !retry || workCtx.Err() != nil || !s.retryBudget.tryWithdraw() {
			return failure.WithRan(call.ran)
		}
		pause.For(workCtx, s.jitter.randomise(s.limits.RetryDelay))
	}
}

// callAttempt acquires a permit and sends the call to its target.
func (s *Server) callAttempt(ctx context.Context, call *serviceCall) (target.ServiceAnswer, *errs.Error) {
	permit, permitReq, failure := s.acquireService(ctx, call)
	if failure != nil {
		return target.ServiceAnswer{}, failure
	}
	answer, failure := s.dispatchService(ctx, call, permit, permitReq, time.Until(call.deadline))
	if failure != nil {
		call.exclude = append(call.exclude, permit.Target.Name)
	}
	return answer, failure
}

// acquireService acquires a permit for the next attempt of a call.
func (s *Server) acquireService(ctx context.Context, call *serviceCall) (core.Permit, core.Request, *errs.Error) {
	call.attempts++
	permitReq := core.Request{
		ID: attemptID(call.id, call.attempts), Organisation: call.org, Kind: call.kind.Name, Class: model.ClassService,
		Application: call.kind.Application, Deadline: time.Until(call.deadline), Worth: call.worth,
		Repeatable: !call.kind.AtMostOnce, Holder: s.opt.Holder, Exclude: append([]string(nil), call.exclude...),
	}
	permit, failure := s.acquirePermit(ctx, permitReq)
	return permit, permitReq, failure
}

// dispatchService sends the call to the target of a permit and releases the permit.
// limit is the longest wait for the response.
func (s *Server) dispatchService(ctx context.Context, call *serviceCall, permit core.Permit, permitReq core.Request, limit time.Duration) (target.ServiceAnswer, *errs.Error) {
	s.recordPermitEvent(timeline.RequestDispatched, permit, call.org, "")
	startedAt, released := time.Now(), false
	defer s.releaseAfterPanic(&released, permit, permitReq)
	answer, err := s.opt.Targets.CallService(ctx, target.ServiceCall{
		Request: permit.Request, Target: permit.Target, Organisation: call.org, Kind: call.kind.Name,
		IdempotencyKey: call.key, ContentType: call.contentType, Body: call.body, ResponseTimeout: limit,
	})
	failure := errs.As(err)
	release := core.PermitReleased{Outcome: core.OutcomeDone, FirstToken: time.Since(startedAt)}
	switch {
	case failure == nil:
	case failure.Ran == errs.RanNo:
		release = core.PermitReleased{Outcome: core.OutcomeNotSent}
	default:
		release.Outcome = core.OutcomeFailed
		failure = failure.WithRan(errs.RanUnknown)
	}
	if failure != nil && failure.Code == errs.WrongAnswer {
		s.recordPermitEvent(timeline.AnswerDiscarded, permit, call.org, failure.Message)
	}
	released = true
	s.releasePermit(permit, permitReq, release)
	return answer, failure
}

func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, call *serviceCall, r rpcapi.StoredResponse) {
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType(r.ContentType)
	ctx.SetBody(r.Body)
	s.recordEvent(timeline.Event{Kind: timeline.RequestFinished, Request: call.id, Organisation: call.org})
}

// storedResponse converts the answer of a service to the form stored in the journal.
func storedResponse(a target.ServiceAnswer) rpcapi.StoredResponse {
	return rpcapi.StoredResponse{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// bodyHash returns the SHA-256 hash of the request body.
func bodyHash(call *serviceCall) [32]byte { return sha256.Sum256(call.body) }
