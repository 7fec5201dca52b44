package frontend

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
)

const (
	contentTypeJSON  = "application/json"
	headerRetryAfter = "Retry-After"
	headerRequestID  = "X-Request-Id"
)

// errorBody is an error response in the OpenAI format, extended by the fields ran,
// retry_after_seconds and details.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string    `json:"message"`
	Type    string    `json:"type"`
	Code    errs.Code `json:"code"`
	Ran     errs.Ran  `json:"ran"`
	Retry   float64   `json:"retry_after_seconds,omitempty"`
	Details []string  `json:"details,omitempty"`
	Param   *string   `json:"param"`
}

const (
	errorTypeRequest = "invalid_request_error"
	errorTypeServer  = "server_error"
)

// renderError returns the HTTP status, the value of Retry-After in seconds (empty if
// there is no advice) and the body for an error. The body does not contain the cause
// of the error, because it can name internal addresses.
func renderError(e *errs.Error) (status int, retryAfter string, body []byte) {
	status = errs.HTTPStatus(e.Code)
	fields := errorFields{Message: e.Message, Type: errorTypeServer, Code: e.Code, Ran: e.Ran, Details: e.Details}
	if status < fasthttp.StatusInternalServerError {
		fields.Type = errorTypeRequest
	}
	if fields.Ran == errs.RanUnset {
		fields.Ran = errs.RanUnknown
	}
	if e.Retry > 0 {
		fields.Retry = e.Retry.Seconds()
		retryAfter = strconv.Itoa(int(math.Ceil(fields.Retry)))
	}
	body, err := json.Marshal(errorBody{Error: fields})
	if err != nil {
		body = []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return status, retryAfter, body
}

// writeError replaces the response by an error response.
func writeError(ctx *fasthttp.RequestCtx, e *errs.Error) {
	status, retryAfter, body := renderError(e)
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	if retryAfter != "" {
		ctx.Response.Header.Set(headerRetryAfter, retryAfter)
	}
	ctx.SetBody(body)
}

// rawErrorResponse returns a complete HTTP response for a connection that is refused
// before the HTTP server handles it.
func rawErrorResponse(status int, body []byte) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, fasthttp.StatusMessage(status), contentTypeJSON, len(body), body))
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeError(ctx, errs.Wrap(err, errs.Internal, "could not encode the response"))
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}
