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

// serviceCall is one request for a plain service.
type serviceCall struct {
	*request
	key         string // idempotency key, empty if none
	contentType string
	attempts    int
	exclude     []string
	ran         errs.Ran // strongest of the attempts so far
}

// handleService answers a call of a declared service kind.
func (s *Server) handleService(ctx *fasthttp.RequestCtx, q *request, kindName string) *errs.Error {
	if _, failure := parseKind(kindName); failure != nil {
		return failure
	}
	if failure := s.applyHeaders(ctx, q, kindName); failure != nil {
		return failure
	}
	if q.kind.Application == "" {
		return errs.NotRun(errs.NotFound, "kind is not served by a service")
	}
	c := &serviceCall{request: q, contentType: string(ctx.Request.Header.ContentType())}
	if key := string(ctx.Request.Header.Peek(HeaderKey)); key != "" || q.kind.AtMostOnce {
		parsed, failure := parseKey(key)
		if failure != nil {
			return failure
		}
		c.key = parsed
	}
	if failure := s.readBody(ctx, q); failure != nil {
		return failure
	}
	s.record(timeline.Event{Kind: timeline.RequestArrived, Request: q.id, Organisation: q.org, Detail: q.kind.Name})
	if q.kind.AtMostOnce {
		return s.callOnce(ctx, c)
	}
	return s.callRepeatable(ctx, c)
}

// callRepeatable calls a kind that may run more than once.
func (s *Server) callRepeatable(ctx *fasthttp.RequestCtx, c *serviceCall) *errs.Error {
	defer c.release()
	work, cancel := context.WithDeadline(s.stop, c.deadline)
	defer cancel()
	go callerconn.Watch(work, ctx.Conn(), s.limits.GoneCheckPeriod, cancel)
	s.retries.earn()
	for {
		answer, failure := s.callAttempt(work, c)
		if failure == nil {
			s.writeAnswer(ctx, c, stored(answer))
			return nil
		}
		c.ran = strongestRan(c.ran, failure.Ran)
		retry := c.attempts < s.limits.MaxAttempts && len(c.exclude) == c.attempts
		if !retry || work.Err() != nil || !s.retries.take() {
			return failure.WithRan(c.ran)
		}
		pause.For(work, s.jitter.spread(s.limits.RetryDelay))
	}
}

// callAttempt makes one attempt under a permit.
func (s *Server) callAttempt(ctx context.Context, c *serviceCall) (target.ServiceAnswer, *errs.Error) {
	permit, asked, failure := s.acquireService(ctx, c)
	if failure != nil {
		return target.ServiceAnswer{}, failure
	}
	answer, failure := s.dispatchService(ctx, c, permit, asked, time.Until(c.deadline))
	if failure != nil {
		c.exclude = append(c.exclude, permit.Target.Name)
	}
	return answer, failure
}

func (s *Server) acquireService(ctx context.Context, c *serviceCall) (core.Permit, core.Request, *errs.Error) {
	c.attempts++
	asked := core.Request{
		ID: attemptID(c.id, c.attempts), Organisation: c.org, Kind: c.kind.Name, Class: model.ClassService,
		Application: c.kind.Application, Deadline: time.Until(c.deadline), Worth: c.worth,
		Repeatable: !c.kind.AtMostOnce, Holder: s.opt.Holder, Exclude: append([]string(nil), c.exclude...),
	}
	permit, failure := s.acquire(ctx, asked)
	return permit, asked, failure
}

// dispatchService sends the call and releases its permit.
func (s *Server) dispatchService(ctx context.Context, c *serviceCall, permit core.Permit, asked core.Request, limit time.Duration) (target.ServiceAnswer, *errs.Error) {
	s.event(timeline.RequestDispatch, permit, c.org, "")
	began, settled := time.Now(), false
	defer s.orphaned(&settled, permit, asked)
	answer, err := s.opt.Targets.CallService(ctx, target.ServiceCall{
		Request: permit.Request, Target: permit.Target, Organisation: c.org, Kind: c.kind.Name,
		IdempotencyKey: c.key, ContentType: c.contentType, Body: c.body, ResponseTimeout: limit,
	})
	failure := errs.As(err)
	release := core.PermitReleased{Outcome: core.OutcomeDone, FirstToken: time.Since(began)}
	switch {
	case failure == nil:
	case failure.Ran == errs.RanNo:
		release = core.PermitReleased{Outcome: core.OutcomeNotSent}
	default:
		release.Outcome = core.OutcomeFailed
		failure = failure.WithRan(errs.RanUnknown)
	}
	if failure != nil && failure.Code == errs.WrongAnswer {
		s.event(timeline.AnswerDiscarded, permit, c.org, failure.Message)
	}
	settled = true
	s.finish(permit, asked, release)
	return answer, failure
}

func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, c *serviceCall, r rpcapi.StoredResponse) {
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType(r.ContentType)
	ctx.SetBody(r.Body)
	s.record(timeline.Event{Kind: timeline.RequestFinished, Request: c.id, Organisation: c.org})
}

func stored(a target.ServiceAnswer) rpcapi.StoredResponse {
	return rpcapi.StoredResponse{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

func bodyHash(c *serviceCall) [32]byte { return sha256.Sum256(c.body) }
