package frontend_test

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/runner"
)

// callerResponse is one response as its caller receives it.
type callerResponse struct {
	status   int
	text     string // generated text of all chunks
	finished bool   // complete response, or a stream with its end marker
	failure  errs.Code
	ran      errs.Ran
	replayed bool
	retry    string
	raw      string
}

// sendRequest sends an authenticated request. headers alternates names and values.
func (f *fixture) sendRequest(method, path, body string, headers ...string) callerResponse {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(f.baseURL + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer zips")
	req.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return callerResponse{raw: err.Error()}
	}
	response := parseResponse(string(resp.Body()))
	response.status, response.retry = resp.StatusCode(), string(resp.Header.Peek("Retry-After"))
	response.replayed = len(resp.Header.Peek("Idempotent-Replayed")) > 0
	return response
}

// responseBody holds the fields of a response or a stream event that tests check.
type responseBody struct {
	Choices []struct {
		Text         string
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Error *struct {
		Code    errs.Code
		Message string
		Ran     errs.Ran
	}
}

// parseResponse parses the body of a complete response or of a stream.
func parseResponse(raw string) callerResponse {
	response := callerResponse{raw: raw}
	for _, line := range strings.Split(raw, "\n") {
		data := strings.TrimPrefix(line, "data: ")
		if data == "[DONE]" {
			response.finished = true
		}
		var body responseBody
		if json.Unmarshal([]byte(data), &body) != nil {
			continue
		}
		if body.Error != nil {
			response.failure, response.ran = body.Error.Code, body.Error.Ran
		}
		for _, c := range body.Choices {
			response.text += c.Text + c.Message.Content + c.Delta.Content
			response.finished = response.finished || (line == data && c.FinishReason != nil)
		}
	}
	return response
}

func completionBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"baltzips/quote@3","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream)
}

// expectedAnswer returns the answer that a runner without faults generates.
func expectedAnswer(prompt string, tokens int) string {
	return runner.Answer(quoteAdapter.String(), prompt, tokens)
}

func (f *fixture) postCompletion(prompt string, tokens int, stream bool, headers ...string) callerResponse {
	return f.sendRequest("POST", "/v1/completions", completionBody(prompt, tokens, stream), headers...)
}

// callRepair calls the at-most-once service kind repair.
func (f *fixture) callRepair(key, body string) callerResponse {
	return f.sendRequest("POST", "/v1/services/repair", body, "Idempotency-Key", key)
}

func replaceBool(format, value string) string { return strings.Replace(format, "%t", value, 1) }
