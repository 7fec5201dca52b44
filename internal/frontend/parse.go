package frontend

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Limits of what is parsed.
const (
	maxKeyBytes       = 200 // of an idempotency key
	maxNameBytes      = 200 // of a kind
	maxMessages       = 1024
	prefixBlockBytes  = 256 // bytes of the prompt in one block of the prefix cache
	maxPrefixBlocks   = 64
	bytesPerToken     = 4 // of a prompt, on average
	defaultWorth      = 1.0
	millisecond       = time.Millisecond
	firstPrintable    = '!'
	lastPrintable     = '~'
	onlySupportedN    = 1
	promptPartDivider = ": "
)

// completion is a validated completion request.
type completion struct {
	adapter   model.AdapterVersion
	prompt    string // text that determines the prefix blocks
	maxTokens int
	stream    bool
	fields    map[string]json.RawMessage // for the target
}

type completionFields struct {
	Model     string    `json:"model"`
	Prompt    *string   `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	N         *int      `json:"n"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseCompletion parses and validates the body of a completion request.
func parseCompletion(body []byte, chat bool, l Limits) (completion, *errs.Error) {
	var fields completionFields
	c := completion{maxTokens: l.MaxTokens}
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(body, &c.fields) != nil || c.fields == nil {
		return completion{}, invalid("body must be a JSON object of a completion request")
	}
	adapter, err := model.ParseAdapterVersion(fields.Model)
	if err != nil {
		return completion{}, errs.As(err).WithRan(errs.RanNo)
	}
	c.adapter, c.stream = adapter, fields.Stream
	if fields.MaxTokens != nil {
		c.maxTokens = *fields.MaxTokens
	}
	if c.maxTokens < 1 || c.maxTokens > l.MaxTokensLimit {
		return completion{}, invalid("max_tokens must be from 1 to " + strconv.Itoa(l.MaxTokensLimit))
	}
	if fields.N != nil && *fields.N != onlySupportedN {
		return completion{}, invalid("n must be 1")
	}
	c.prompt, err = promptOf(fields, chat)
	if err != nil {
		return completion{}, errs.As(err)
	}
	return c, nil
}

func promptOf(fields completionFields, chat bool) (string, error) {
	if !chat {
		if fields.Prompt == nil {
			return "", invalid("prompt must be a string")
		}
		return *fields.Prompt, nil
	}
	if len(fields.Messages) == 0 || len(fields.Messages) > maxMessages {
		return "", invalid("messages must hold from 1 to " + strconv.Itoa(maxMessages) + " messages")
	}
	var b strings.Builder
	for _, m := range fields.Messages {
		if m.Role == "" {
			return "", invalid("each message needs a role")
		}
		b.WriteString(m.Role + promptPartDivider + m.Content + "\n")
	}
	return b.String(), nil
}

// targetBody returns the body for the runner: the caller's fields, always as a
// stream, with the priority of the permit.
func (c completion) targetBody(priority int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+3)
	for name, value := range c.fields {
		fields[name] = value
	}
	// Fields that differ only in case from these are dropped: a decoder that
	// ignores case would take them for the ones set here.
	for name := range c.fields {
		switch strings.ToLower(name) {
		case "model", "stream", "stream_options", "priority", "max_tokens", "n":
			delete(fields, name)
		}
	}
	modelName, err := json.Marshal(c.adapter.String())
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "model name was not encoded")
	}
	fields["model"] = modelName
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(c.maxTokens))
	fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "request was not encoded")
	}
	return body, nil
}

// prefixHashes hashes the growing prefixes of a prompt, shortest first.
func prefixHashes(prompt string) []uint64 {
	var hashes []uint64
	for end := prefixBlockBytes; end <= len(prompt) && len(hashes) < maxPrefixBlocks; end += prefixBlockBytes {
		hashes = append(hashes, xxhash.Sum64String(prompt[:end]))
	}
	return hashes
}

func countTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// parseKey validates an idempotency key: printable ASCII without spaces.
func parseKey(text string) (string, *errs.Error) {
	return parseName(text, maxKeyBytes, "idempotency key")
}

func parseKind(text string) (string, *errs.Error) { return parseName(text, maxNameBytes, "kind") }

func parseName(text string, limit int, what string) (string, *errs.Error) {
	if text == "" || len(text) > limit {
		return "", invalid(what + " must have from 1 to " + strconv.Itoa(limit) + " bytes")
	}
	for i := range len(text) {
		if text[i] < firstPrintable || text[i] > lastPrintable || text[i] == '/' {
			return "", invalid(what + " must be printable ASCII without spaces and slashes")
		}
	}
	return text, nil
}

// parseDeadline returns the deadline of a request from its header in
// milliseconds, or the declared or default one.
func parseDeadline(header string, kind model.Kind, l Limits) (time.Duration, *errs.Error) {
	if header == "" {
		if kind.Deadline > 0 {
			return kind.Deadline, nil
		}
		return l.Deadline, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > int64(l.MaxDeadline/millisecond) {
		return 0, invalid("deadline must be from 1 to " + strconv.FormatInt(int64(l.MaxDeadline/millisecond), 10) + " ms")
	}
	return time.Duration(ms) * millisecond, nil
}

// parseWorth returns the worth of a request. A caller can lower the declared
// worth but not raise it, so that organisations cannot outbid each other.
func parseWorth(header string, kind model.Kind) (float64, *errs.Error) {
	declared := kind.Worth
	if declared <= 0 {
		declared = defaultWorth
	}
	if header == "" {
		return declared, nil
	}
	worth, err := strconv.ParseFloat(header, 64)
	if err != nil || math.IsNaN(worth) || worth <= 0 {
		return 0, invalid("worth must be a positive number")
	}
	return min(worth, declared), nil
}

func invalid(message string) *errs.Error { return errs.NotRun(errs.InvalidRequest, message) }
