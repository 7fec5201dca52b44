package target

import (
	"bytes"
	"encoding/json"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// Chunk is one verified piece of an answer.
type Chunk struct {
	Offset int    // tokens of the answer before this chunk
	Text   string // empty in the final chunk
	Tokens int
	Finish string // reason of the end; empty except in the final chunk
	Usage  core.Usage
}

// Final reports whether the chunk ends the answer.
func (c Chunk) Final() bool { return c.Finish != "" }

// rawChunk is a chunk as the runner sends it.
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
	doneMark   = []byte("[DONE]")
)

// parseLine parses one line of a stream. It returns nil without an error for
// lines that carry no chunk: blank lines, comments, other fields, the end mark.
func parseLine(line []byte) (*rawChunk, *errs.Error) {
	data, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
	data = bytes.TrimSpace(data)
	if !found || len(data) == 0 || bytes.Equal(data, doneMark) {
		return nil, nil
	}
	var raw rawChunk
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, errs.Wrap(err, errs.InvalidMessage, "chunk is not valid JSON")
	}
	if raw.Offset == nil || *raw.Offset < 0 || len(raw.Choices) != 1 {
		return nil, errs.New(errs.InvalidMessage, "chunk lacks its offset or its only choice")
	}
	if raw.Usage != nil && (raw.Usage.PromptTokens < 0 || raw.Usage.CompletionTokens < 0) {
		return nil, errs.New(errs.InvalidMessage, "chunk has negative usage")
	}
	return &raw, nil
}

// chunk converts a raw chunk. A chunk with text carries one token.
func (r *rawChunk) chunk() Chunk {
	choice := r.Choices[0]
	c := Chunk{Offset: *r.Offset, Text: choice.Text}
	if choice.Delta != nil {
		c.Text = choice.Delta.Content
	}
	if choice.FinishReason != nil {
		c.Finish = *choice.FinishReason
	}
	if c.Text != "" {
		c.Tokens = 1
	}
	if r.Usage != nil {
		c.Usage = core.Usage{PromptTokens: r.Usage.PromptTokens, GeneratedTokens: r.Usage.CompletionTokens}
	}
	return c
}
