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
)

// dispatch sends the request and reads its stream.
func (s *stream) dispatch(ctx context.Context) *errs.Error {
	path := "/v1/completions"
	if s.call.Chat {
		path = "/v1/chat/completions"
	}
	req := newRequest(fasthttp.MethodPost, s.call.Target.Address, path)
	req.Header.SetContentType(contentTypeJSON)
	req.Header.Set(headerRequestID, string(s.call.Request))
	req.SetBodyRaw(s.call.Body)
	return s.connect(ctx, req)
}

// resume continues the stream at its offset on a new connection.
func (s *stream) resume(ctx context.Context) *errs.Error {
	form := "text"
	if s.call.Chat {
		form = "chat"
	}
	path := "/v1/streams/" + url.PathEscape(string(s.call.Request)) +
		"?offset=" + strconv.Itoa(s.result.Tokens) + "&form=" + form
	s.result.Resumes++
	failure := s.connect(ctx, newRequest(fasthttp.MethodGet, s.call.Target.Address, path))
	if failure == nil {
		return nil
	}
	// A resumption that was not sent says nothing about the request itself.
	return failure.WithRan(errs.RanUnknown)
}

// connect performs one request on a new connection and reads its stream.
func (s *stream) connect(ctx context.Context, req *fasthttp.Request) *errs.Error {
	s.accepted = false
	l, failure := s.client.open(ctx, s.call.Target.Address)
	if failure != nil {
		return failure
	}
	defer l.close()
	failure = s.client.send(l, req)
	s.result.Sent = s.result.Sent || l.sent()
	if failure != nil {
		return failure
	}
	l.allow(s.client.cfg.HeaderTimeout)
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.Read(l.reader); err != nil {
		return s.lost(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return s.refusal(l, resp)
	}
	s.result.Started, s.accepted = true, true
	if s.result.Resumes > 0 {
		s.client.stats.Resumed.Add(1)
	}
	return s.read(l, resp.BodyStream())
}

// read reads chunks until the final one.
func (s *stream) read(l *link, body io.Reader) *errs.Error {
	lines := bufio.NewReaderSize(body, maxChunkBytes)
	s.lastRead = time.Now()
	l.allow(s.silence())
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return s.lost(err)
		}
		raw, failure := parseLine(line)
		if failure != nil {
			s.client.stats.Broken.Add(1)
			return errs.Wrap(failure, errs.TruncatedAnswer, "stream is malformed")
		}
		if raw == nil {
			continue
		}
		tokens := s.result.Tokens
		final, failure := s.accept(raw)
		if failure != nil || final {
			return failure
		}
		if s.result.Tokens > tokens {
			l.allow(s.silence())
		}
	}
}

// lost classifies the end of a connection without the final chunk.
func (s *stream) lost(err error) *errs.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.client.stats.Silent.Add(1)
		return errs.Wrap(err, errs.Timeout, "target fell silent")
	}
	s.client.stats.Broken.Add(1)
	return errs.Wrap(err, errs.TruncatedAnswer, "stream ended without its final chunk")
}

// refusal reads the error of a target that did not accept a request.
func (s *stream) refusal(l *link, resp *fasthttp.Response) *errs.Error {
	l.allow(s.client.cfg.HeaderTimeout)
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxRefusalBytes))
	if err != nil {
		return s.lost(err)
	}
	return refused(resp.StatusCode(), body)
}

// refused converts the error response of a target. Only the target's own
// typed statement counts as not run.
func refused(status int, body []byte) *errs.Error {
	var wrapper struct{ Error *errs.Error }
	message := "target refused with status " + strconv.Itoa(status)
	if err := json.Unmarshal(body, &wrapper); err != nil || wrapper.Error == nil {
		return errs.New(errs.TargetRefused, message).WithRan(errs.RanUnknown)
	}
	e := errs.New(errs.TargetRefused, message).WithDetails(string(wrapper.Error.Code), wrapper.Error.Message)
	if wrapper.Error.Code == errs.AdapterNotResident {
		e.Code = errs.AdapterNotResident
	}
	e.Ran = errs.RanUnknown
	if wrapper.Error.Ran == errs.RanNo {
		e.Ran = errs.RanNo
	}
	return e
}
