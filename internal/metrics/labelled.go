package metrics

import (
	"expvar"
	"sync"
)

// labelled is a map of numbers with a bounded number of labels.
type labelled struct {
	mu     sync.Mutex
	labels map[string]bool
	values expvar.Map
}

func newLabelled() *labelled { return &labelled{labels: map[string]bool{}} }

func (l *labelled) add(label string) { l.values.Add(l.admit(label), 1) }

func (l *labelled) set(label string, value int64) {
	number := new(expvar.Int)
	number.Set(value)
	l.values.Set(l.admit(label), number)
}

// admit returns the label, or otherLabel when the map is full.
func (l *labelled) admit(label string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.labels[label] && len(l.labels) >= maxLabels {
		return otherLabel
	}
	l.labels[label] = true
	return label
}
