package frontend

import (
	"encoding/json"

	"cicadaslip/internal/target"
)

const roleAssistant = "assistant"

// completionResponse is the JSON body of a completion, a chat completion or one
// chunk of a stream, in the OpenAI format.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Offset  *int             `json:"offset,omitempty"` // tokens that precede the chunk; set in streams only
	Choices []responseChoice `json:"choices"`
	Usage   *responseUsage   `json:"usage,omitempty"`
}

// responseChoice holds the generated text: Text for completions, Message for
// chat completions and Delta for chunks of chat streams.
type responseChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type responseUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newResponse(req *inferenceRequest, object string) completionResponse {
	return completionResponse{ID: string(req.id), Object: object, Created: req.arrivedAt.Unix(), Model: req.adapter.String()}
}

// usageOf returns the token counts that the last chunk of an answer reports.
func usageOf(last target.Chunk) *responseUsage {
	generated := last.Usage.GeneratedTokens
	return &responseUsage{PromptTokens: last.Usage.PromptTokens, CompletionTokens: generated, TotalTokens: last.Usage.PromptTokens + generated}
}

// fullResponse returns the response body for a request that does not stream.
func fullResponse(req *inferenceRequest, text string, last target.Chunk) completionResponse {
	finish := last.FinishReason
	if req.chat {
		body := newResponse(req, "chat.completion")
		body.Choices = []responseChoice{{Message: &message{Role: roleAssistant, Content: text}, FinishReason: &finish}}
		body.Usage = usageOf(last)
		return body
	}
	body := newResponse(req, "text_completion")
	body.Choices = []responseChoice{{Text: &text, FinishReason: &finish}}
	body.Usage = usageOf(last)
	return body
}

// chunkEvent returns the server-sent event for a chunk. It builds the event from
// the verified fields of the chunk instead of forwarding the target's message,
// so that nothing unverified reaches the caller.
func chunkEvent(req *inferenceRequest, chunk target.Chunk) []byte {
	body := newResponse(req, "text_completion")
	choice := responseChoice{}
	if req.chat {
		body.Object = "chat.completion.chunk"
		choice.Delta = &delta{Content: chunk.Text}
		if chunk.Offset == 0 {
			choice.Delta.Role = roleAssistant
		}
	} else {
		choice.Text = &chunk.Text
	}
	offset := chunk.Offset
	body.Offset = &offset
	if chunk.Final() {
		choice.FinishReason = &chunk.FinishReason
		body.Usage = usageOf(chunk)
	}
	body.Choices = []responseChoice{choice}
	data, err := json.Marshal(body)
	if err != nil {
		return nil // unreachable: strings and numbers can always be encoded
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}
