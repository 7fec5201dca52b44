package frontend

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/target"
	"cicadaslip/internal/timeline"
)

// handleCompletion answers a completion or a chat completion.
func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx, q *request, chat bool, held *hold) *errs.Error {
	if failure := s.applyHeaders(ctx, q, string(ctx.Request.Header.Peek(HeaderKind))); failure != nil {
		return failure
	}
	if q.kind.Application != "" {
		return invalid("kind is served by a service, not by an adapter")
	}
	if failure := s.readBody(ctx, q); failure != nil {
		return failure
	}
	release := sync.OnceFunc(q.release)
	defer func() {
		if !held.kept {
			release()
		}
	}()
	j, failure := s.newInference(q, chat)
	if failure != nil {
		return failure
	}
	s.record(timeline.Event{Kind: timeline.RequestArrived, Request: q.id, Organisation: q.org, Detail: j.adapter.String()})
	if j.stream {
		return s.streamed(ctx, j, held, release)
	}
	return s.whole(ctx, j)
}

// newInference validates the body against the configuration.
func (s *Server) newInference(q *request, chat bool) (*inference, *errs.Error) {
	parsed, failure := parseCompletion(q.body, chat, s.limits)
	if failure != nil {
		return nil, failure
	}
	if parsed.adapter.Organisation != q.org {
		return nil, errs.NotRun(errs.Forbidden, "adapter belongs to another organisation")
	}
	declared, found := q.cfg.Adapters[q.org+"/"+parsed.adapter.Adapter]
	if !found || !contains(declared.Versions, parsed.adapter.Version) {
		return nil, errs.NotRun(errs.NotFound, "adapter or version is not declared")
	}
	return &inference{request: q, completion: parsed, chat: chat, base: declared.BaseModel}, nil
}

func contains(list []string, value string) bool {
	for _, one := range list {
		if one == value {
			return true
		}
	}
	return false
}

// whole answers with the complete response or an error.
func (s *Server) whole(ctx *fasthttp.RequestCtx, j *inference) *errs.Error {
	work, cancel := context.WithDeadline(s.stop, j.deadline)
	defer cancel()
	go callerconn.Watch(work, ctx.Conn(), s.limits.GoneCheckPeriod, cancel)
	var text strings.Builder
	var last target.Chunk
	j.emit = func(c target.Chunk) error {
		text.WriteString(c.Text)
		last = c
		return nil
	}
	if failure := s.infer(work, j); failure != nil {
		return failure
	}
	body, err := json.Marshal(wholeAnswer(j, text.String(), last))
	if err != nil {
		return errs.Wrap(err, errs.Internal, "answer was not encoded").WithRan(errs.RanYes)
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBody(body)
	s.record(timeline.Event{Kind: timeline.RequestFinished, Request: j.id, Organisation: j.org})
	return nil
}

// streamed answers with server-sent events. The status is sent with the first
// chunk, so that a request that fails before gets a typed error response.
func (s *Server) streamed(ctx *fasthttp.RequestCtx, j *inference, held *hold, release func()) *errs.Error {
	work, cancel := context.WithDeadline(s.stop, j.deadline)
	pipe := newPipe(s.limits.CallerBuffer, &s.retained)
	j.emit = pipe.push
	conn := ctx.Conn()
	go callerconn.Watch(work, conn, s.limits.GoneCheckPeriod, cancel)
	s.spawn(func() {
		defer cancel()
		defer s.recovered(pipe.finish)
		pipe.finish(s.infer(work, j))
	})
	if failure := pipe.first(); failure != nil {
		pipe.close()
		return failure
	}
	held.kept = true
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeStream(w, conn, j, pipe, cancel, release) })
	return nil
}

// writeStream passes chunks on until the answer ends. A stream that fails ends
// with an error event and without the end mark.
func (s *Server) writeStream(w *bufio.Writer, conn net.Conn, j *inference, pipe *pipe, cancel context.CancelFunc, release func()) {
	defer s.inFlight.Add(-1)
	defer release()
	defer pipe.close()
	defer cancel()
	defer s.recovered(func(*errs.Error) { _ = conn.Close() })
	for {
		chunks, ended, failure := pipe.next()
		for _, c := range chunks {
			_, _ = w.Write(chunkEvent(j, c))
		}
		if ended && failure != nil {
			_, _, body := renderError(failure)
			_, _ = w.WriteString("event: error\ndata: " + string(body) + "\n\n")
		} else if ended {
			_, _ = w.WriteString("data: [DONE]\n\n")
		}
		if err := w.Flush(); err != nil || ended {
			s.streamEnded(j, failure, err)
			return
		}
	}
}

func (s *Server) streamEnded(j *inference, failure *errs.Error, err error) {
	detail := ""
	switch {
	case failure != nil:
		detail = string(failure.Code)
	case err != nil:
		detail = "caller is gone"
	}
	s.record(timeline.Event{Kind: timeline.RequestFinished, Request: j.id, Organisation: j.org, Detail: detail})
	s.log.Info().Str("request", string(j.id)).Str("organisation", j.org).Str("detail", detail).Msg("stream ended")
}
