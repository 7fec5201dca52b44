package frontend

import (
	"context"
	"strings"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// outcomeBody is the answer to a query of an at-most-once call.
type outcomeBody struct {
	Kind     string            `json:"kind"`
	Key      string            `json:"key"`
	State    rpcapi.ClaimState `json:"state"` // running, finished, unknown or absent
	Response *outcomeResponse  `json:"response,omitempty"`
}

type outcomeResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        string `json:"body"`                  // if it is UTF-8 text
	Base64      []byte `json:"body_base64,omitempty"` // else
	Truncated   bool   `json:"truncated"`             // the response was too large to be kept
}

// handleOutcome answers GET /v1/outcomes/{kind}/{key}.
func (s *Server) handleOutcome(ctx *fasthttp.RequestCtx, q *request, rest string) *errs.Error {
	kind, key, _ := strings.Cut(rest, "/")
	if failure := s.applyHeaders(ctx, q, kind); failure != nil {
		return failure
	}
	if !q.kind.AtMostOnce {
		return errs.NotRun(errs.NotFound, "kind has no outcomes")
	}
	key, failure := parseKey(key)
	if failure != nil {
		return failure
	}
	wait, cancel := context.WithTimeout(s.stop, s.limits.ClaimTimeout)
	defer cancel()
	reply, err := s.opt.Claims.Lookup(wait, rpcapi.LookupRequest{Key: rpcapi.ClaimKey{Organisation: q.org, Kind: kind, Key: key}})
	if failure = errs.As(err); failure == nil {
		failure = reply.Err
	}
	if failure != nil {
		return failure.WithRan(errs.RanUnknown)
	}
	writeJSON(ctx, outcomeOf(kind, key, reply))
	return nil
}

func outcomeOf(kind, key string, reply rpcapi.ClaimReply) outcomeBody {
	body := outcomeBody{Kind: kind, Key: key, State: reply.State}
	if reply.State != rpcapi.ClaimFinished {
		return body
	}
	r := reply.Response
	body.Response = &outcomeResponse{Status: r.Status, ContentType: r.ContentType, Truncated: r.Truncated}
	if utf8.Valid(r.Body) {
		body.Response.Body = string(r.Body)
	} else {
		body.Response.Base64 = r.Body
	}
	return body
}
