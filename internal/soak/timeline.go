package soak

import (
	"slices"
	"sync"
	"time"
)

// trouble is a kind of disturbance of a VM or of the store.
type trouble string

const (
	restarted trouble = "restarted" // from the signal until the process is started again
	frozen    trouble = "frozen"
	cut       trouble = "cut" // the link to the store delays, loses or resets
	disrupted trouble = "disrupted"
)

type span struct {
	kind     trouble
	from, to time.Time // to is zero while it lasts
}

// timeline records what was done to a VM or to the store. It is safe for concurrent use.
type timeline struct {
	mu    sync.Mutex
	spans []*span
}

// begin records that a trouble begins now. The function that it returns records the end.
func (l *timeline) begin(kind trouble) (end func()) {
	s := &span{kind: kind, from: time.Now()}
	l.mu.Lock()
	l.spans = append(l.spans, s)
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// between returns the troubles of some kinds, of all if none is given, that touch a time.
func (l *timeline) between(from, to time.Time, kinds ...trouble) []span {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []span
	for _, s := range l.spans {
		if len(kinds) > 0 && !slices.Contains(kinds, s.kind) {
			continue
		}
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			found = append(found, *s)
		}
	}
	return found
}
