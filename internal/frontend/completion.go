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

// handleCompletion serves a completion or chat completion request.
func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx, req *request, chat bool, guard *inFlightGuard) *errs.Error {
	if failure := s.applyHeaders(ctx, req, string(ctx.Request.Header.Peek(HeaderKind))); failure != nil {
		return failure
	}
	if req.kind.Application != "" {
		return invalid("kind is served by a service, not by an adapter")
	}
	if failure := s.readBody(ctx, req); failure != nil {
		return failure
	}
	releaseBody := sync.OnceFunc(req.releaseBody)
	defer func() {
		if !guard.transferred {
			releaseBody()
		}
	}()
	inference, failure := s.newInferenceRequest(req, chat)
	if failure != nil {
		return failure
	}
	s.recordEvent(timeline.Event{Kind: timeline.RequestArrived, Request: req.id, Organisation: req.org, Detail: inference.adapter.String()})
	if inference.stream {
		return s.respondAsStream(ctx, inference, guard, releaseBody)
	}
	return s.respondInFull(ctx, inference)
}

// newInferenceRequest parses the body and checks it against the configuration. The
// adapter must belong to the caller's organisation and declare the version.
func (s *Server) newInferenceRequest(req *request, chat bool) (*inferenceRequest, *errs.Error) {
	parsed, failure := parseCompletion(req.body, chat, s.limits)
	if failure != nil {
		return nil, failure
	}
	if parsed.adapter.Organisation != req.org {
		return nil, errs.NotRun(errs.Forbidden, "adapter belongs to another organisation")
	}
	declared, found := req.cfg.Adapters[req.org+"/"+parsed.adapter.Adapter]
	if !found || !hasVersion(declared.Versions, parsed.adapter.Version) {
		return nil, errs.NotRun(errs.NotFound, "adapter or version is not declared")
	}
	return &inferenceRequest{request: req, completionParams: parsed, chat: chat, baseModel: declared.BaseModel}, nil
}

func hasVersion(versions []string, version string) bool {
	for _, candidate := range versions {
		if candidate == version {
			return true
		}
	}
	return false
}

// respondInFull runs a request that does not stream and writes the complete
// response. It cancels the request when the caller disconnects.
func (s *Server) respondInFull(ctx *fasthttp.RequestCtx, req *inferenceRequest) *errs.Error {
	workCtx, cancel := context.WithDeadline(s.baseContext, req.deadline)
	defer cancel()
	go callerconn.Watch(workCtx, ctx.Conn(), s.limits.DisconnectCheckInterval, cancel)
	var text strings.Builder
	var last target.Chunk
	req.deliver = func(chunk target.Chunk) error {
		text.WriteString(chunk.Text)
		last = chunk
		return nil
	}
	if failure := s.runInference(workCtx, req); failure != nil {
		return failure
	}
	body, err := json.Marshal(fullResponse(req, text.String(), last))
	if err != nil {
		return errs.Wrap(err, errs.Internal, "could not encode the completion response").WithRan(errs.RanYes)
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
	s.recordEvent(timeline.Event{Kind: timeline.RequestFinished, Request: req.id, Organisation: req.org})
	return nil
}

// respondAsStream runs a request and sends its answer as server-sent events. It
// sends the status with the first chunk, so that a request that fails earlier gets
// a typed error response.
func (s *Server) respondAsStream(ctx *fasthttp.RequestCtx, req *inferenceRequest, guard *inFlightGuard, releaseBody func()) *errs.Error {
	workCtx, cancel := context.WithDeadline(s.baseContext, req.deadline)
	pipe := newPipe(s.limits.CallerBufferBytes, &s.retainedBytes)
	req.deliver = pipe.push
	conn := ctx.Conn()
	go callerconn.Watch(workCtx, conn, s.limits.DisconnectCheckInterval, cancel)
	s.runInBackground(func() {
		defer cancel()
		defer s.recoverPanic(pipe.finish)
		pipe.finish(s.runInference(workCtx, req))
	})
	if failure := pipe.waitForFirst(); failure != nil {
		pipe.close()
		return failure
	}
	guard.transferred = true
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeStream(w, conn, req, pipe, cancel, releaseBody) })
	return nil
}

// writeStream writes chunks to the caller until the answer ends. A stream that
// fails ends with an error event instead of the end marker [DONE].
func (s *Server) writeStream(w *bufio.Writer, conn net.Conn, req *inferenceRequest, pipe *pipe, cancel context.CancelFunc, releaseBody func()) {
	defer s.inFlight.Add(-1)
	defer releaseBody()
	defer pipe.close()
	defer cancel()
	defer s.recoverPanic(func(*errs.Error) { _ = conn.Close() })
	for {
		chunks, ended, failure := pipe.next()
		for _, chunk := range chunks {
			_, _ = w.Write(chunkEvent(req, chunk))
		}
		if ended && failure != nil {
			_, _, body := renderError(failure)
			_, _ = w.WriteString("event: error\ndata: " + string(body) + "\n\n")
		} else if ended {
			_, _ = w.WriteString("data: [DONE]\n\n")
		}
		if err := w.Flush(); err != nil || ended {
			s.recordStreamEnd(req, failure, err)
			return
		}
	}
}

// recordStreamEnd records and logs the end of a stream. failure is the error of the
// request, and err the error of writing to the caller.
func (s *Server) recordStreamEnd(req *inferenceRequest, failure *errs.Error, err error) {
	detail := ""
	switch {
	case failure != nil:
		detail = string(failure.Code)
	case err != nil:
		detail = "caller is gone"
	}
	s.recordEvent(timeline.Event{Kind: timeline.RequestFinished, Request: req.id, Organisation: req.org, Detail: detail})
	s.log.Info().Str("request", string(req.id)).Str("organisation", req.org).Str("detail", detail).Msg("stream ended")
}
