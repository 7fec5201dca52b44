package runner

import (
	"encoding/json"
	"strings"
)

// CompletionRequest is the body of a completion or a chat completion.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Priority  int       `json:"priority,omitempty"` // 0 is the most urgent
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText returns the text that the answer depends on.
func (c CompletionRequest) PromptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// chunk is a whole answer or one chunk of a stream. Offset counts the tokens
// of the answer before this chunk.
type chunk struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Offset  int        `json:"offset"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}
