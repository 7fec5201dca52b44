package frontend

import (
	"context"
	"strings"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// outcomeBody is the response to a query for the outcome of an at-most-once call.
type outcomeBody struct {
	Kind     string            `json:"kind"`
	Key      string            `json:"key"`
	State    rpcapi.ClaimState `json:"state"` // running, finished, unknown or absent
	Response *outcomeResponse  `json:"response,omitempty"`
}

// outcomeResponse is the stored response of a finished call.
type outcomeResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        string `json:"body"`                  // body, if it is valid UTF-8
	Base64      []byte `json:"body_base64,omitempty"` // body, if it is not valid UTF-8
	Truncated   bool   `json:"truncated"`             // the body was too large to be stored
}

// handleOutcome serves GET /v1/outcomes/{kind}/{key}.
func (s *Server) handleOutcome(ctx *fasthttp.RequestCtx, req *request, kindAndKey string) *errs.Error {
	kind, key, _ := strings.Cut(kindAndKey, "/")
	if failure := s.applyHeaders(ctx, req, kind); failure != nil {
		return failure
	}
	if !req.kind.AtMostOnce {
		return errs.NotRun(errs.NotFound, "kind is not at-most-once, so its outcomes are not stored")
	}
	key, failure := parseKey(key)
	if failure != nil {
		return failure
	}
	lookupCtx, cancel := context.WithTimeout(s.baseContext, s.limits.ClaimTimeout)
	defer cancel()
	reply, err := s.opt.Claims.Lookup(lookupCtx, rpcapi.LookupRequest{Key: rpcapi.ClaimKey{Organisation: req.org, Kind: kind, Key: key}})
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
