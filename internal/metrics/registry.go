package metrics

import (
	"expvar"
	"time"

	"cicadaslip/internal/errs"
)

// OK is the label for successes in metrics that count failures by error code.
const OK = "ok"

// maxLabels limits the labels of one metric. Further labels count as otherLabel.
const (
	maxLabels  = 128
	otherLabel = "other"
)

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	published expvar.Map
	numbers   map[Name]*expvar.Int
	maps      map[Name]*labelledCounts
	latencies map[Name]*histogram
}

// New returns a registry with the metrics of Definitions at zero.
func New() *Registry { return NewWith(Definitions) }

// NewWith returns a registry with the given metrics at zero.
func NewWith(definitions []Definition) *Registry {
	r := &Registry{numbers: map[Name]*expvar.Int{}, maps: map[Name]*labelledCounts{}, latencies: map[Name]*histogram{}}
	for _, d := range definitions {
		r.published.Set(string(d.Name), r.create(d))
	}
	return r
}

func (r *Registry) create(d Definition) expvar.Var {
	switch d.Kind {
	case ByLabel:
		r.maps[d.Name] = newLabelledCounts()
		return &r.maps[d.Name].values
	case Latency:
		r.latencies[d.Name] = newHistogram()
		return r.latencies[d.Name]
	default:
		r.numbers[d.Name] = new(expvar.Int)
		return r.numbers[d.Name]
	}
}

// Var returns all metrics as one expvar.Var, to be published once per process.
func (r *Registry) Var() expvar.Var { return &r.published }

// Add adds delta to a counter or gauge. It ignores names of other kinds and names that are
// not in the registry.
func (r *Registry) Add(name Name, delta int64) {
	if number := r.numbers[name]; number != nil {
		number.Add(delta)
	}
}

// Set sets a counter or gauge to value. It ignores names of other kinds and names that are
// not in the registry.
func (r *Registry) Set(name Name, value int64) {
	if number := r.numbers[name]; number != nil {
		number.Set(value)
	}
}

// Count adds one to a label of a ByLabel metric. It ignores names of other kinds and names
// that are not in the registry.
func (r *Registry) Count(name Name, label string) {
	if m := r.maps[name]; m != nil {
		m.add(label)
	}
}

// SetLabel sets the value of a label of a ByLabel metric. It ignores names of other kinds
// and names that are not in the registry.
func (r *Registry) SetLabel(name Name, label string, value int64) {
	if m := r.maps[name]; m != nil {
		m.set(label, value)
	}
}

// CountError adds one to the label that Label returns for err, in a ByLabel metric. It
// returns err.
func (r *Registry) CountError(name Name, err error) error {
	r.Count(name, Label(err))
	return err
}

// Label returns the error code of err, or OK if err is nil.
func Label(err error) string {
	if err == nil {
		return OK
	}
	return string(errs.As(err).Code)
}

// Observe adds a duration to a Latency metric. It ignores names of other kinds and names
// that are not in the registry.
func (r *Registry) Observe(name Name, duration time.Duration) {
	if h := r.latencies[name]; h != nil {
		h.record(duration)
	}
}

// Rotate starts a new window of all latencies and drops the oldest. The daemon calls it
// every RotateInterval.
func (r *Registry) Rotate() {
	for _, h := range r.latencies {
		h.rotate()
	}
}
