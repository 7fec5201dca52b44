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
	contentJSON      = "application/json"
	headerRetryAfter = "Retry-After"
	headerRequestID  = "X-Request-Id"
)

// errorBody is the OpenAI error form with the field ran added.
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
	typeRequest = "invalid_request_error"
	typeServer  = "server_error"
)

// renderError returns status, Retry-After in seconds (empty: no advice) and
// body. Causes are not shown, because they can name internal addresses.
func renderError(e *errs.Error) (status int, retry string, body []byte) {
	status = errs.HTTPStatus(e.Code)
	fields := errorFields{Message: e.Message, Type: typeServer, Code: e.Code, Ran: e.Ran, Details: e.Details}
	if status < fasthttp.StatusInternalServerError {
		fields.Type = typeRequest
	}
	if fields.Ran == errs.RanUnset {
		fields.Ran = errs.RanUnknown
	}
	if e.Retry > 0 {
		fields.Retry = e.Retry.Seconds()
		retry = strconv.Itoa(int(math.Ceil(fields.Retry)))
	}
	body, err := json.Marshal(errorBody{Error: fields})
	if err != nil {
		body = []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return status, retry, body
}

func writeError(ctx *fasthttp.RequestCtx, e *errs.Error) {
	status, retry, body := renderError(e)
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	if retry != "" {
		ctx.Response.Header.Set(headerRetryAfter, retry)
	}
	ctx.SetBody(body)
}

func plainResponse(status int, body []byte) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, fasthttp.StatusMessage(status), contentJSON, len(body), body))
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeError(ctx, errs.Wrap(err, errs.Internal, "response was not encoded"))
		return
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBody(body)
}
