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

// Limits and constants of request parsing.
const (
	maxKeyBytes      = 200  // size of an idempotency key
	maxKindBytes     = 200  // size of the name of a kind
	maxMessages      = 1024 // of a chat completion
	prefixBlockBytes = 256  // bytes of prompt per block of the prefix cache
	maxPrefixBlocks  = 64   // blocks of a prompt that are hashed
	bytesPerToken    = 4    // average of a prompt, used to estimate its tokens
	defaultWorth     = 1.0
	millisecond      = time.Millisecond
	firstPrintable   = '!' // of printable ASCII without the space
	lastPrintable    = '~'
	supportedN       = 1
	roleSeparator    = ": "
)

// completionParams holds the validated fields of a completion request.
type completionParams struct {
	adapter   model.AdapterVersion
	prompt    string // text from which the prefix blocks and the prompt length are derived
	maxTokens int
	stream    bool
	fields    map[string]json.RawMessage // all fields of the request, which are forwarded to the target
}

// completionFields holds the fields of a completion request that are validated.
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
func parseCompletion(body []byte, chat bool, limits Limits) (completionParams, *errs.Error) {
	var fields completionFields
	params := completionParams{maxTokens: limits.MaxTokens}
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(body, &params.fields) != nil || params.fields == nil {
		return completionParams{}, invalid("body must be a JSON object of a completion request")
	}
	adapter, err := model.ParseAdapterVersion(fields.Model)
	if err != nil {
		return completionParams{}, errs.As(err).WithRan(errs.RanNo)
	}
	params.adapter, params.stream = adapter, fields.Stream
	if fields.MaxTokens != nil {
		params.maxTokens = *fields.MaxTokens
	}
	if params.maxTokens < 1 || params.maxTokens > limits.MaxTokensLimit {
		return completionParams{}, invalid("max_tokens must be from 1 to " + strconv.Itoa(limits.MaxTokensLimit))
	}
	if fields.N != nil && *fields.N != supportedN {
		return completionParams{}, invalid("n must be 1")
	}
	params.prompt, err = buildPrompt(fields, chat)
	if err != nil {
		return completionParams{}, errs.As(err)
	}
	return params, nil
}

// buildPrompt returns the prompt of a completion, or the messages of a chat
// completion joined into one text.
func buildPrompt(fields completionFields, chat bool) (string, error) {
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
		b.WriteString(m.Role + roleSeparator + m.Content + "\n")
	}
	return b.String(), nil
}

// runnerBody returns the body of the request to the runner. It holds the caller's
// fields, always asks for a stream and carries the priority of the permit.
func (params completionParams) runnerBody(priority int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(params.fields)+3)
	for name, value := range params.fields {
		fields[name] = value
	}
	// Drop the caller's values of these fields, also where the name differs in case:
	// a decoder that ignores case would take them for the values set below.
	for name := range params.fields {
		switch strings.ToLower(name) {
		case "model", "stream", "stream_options", "priority", "max_tokens", "n":
			delete(fields, name)
		}
	}
	modelName, err := json.Marshal(params.adapter.String())
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "could not encode the model name")
	}
	fields["model"] = modelName
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(params.maxTokens))
	fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "could not encode the request for the runner")
	}
	return body, nil
}

// prefixHashes returns the hashes of the prefixes of a prompt that end at block
// boundaries, shortest first.
func prefixHashes(prompt string) []uint64 {
	var hashes []uint64
	for end := prefixBlockBytes; end <= len(prompt) && len(hashes) < maxPrefixBlocks; end += prefixBlockBytes {
		hashes = append(hashes, xxhash.Sum64String(prompt[:end]))
	}
	return hashes
}

// estimateTokens estimates the number of tokens of a prompt from its length.
func estimateTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// parseKey validates an idempotency key, which must be printable ASCII without
// spaces and slashes.
func parseKey(text string) (string, *errs.Error) {
	return parseName(text, maxKeyBytes, "idempotency key")
}

func parseKind(text string) (string, *errs.Error) { return parseName(text, maxKindBytes, "kind") }

func parseName(text string, limit int, label string) (string, *errs.Error) {
	if text == "" || len(text) > limit {
		return "", invalid(label + " must have from 1 to " + strconv.Itoa(limit) + " bytes")
	}
	for i := range len(text) {
		if text[i] < firstPrintable || text[i] > lastPrintable || text[i] == '/' {
			return "", invalid(label + " must be printable ASCII without spaces and slashes")
		}
	}
	return text, nil
}

// parseDeadline returns the time that a request has from arrival to its complete
// answer. It is taken from the header in milliseconds, else from the kind, else from
// the default.
func parseDeadline(header string, kind model.Kind, limits Limits) (time.Duration, *errs.Error) {
	if header == "" {
		if kind.Deadline > 0 {
			return kind.Deadline, nil
		}
		return limits.Deadline, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > int64(limits.MaxDeadline/millisecond) {
		return 0, invalid("deadline must be from 1 to " + strconv.FormatInt(int64(limits.MaxDeadline/millisecond), 10) + " ms")
	}
	return time.Duration(ms) * millisecond, nil
}

// parseWorth returns the worth of a request. A caller can lower the worth that is
// declared for the kind but not raise it, so that organisations cannot outbid each
// other.
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
