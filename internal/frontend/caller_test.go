package frontend_test

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/runner"
)

// seen is what a caller saw of one response.
type seen struct {
	status   int
	text     string // of the answer
	finished bool   // whole, or a stream with its end mark
	failure  errs.Code
	ran      errs.Ran
	replayed bool
	retry    string
	raw      string
}

func (b *bench) call(method, path, body string, headers ...string) seen {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(b.base + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer zips")
	req.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return seen{raw: err.Error()}
	}
	s := read(string(resp.Body()))
	s.status, s.retry = resp.StatusCode(), string(resp.Header.Peek("Retry-After"))
	s.replayed = len(resp.Header.Peek("Idempotent-Replayed")) > 0
	return s
}

type callerBody struct {
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

func read(raw string) seen {
	s := seen{raw: raw}
	for _, line := range strings.Split(raw, "\n") {
		data := strings.TrimPrefix(line, "data: ")
		if data == "[DONE]" {
			s.finished = true
		}
		var body callerBody
		if json.Unmarshal([]byte(data), &body) != nil {
			continue
		}
		if body.Error != nil {
			s.failure, s.ran = body.Error.Code, body.Error.Ran
		}
		for _, c := range body.Choices {
			s.text += c.Text + c.Message.Content + c.Delta.Content
			s.finished = s.finished || (line == data && c.FinishReason != nil)
		}
	}
	return s
}

func completion(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"baltzips/quote@3","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream)
}

func right(prompt string, tokens int) string { return runner.Answer(quote.String(), prompt, tokens) }

func (b *bench) complete(prompt string, tokens int, stream bool, headers ...string) seen {
	return b.call("POST", "/v1/completions", completion(prompt, tokens, stream), headers...)
}

func (b *bench) repair(key, body string) seen {
	return b.call("POST", "/v1/services/repair", body, "Idempotency-Key", key)
}

func replaceBool(format, value string) string { return strings.Replace(format, "%t", value, 1) }
