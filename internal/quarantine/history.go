package quarantine

import (
	"strings"
	"time"
)

// history holds when requests with the parts of the last time made progress. It keeps
// between maxRecent and twice as many parts.
type history struct {
	newer, older map[Part]time.Duration
}

func (h *history) add(part Part, at time.Duration) {
	if h.newer == nil || len(h.newer) >= maxRecent {
		h.newer, h.older = map[Part]time.Duration{}, h.newer
	}
	if _, found := h.newer[part]; !found {
		part.ID = strings.Clone(part.ID) // which may be a part of a longer text
	}
	h.newer[part] = at
}

func (h *history) find(part Part) (time.Duration, bool) {
	if at, found := h.newer[part]; found {
		return at, true
	}
	at, found := h.older[part]
	return at, found
}
