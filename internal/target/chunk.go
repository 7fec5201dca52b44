package target

import (
	"bytes"
	"encoding/json"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// Chunk is one verified piece of an answer.
type Chunk struct {
	Offset       int        // number of tokens of the answer before this chunk
	Text         string     // empty in the final chunk
	Tokens       int        // number of tokens in Text
	FinishReason string     // why the answer ended; empty except in the final chunk
	Usage        core.Usage // zero if the chunk reports no usage
}

// Final reports whether the chunk is the last of the answer.
func (c Chunk) Final() bool { return c.FinishReason != "" }

// rawChunk is the JSON form of a chunk as a runner sends it.
type rawChunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Offset  *int   `json:"offset"`
	Choices []struct {
		Text  string `json:"text"`
		Delta *struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// parseLine parses one line of a stream of server-sent events. It returns nil
// without an error for a line that carries no chunk: a blank line, a comment, a
// field other than data, or the end marker.
func parseLine(line []byte) (*rawChunk, *errs.Error) {
	data, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
	data = bytes.TrimSpace(data)
	if !found || len(data) == 0 || bytes.Equal(data, doneMarker) {
		return nil, nil
	}
	var raw rawChunk
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, errs.Wrap(err, errs.InvalidMessage, "chunk is not valid JSON")
	}
	if raw.Offset == nil || *raw.Offset < 0 || len(raw.Choices) != 1 {
		return nil, errs.New(errs.InvalidMessage, "chunk has no valid offset or not exactly one choice")
	}
	if raw.Usage != nil && (raw.Usage.PromptTokens < 0 || raw.Usage.CompletionTokens < 0) {
		return nil, errs.New(errs.InvalidMessage, "chunk has a negative token count in its usage")
	}
	return &raw, nil
}

// toChunk converts the JSON form to a Chunk. A chunk with text counts as one
// token.
func (r *rawChunk) toChunk() Chunk {
	choice := r.Choices[0]
	c := Chunk{Offset: *r.Offset, Text: choice.Text}
	if choice.Delta != nil {
		c.Text = choice.Delta.Content
	}
	if choice.FinishReason != nil {
		c.FinishReason = *choice.FinishReason
	}
	if c.Text != "" {
		c.Tokens = 1
	}
	if r.Usage != nil {
		c.Usage = core.Usage{PromptTokens: r.Usage.PromptTokens, GeneratedTokens: r.Usage.CompletionTokens}
	}
	return c
}
