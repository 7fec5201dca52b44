package target

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
)

// dispatch sends the request for the first time and reads its stream.
func (s *stream) dispatch(ctx context.Context) *errs.Error {
	path := "/v1/completions"
	if s.call.Chat {
		path = "/v1/chat/completions"
	}
	req := newRequest(fasthttp.MethodPost, s.call.Target.Address, path)
	req.Header.SetContentType(contentTypeJSON)
	req.Header.Set(headerRequestID, string(s.call.Request))
	req.SetBodyRaw(s.call.Body)
	return s.requestStream(ctx, req)
}

// resume requests the rest of the stream, from the number of tokens received so
// far, on a new connection.
func (s *stream) resume(ctx context.Context) *errs.Error {
	form := "text"
	if s.call.Chat {
		form = "chat"
	}
	path := "/v1/streams/" + url.PathEscape(string(s.call.Request)) +
		"?offset=" + strconv.Itoa(s.result.Tokens) + "&form=" + form
	s.result.Resumes++
	failure := s.requestStream(ctx, newRequest(fasthttp.MethodGet, s.call.Target.Address, path))
	if failure == nil {
		return nil
	}
	// Whether the resumption was sent does not show whether the request ran.
	return failure.WithRan(errs.RanUnknown)
}

// requestStream sends req on a new connection and reads the stream of the
// response.
func (s *stream) requestStream(ctx context.Context, req *fasthttp.Request) *errs.Error {
	conn, failure := s.client.dial(ctx, s.call.Target.Address)
	if failure != nil {
		return failure
	}
	defer conn.close()
	failure = s.client.send(conn, req)
	s.result.Sent = s.result.Sent || conn.sent()
	if failure != nil {
		return failure
	}
	conn.setTimeout(s.client.cfg.HeaderTimeout)
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.Read(conn.reader); err != nil {
		return s.readError(err)
	}
	// Targets need not echo the ID of a request.
	if sent := req.Header.Peek(headerRequestID); len(sent) > 0 && !httpfields.HasOnly(resp.Header.PeekAll(headerRequestID), string(sent)) {
		s.client.stats.Discarded.Add(1)
		return errs.New(errs.WrongAnswer, "target answered with another request ID").WithRan(errs.RanUnknown)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return s.readRefusal(conn, resp)
	}
	s.result.Accepted = true
	if s.result.Resumes > 0 {
		s.client.stats.Resumptions.Add(1)
	}
	return s.readChunks(conn, resp.BodyStream())
}

// readChunks reads chunks up to the final one. Only new tokens extend the idle
// timeout.
func (s *stream) readChunks(conn *trackedConn, body io.Reader) *errs.Error {
	reader := bufio.NewReaderSize(body, maxChunkBytes)
	s.gapStartedAt = time.Now()
	conn.setTimeout(s.idleTimeout())
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return s.readError(err)
		}
		raw, failure := parseLine(line)
		if failure != nil {
			s.client.stats.BrokenStreams.Add(1)
			return errs.Wrap(failure, errs.TruncatedAnswer, "stream contains a malformed chunk")
		}
		if raw == nil {
			continue
		}
		tokensBefore := s.result.Tokens
		final, failure := s.acceptChunk(raw)
		if failure != nil || final {
			return failure
		}
		if s.result.Tokens > tokensBefore {
			conn.setTimeout(s.idleTimeout())
		}
	}
}

// readError counts and classifies an error that ended reading before the final
// chunk arrived.
func (s *stream) readError(err error) *errs.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) {
		s.client.stats.ReadTimeouts.Add(1)
		return errs.Wrap(err, errs.Timeout, "no data from the target within the read timeout")
	}
	s.client.stats.BrokenStreams.Add(1)
	return errs.Wrap(err, errs.TruncatedAnswer, "stream ended without its final chunk")
}

// readRefusal reads the error response of a target that did not accept a request.
func (s *stream) readRefusal(conn *trackedConn, resp *fasthttp.Response) *errs.Error {
	conn.setTimeout(s.client.cfg.HeaderTimeout)
	var body []byte
	if stream := resp.BodyStream(); stream != nil { // nil if the status allows no body
		var err error
		if body, err = io.ReadAll(io.LimitReader(stream, maxControlResponseBytes)); err != nil {
			return s.readError(err)
		}
	}
	return refusalError(resp.StatusCode(), body)
}

// refusalError converts the error response of a target. The error has Ran =
// not_run only if the target states so in a typed error; otherwise it is unknown
// whether the request ran.
func refusalError(status int, body []byte) *errs.Error {
	var envelope struct{ Error *errs.Error }
	message := "target refused the request with status " + strconv.Itoa(status)
	if err := json.Unmarshal(body, &envelope); err != nil || envelope.Error == nil {
		return errs.New(errs.TargetRefused, message).WithRan(errs.RanUnknown)
	}
	e := errs.New(errs.TargetRefused, message).WithDetails(string(envelope.Error.Code), envelope.Error.Message)
	if envelope.Error.Code == errs.AdapterNotResident {
		e.Code = errs.AdapterNotResident
	}
	e.Ran = errs.RanUnknown
	if envelope.Error.Ran == errs.RanNo {
		e.Ran = errs.RanNo
	}
	return e
}
