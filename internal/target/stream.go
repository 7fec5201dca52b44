package target

import (
	"context"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
)

// Call describes one attempt to get an answer from a runner.
type Call struct {
	Request      model.RequestID
	Target       model.Target
	Adapter      model.AdapterVersion
	Chat         bool   // request a chat completion instead of a completion
	Body         []byte // JSON body for the runner, which must request a stream
	KeepResuming bool   // after the first token, resume an idle stream until ctx ends, regardless of Config.MaxResumes
}

// Result describes a finished attempt, successful or not.
type Result struct {
	Sent       bool // at least one byte of the request was written
	Accepted   bool // the target accepted the request
	Finished   bool // the final chunk arrived
	Tokens     int  // number of tokens received and verified
	Usage      core.Usage
	FirstToken time.Duration // from the start of the attempt to the first token, 0 if there was none
	TokenGap   time.Duration // moving average of the time between tokens, 0 if unknown
	Resumes    int           // number of resumptions tried
}

// Sink receives verified chunks in order, each exactly once. If it returns an
// error, the attempt ends.
type Sink func(Chunk) error

// stream is the state of one attempt across its connections.
type stream struct {
	client          *Client
	call            Call
	sink            Sink
	result          Result
	startedAt       time.Time // start of the attempt
	gapStartedAt    time.Time // start of the current gap between tokens
	discardedChunks int
	tokenlessConns  int   // failed connections in a row since the last new token
	brokenConns     int   // those of tokenlessConns that failed other than by the silence of the target
	answerBytes     int   // length of the text received so far
	sinkErr         error // error with which sink ended the attempt
}

// Stream sends a call and passes its answer to sink up to the final chunk. An
// idle or broken stream is resumed at its offset on a new connection.
//
// Errors: target_unavailable, target_refused, adapter_not_resident (not run),
// wrong_answer, truncated_answer, too_large, cancelled, timeout.
func (c *Client) Stream(ctx context.Context, call Call, sink Sink) (Result, error) {
	s := &stream{client: c, call: call, sink: sink, startedAt: time.Now()}
	failure := s.dispatch(ctx)
	for failure != nil && s.shouldResume(ctx, failure) {
		if !pause.For(ctx, s.withBackoff(c.cfg.ResumeDelay)) {
			break
		}
		failure = s.resume(ctx)
	}
	if failure == nil {
		return s.result, nil
	}
	return s.result, s.finalError(ctx, failure)
}

// shouldResume counts a failed connection and reports whether the stream is to be
// resumed on a new one.
func (s *stream) shouldResume(ctx context.Context, failure *errs.Error) bool {
	if ctx.Err() != nil || s.sinkErr != nil || !s.result.Sent {
		return false
	}
	switch failure.Code {
	case errs.Timeout, errs.TruncatedAnswer, errs.TargetUnavailable:
	default:
		return false
	}
	s.tokenlessConns++
	if failure.Code != errs.Timeout {
		s.brokenConns++
	}
	if s.call.KeepResuming && s.result.Tokens > 0 {
		return s.brokenConns <= s.client.cfg.MaxResumes
	}
	return s.tokenlessConns <= s.client.cfg.MaxResumes
}

// finalError returns the error of a failed attempt. If the sink or ctx ended the
// attempt, it replaces failure. Ran says whether the request ran on the target.
func (s *stream) finalError(ctx context.Context, failure *errs.Error) error {
	switch {
	case s.sinkErr != nil:
		failure = errs.Wrap(s.sinkErr, errs.Cancelled, "receiver of the answer ended the attempt")
	case ctx.Err() == context.DeadlineExceeded:
		failure = errs.Wrap(ctx.Err(), errs.Timeout, "deadline passed before the answer was complete")
	case ctx.Err() != nil:
		failure = errs.Wrap(ctx.Err(), errs.Cancelled, "request was cancelled")
	}
	switch {
	case s.result.Accepted:
		return failure.WithRan(errs.RanYes)
	case !s.result.Sent || failure.Ran == errs.RanNo:
		return failure.WithRan(errs.RanNo)
	default:
		return failure.WithRan(errs.RanUnknown)
	}
}

// acceptChunk verifies a chunk and passes it to the sink. It reports whether the
// chunk was the final one.
func (s *stream) acceptChunk(raw *rawChunk) (bool, *errs.Error) {
	if raw.ID != string(s.call.Request) || raw.Model != s.call.Adapter.String() {
		return false, s.discardChunk()
	}
	chunk := raw.toChunk()
	switch {
	case chunk.Offset < s.result.Tokens:
		s.client.stats.DuplicateChunks.Add(1)
		return false, nil
	case chunk.Offset > s.result.Tokens:
		return false, errs.New(errs.TruncatedAnswer, "chunk offset is beyond the tokens received so far")
	case !chunk.Final() && chunk.Tokens == 0:
		return false, nil
	}
	if s.answerBytes += len(chunk.Text); s.answerBytes > s.client.cfg.MaxAnswerBytes {
		return false, errs.New(errs.TooLarge, "answer exceeds the size limit")
	}
	s.recordChunk(chunk)
	if err := s.sink(chunk); err != nil {
		s.sinkErr = err
		return false, errs.As(err)
	}
	s.gapStartedAt = time.Now() // the time spent in sink is not part of the token gap
	return chunk.Final(), nil
}

// discardChunk counts a chunk that names another request, adapter or version. It
// returns an error once the stream has more of them than the limit.
func (s *stream) discardChunk() *errs.Error {
	s.client.stats.Discarded.Add(1)
	if s.discardedChunks++; s.discardedChunks > s.client.cfg.MaxDiscardedChunks {
		return errs.New(errs.WrongAnswer, "too many chunks name another request, adapter or version")
	}
	return nil
}

// recordChunk adds a verified chunk to the result and resets the counts of failed
// connections.
func (s *stream) recordChunk(chunk Chunk) {
	now := time.Now()
	if chunk.Tokens > 0 {
		s.recordTokenTime(now)
	}
	s.result.Tokens += chunk.Tokens
	s.result.Usage.GeneratedTokens = s.result.Tokens
	s.tokenlessConns, s.brokenConns = 0, 0
	if chunk.Final() {
		s.result.Finished = true
		s.result.Usage.PromptTokens = chunk.Usage.PromptTokens
	}
}

// recordTokenTime updates the time to the first token or the mean token gap.
func (s *stream) recordTokenTime(now time.Time) {
	switch gap := now.Sub(s.gapStartedAt); {
	case s.result.Tokens == 0:
		s.result.FirstToken = now.Sub(s.startedAt)
	case s.result.TokenGap == 0:
		s.result.TokenGap = gap
	default:
		s.result.TokenGap += time.Duration(tokenGapSmoothing * float64(gap-s.result.TokenGap))
	}
	s.gapStartedAt = now
}

// idleTimeout returns how long the stream may go without a new token.
func (s *stream) idleTimeout() time.Duration {
	cfg := &s.client.cfg
	if s.result.Tokens == 0 {
		return s.withBackoff(cfg.FirstTokenTimeout)
	}
	return s.withBackoff(max(cfg.MinIdleTimeout, time.Duration(cfg.IdleTimeoutFactor*float64(s.result.TokenGap))))
}

// withBackoff doubles d for each failed connection since the last new token, at
// most maxBackoffDoublings times, so that a slow target is not flooded with
// resumptions.
func (s *stream) withBackoff(d time.Duration) time.Duration {
	return d << min(s.tokenlessConns, maxBackoffDoublings)
}
