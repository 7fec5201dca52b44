package target

import (
	"context"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/httpfields"
	"cicadaslip/internal/model"
)

// ServiceCall describes one call to a plain service.
type ServiceCall struct {
	Request         model.RequestID
	Target          model.Target
	Organisation    string
	Kind            string
	IdempotencyKey  string // sent in a header if not empty
	ContentType     string
	Body            []byte
	ResponseTimeout time.Duration // from the end of the request to the end of the response
}

// ServiceAnswer is the response of a service. Status can be any HTTP status,
// because an error of the service is an answer too.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallService sends a call on a new connection. The error has Ran = not_run
// only if the connection was not established or nothing was written to it; in
// all other cases it is unknown whether the call ran.
//
// Errors: target_unavailable, wrong_answer.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	req := newRequest(fasthttp.MethodPost, call.Target.Address, "/call/"+url.PathEscape(call.Kind))
	req.Header.SetContentType(call.ContentType)
	req.Header.Set(headerRequestID, string(call.Request))
	req.Header.Set(headerOrganisation, call.Organisation)
	if call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	req.SetBodyRaw(call.Body)
	resp, failure := c.roundTrip(ctx, call.Target.Address, req, call.ResponseTimeout, c.cfg.MaxAnswerBytes)
	if failure != nil {
		return ServiceAnswer{}, failure
	}
	if id := string(call.Request); string(resp.Header.Peek(headerRequestID)) != id || !httpfields.HasOnly(resp.Header.PeekAll(headerRequestID), id) {
		c.stats.Discarded.Add(1)
		return ServiceAnswer{}, errs.New(errs.WrongAnswer, "service answered with another request ID").WithRan(errs.RanUnknown)
	}
	return ServiceAnswer{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: resp.Body()}, nil
}
