package metrics

import (
	"expvar"
	"sync"
)

// labelledCounts holds one number per label, for at most maxLabels labels and otherLabel.
type labelledCounts struct {
	mu     sync.Mutex
	labels map[string]bool
	values expvar.Map
}

func newLabelledCounts() *labelledCounts { return &labelledCounts{labels: map[string]bool{}} }

// add adds one to the number of a label.
func (l *labelledCounts) add(label string) { l.values.Add(l.boundedLabel(label), 1) }

func (l *labelledCounts) set(label string, value int64) {
	number := new(expvar.Int)
	number.Set(value)
	l.values.Set(l.boundedLabel(label), number)
}

// boundedLabel returns label, or otherLabel if label is new and there are already
// maxLabels labels.
func (l *labelledCounts) boundedLabel(label string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.labels[label] && len(l.labels) >= maxLabels {
		return otherLabel
	}
	l.labels[label] = true
	return label
}
