package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ReadyPath is where the platform asks an entry VM whether it is ready.
const ReadyPath = "/cicadaslip/readyz"

// Call is what a caller says of its request.
type Call struct {
	ID       string
	Deadline time.Duration
	Model    string // model and adapter, empty for plain services
	Prompt   int    // tokens
	Answer   int    // tokens at most
	Key      string // of the caller's organisation, empty for none
	Forged   string // name of an organisation that the caller claims, empty for none
	// EventBytes is the length of the data of each event, the usual one if it is 0.
	EventBytes int
}

// Header fields of organisations.
const (
	KeyHeader          = "X-Credential"
	OrganisationHeader = "X-Tenant"
)

// Describe sets the header fields of a caller's request.
func (c Call) Describe(h http.Header) {
	h.Set("X-Request-Id", c.ID)
	h.Set("X-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Model != "" {
		h.Set("X-Model", c.Model)
		h.Set("X-Token-Usage", strconv.Itoa(c.Prompt)+","+strconv.Itoa(c.Answer))
	}
	for name, value := range map[string]string{KeyHeader: c.Key, OrganisationHeader: c.Forged} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if c.EventBytes > 0 {
		h.Set(eventBytesHeader, strconv.Itoa(c.EventBytes))
	}
}

// TokensOf returns the tokens that a request states, and false if it states none.
func TokensOf(h http.Header) (tokens int, stated bool) {
	prompt, answer, stated := strings.Cut(h.Get("X-Token-Usage"), ",")
	p, _ := strconv.Atoi(prompt)
	a, _ := strconv.Atoi(answer)
	return p + a, stated
}

// AnswerOf returns the id of the request that an answer belongs to.
func AnswerOf(h http.Header) string { return h.Get("X-Request-Id") }

// TargetOf returns the ID of the target that signed an answer, empty if none did.
func TargetOf(h http.Header) string {
	id, _, _ := strings.Cut(h.Get("X-Server-Stamp"), ".")
	return id
}
