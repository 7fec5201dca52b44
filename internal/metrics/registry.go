package metrics

import (
	"expvar"
	"time"

	"cicadaslip/internal/errs"
)

// OK is the label of a success where failures are counted by error code.
const OK = "ok"

// maxLabels bounds the labels of one map. Further labels count as otherLabel.
const (
	maxLabels  = 128
	otherLabel = "other"
)

// Registry holds the values of one daemon. It is safe for concurrent use.
type Registry struct {
	all       expvar.Map
	numbers   map[Name]*expvar.Int
	maps      map[Name]*labelled
	latencies map[Name]*histogram
}

// New returns a registry with all metrics at zero.
func New() *Registry { return With(Definitions) }

// With returns a registry of some metrics at zero.
func With(definitions []Definition) *Registry {
	r := &Registry{numbers: map[Name]*expvar.Int{}, maps: map[Name]*labelled{}, latencies: map[Name]*histogram{}}
	for _, d := range definitions {
		r.all.Set(string(d.Name), r.create(d))
	}
	return r
}

func (r *Registry) create(d Definition) expvar.Var {
	switch d.Kind {
	case ByLabel:
		r.maps[d.Name] = newLabelled()
		return &r.maps[d.Name].values
	case Latency:
		r.latencies[d.Name] = newHistogram()
		return r.latencies[d.Name]
	default:
		r.numbers[d.Name] = new(expvar.Int)
		return r.numbers[d.Name]
	}
}

// Var returns all values as one expvar, to be published once per process.
func (r *Registry) Var() expvar.Var { return &r.all }

// Add changes a counter or gauge. Other names are ignored.
func (r *Registry) Add(name Name, delta int64) {
	if number := r.numbers[name]; number != nil {
		number.Add(delta)
	}
}

// Set replaces a counter or gauge. Other names are ignored.
func (r *Registry) Set(name Name, value int64) {
	if number := r.numbers[name]; number != nil {
		number.Set(value)
	}
}

// Count adds one to a label of a map. Other names are ignored.
func (r *Registry) Count(name Name, label string) {
	if m := r.maps[name]; m != nil {
		m.add(label)
	}
}

// SetLabel replaces the value of a label of a map. Other names are ignored.
func (r *Registry) SetLabel(name Name, label string, value int64) {
	if m := r.maps[name]; m != nil {
		m.set(label, value)
	}
}

// CountError adds one to the error code of err in a map, or to OK for nil. It
// returns err.
func (r *Registry) CountError(name Name, err error) error {
	r.Count(name, Label(err))
	return err
}

// Label returns the error code of err, or OK for nil.
func Label(err error) string {
	if err == nil {
		return OK
	}
	return string(errs.As(err).Code)
}

// Observe enters a duration into a latency. Other names are ignored.
func (r *Registry) Observe(name Name, duration time.Duration) {
	if h := r.latencies[name]; h != nil {
		h.record(duration)
	}
}

// Rotate starts a new window of all latencies. The daemon calls it every
// RotateEvery.
func (r *Registry) Rotate() {
	for _, h := range r.latencies {
		h.rotate()
	}
}
