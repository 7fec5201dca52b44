package target

import (
	"context"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
)

// Call is one attempt to have an answer generated.
type Call struct {
	Request model.RequestID
	Target  model.Target
	Adapter model.AdapterVersion
	Chat    bool   // chat completion instead of completion
	Body    []byte // JSON body for the runner, which asks for a stream
	Persist bool   // after the first token, silence is waited out until ctx ends
}

// Result describes an attempt, also a failed one.
type Result struct {
	Sent       bool // at least one byte of the request was written
	Started    bool // the target accepted the request
	Finished   bool // the final chunk arrived
	Tokens     int
	Usage      core.Usage
	FirstToken time.Duration // from dispatch, 0 if none
	TokenGap   time.Duration // smoothed time between tokens, 0 if unknown
	Resumes    int
}

// Sink takes verified chunks in order, each once. An error ends the attempt.
type Sink func(Chunk) error

// stream is the state of one attempt across its connections.
type stream struct {
	client    *Client
	call      Call
	sink      Sink
	result    Result
	began     time.Time
	lastRead  time.Time
	discards  int
	fruitless int  // connections in a row without a new token
	broken    int  // those of them that the target did not accept or ended
	accepted  bool // the target accepted the current connection
	bytes     int
	sinkErr   error
}

// Stream sends a call and passes its answer to sink until the final chunk. A
// silent or broken stream is resumed at its offset on a new connection.
//
// Errors: target_unavailable, target_refused, adapter_not_resident (not run),
// wrong_answer, truncated_answer, too_large, cancelled, timeout.
func (c *Client) Stream(ctx context.Context, call Call, sink Sink) (Result, error) {
	s := &stream{client: c, call: call, sink: sink, began: time.Now()}
	failure := s.dispatch(ctx)
	for failure != nil && s.resumable(ctx, failure) {
		if !pause.For(ctx, s.grown(c.cfg.ResumeDelay)) {
			break
		}
		failure = s.resume(ctx)
	}
	if failure == nil {
		return s.result, nil
	}
	return s.result, s.describe(ctx, failure)
}

// resumable reports whether a new connection may help.
func (s *stream) resumable(ctx context.Context, failure *errs.Error) bool {
	if ctx.Err() != nil || s.sinkErr != nil || !s.result.Sent {
		return false
	}
	switch failure.Code {
	case errs.Timeout, errs.TruncatedAnswer, errs.TargetUnavailable:
	default:
		return false
	}
	s.fruitless++
	if !s.accepted || failure.Code != errs.Timeout {
		s.broken++
	}
	if s.call.Persist && s.result.Tokens > 0 {
		return s.broken <= s.client.cfg.MaxResumes
	}
	return s.fruitless <= s.client.cfg.MaxResumes
}

// describe completes the error of an attempt with what is known of the run.
func (s *stream) describe(ctx context.Context, failure *errs.Error) error {
	switch {
	case s.sinkErr != nil:
		failure = errs.Wrap(s.sinkErr, errs.Cancelled, "answer is not wanted any more")
	case ctx.Err() == context.DeadlineExceeded:
		failure = errs.Wrap(ctx.Err(), errs.Timeout, "deadline passed before the answer was complete")
	case ctx.Err() != nil:
		failure = errs.Wrap(ctx.Err(), errs.Cancelled, "request was cancelled")
	}
	switch {
	case s.result.Started:
		return failure.WithRan(errs.RanYes)
	case !s.result.Sent || failure.Ran == errs.RanNo:
		return failure.WithRan(errs.RanNo)
	default:
		return failure.WithRan(errs.RanUnknown)
	}
}

// accept verifies one chunk and passes it on. It reports whether the chunk is
// final.
func (s *stream) accept(raw *rawChunk) (bool, *errs.Error) {
	if raw.ID != string(s.call.Request) || raw.Model != s.call.Adapter.String() {
		return false, s.discard()
	}
	chunk := raw.chunk()
	switch {
	case chunk.Offset < s.result.Tokens:
		s.client.stats.Duplicates.Add(1)
		return false, nil
	case chunk.Offset > s.result.Tokens:
		return false, errs.New(errs.TruncatedAnswer, "stream skipped tokens")
	case !chunk.Final() && chunk.Tokens == 0:
		return false, nil
	}
	if s.bytes += len(chunk.Text); s.bytes > s.client.cfg.MaxAnswerBytes {
		return false, errs.New(errs.TooLarge, "answer is over the limit")
	}
	s.note(chunk)
	if err := s.sink(chunk); err != nil {
		s.sinkErr = err
		return false, errs.As(err)
	}
	s.lastRead = time.Now() // the time in sink is not the target's
	return chunk.Final(), nil
}

func (s *stream) discard() *errs.Error {
	s.client.stats.Discarded.Add(1)
	if s.discards++; s.discards > s.client.cfg.MaxDiscards {
		return errs.New(errs.WrongAnswer, "target answers for another request, adapter or version")
	}
	return nil
}

// note updates the cadence and the usage.
func (s *stream) note(chunk Chunk) {
	now := time.Now()
	if chunk.Tokens > 0 {
		s.noteGap(now)
	}
	s.result.Tokens += chunk.Tokens
	s.result.Usage.GeneratedTokens = s.result.Tokens
	s.fruitless, s.broken = 0, 0
	if chunk.Final() {
		s.result.Finished = true
		s.result.Usage.PromptTokens = chunk.Usage.PromptTokens
	}
}

func (s *stream) noteGap(now time.Time) {
	switch gap := now.Sub(s.lastRead); {
	case s.result.Tokens == 0:
		s.result.FirstToken = now.Sub(s.began)
	case s.result.TokenGap == 0:
		s.result.TokenGap = gap
	default:
		s.result.TokenGap += time.Duration(smoothing * float64(gap-s.result.TokenGap))
	}
	s.lastRead = now
}

// silence returns how long the stream may be silent now.
func (s *stream) silence() time.Duration {
	cfg := &s.client.cfg
	if s.result.Tokens == 0 {
		return s.grown(cfg.FirstTokenWait)
	}
	return s.grown(max(cfg.MinSilence, time.Duration(cfg.SilenceFactor*float64(s.result.TokenGap))))
}

// grown doubles d with each connection without a token, up to a limit, because
// a straggler must not be flooded with resumptions.
func (s *stream) grown(d time.Duration) time.Duration {
	return d << min(s.fruitless, maxDoublings)
}
