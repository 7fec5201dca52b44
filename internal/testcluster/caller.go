package testcluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// Caller sends requests as a caller of an organisation does.
type Caller struct {
	Address string // ip:port of a VM
	Token   string // bearer credential
	Timeout time.Duration
}

// Answer is what a caller saw.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error returns the typed error of an answer, or an empty one.
func (a Answer) Error() (code, ran string) {
	var body struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	_ = json.Unmarshal(a.Body, &body) // an answer that is no error has no code
	return body.Error.Code, body.Error.Ran
}

// Text returns the generated text of a whole or streamed completion and whether
// the answer is complete.
func (a Answer) Text() (text string, complete bool) {
	if !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return completionText(a.Body), a.Status == http.StatusOK
	}
	var all strings.Builder
	for line := range strings.Lines(string(a.Body)) {
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !isData:
		case data == "[DONE]":
			return all.String(), true
		default:
			all.WriteString(completionText([]byte(data)))
		}
	}
	return all.String(), false
}

func completionText(data []byte) string {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Text
}

// Complete asks for a completion.
func (c Caller) Complete(adapter, prompt string, maxTokens int, stream bool) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": adapter, "prompt": prompt, "max_tokens": maxTokens, "stream": stream,
	})
	if err != nil {
		return Answer{}, errs.Wrap(err, errs.Internal, "encode completion")
	}
	return c.Post("/v1/completions", "", body)
}

// Post sends a JSON body. A key is sent as the idempotency key.
func (c Caller) Post(path, key string, body []byte) (Answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errs.Wrap(err, errs.Internal, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return c.do(request)
}

// Get asks for a path.
func (c Caller) Get(path string) (Answer, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.Address+path, nil)
	if err != nil {
		return Answer{}, errs.Wrap(err, errs.Internal, "build request")
	}
	return c.do(request)
}

func (c Caller) do(request *http.Request) (Answer, error) {
	request.Header.Set("Authorization", "Bearer "+c.Token)
	client := http.Client{Timeout: c.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, errs.Wrap(err, errs.Internal, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Header: response.Header, Body: body}
	if err != nil {
		return answer, errs.Wrap(err, errs.TruncatedAnswer, "read answer")
	}
	return answer, nil
}
