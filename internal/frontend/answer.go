package frontend

import (
	"encoding/json"

	"cicadaslip/internal/target"
)

const roleAssistant = "assistant"

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Offset  *int           `json:"offset,omitempty"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
}

type answerChoice struct {
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

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newAnswer(j *inference, object string) answerBody {
	return answerBody{ID: string(j.id), Object: object, Created: j.arrived.Unix(), Model: j.adapter.String()}
}

func usageOf(final target.Chunk) *answerUsage {
	generated := final.Usage.GeneratedTokens
	return &answerUsage{PromptTokens: final.Usage.PromptTokens, CompletionTokens: generated, TotalTokens: final.Usage.PromptTokens + generated}
}

// wholeAnswer returns the body of a complete answer.
func wholeAnswer(j *inference, text string, final target.Chunk) answerBody {
	finish := final.FinishReason
	if j.chat {
		body := newAnswer(j, "chat.completion")
		body.Choices = []answerChoice{{Message: &message{Role: roleAssistant, Content: text}, FinishReason: &finish}}
		body.Usage = usageOf(final)
		return body
	}
	body := newAnswer(j, "text_completion")
	body.Choices = []answerChoice{{Text: &text, FinishReason: &finish}}
	body.Usage = usageOf(final)
	return body
}

// chunkEvent returns the server-sent event of a chunk. It is built anew, so
// that nothing of the target's message passes that was not verified.
func chunkEvent(j *inference, c target.Chunk) []byte {
	body := newAnswer(j, "text_completion")
	choice := answerChoice{}
	if j.chat {
		body.Object = "chat.completion.chunk"
		choice.Delta = &delta{Content: c.Text}
		if c.Offset == 0 {
			choice.Delta.Role = roleAssistant
		}
	} else {
		choice.Text = &c.Text
	}
	offset := c.Offset
	body.Offset = &offset
	if c.Final() {
		choice.FinishReason = &c.FinishReason
		body.Usage = usageOf(c)
	}
	body.Choices = []answerChoice{choice}
	data, err := json.Marshal(body)
	if err != nil {
		return nil // not reachable: all fields are plain strings and numbers
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}
