package gateway

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
)

// Steps of a request.
const (
	StepPlaced  = "placed"
	StepSent    = "sent"
	StepFailed  = "attempt_failed"
	StepResumed = "resumed"
)

// Step is one decision about a request.
type Step struct {
	At       time.Duration // since the arrival
	Name     string
	Target   string
	Detail   string
	Owner    string
	Estimate time.Duration
	Version  int64
}

// Trace is what happened to a request.
type Trace struct {
	began   time.Time
	Steps   []Step
	Status  int
	Target  string
	Failure *errs.Error
	First   time.Duration // until the first event, 0 if there was none
	Gap     time.Duration // longest pause between events
	Events  int
	last    time.Time
}

// event enters an event of a stream.
func (t *Trace) event(now time.Time) {
	if t.Events == 0 {
		t.First = now.Sub(t.began)
	} else {
		t.Gap = max(t.Gap, now.Sub(t.last))
	}
	t.Events++
	t.last = now
}

func (t *Trace) begin(at time.Time) { t.began = at }

func (t *Trace) step(name, target, detail string) {
	t.Steps = append(t.Steps, Step{At: time.Since(t.began), Name: name, Target: target, Detail: detail})
}

func (t *Trace) placed(l Lease) {
	t.Steps = append(t.Steps, Step{
		At: time.Since(t.began), Name: StepPlaced, Target: l.Grant.Target, Owner: l.Owner, Estimate: l.Estimate, Version: l.Grant.Version,
	})
}

func (t *Trace) failed(e *errs.Error) {
	t.Failure = e
	t.Status = statusOf(e)
}

func (t *Trace) answered(status int, target string) {
	t.Status, t.Target = status, target
}

// Summary is the end of a request.
type Summary struct {
	ID       string
	Route    string
	Service  string
	Config   uint64
	Adapter  string
	Kind     fleet.Kind
	Arrived  time.Time
	Took     time.Duration
	Left     bool // the caller has gone
	TimeLeft time.Duration
	Trace    *Trace

	objective time.Duration // until the first event
	gapTarget time.Duration // between events
}

// LateFirst reports whether the first event of a stream was late.
func (s *Summary) LateFirst() bool {
	return s.Trace.Events > 0 && s.objective > 0 && s.Trace.First > s.objective
}

// LateGap reports whether a pause in a stream was too long.
func (s *Summary) LateGap() bool { return s.gapTarget > 0 && s.Trace.Gap > s.gapTarget }

// Late reports whether a stream was late.
func (s *Summary) Late() bool { return s.LateFirst() || s.LateGap() }

func (c *call) summary() Summary {
	s := Summary{
		ID: c.meta.ID, Service: c.service, Config: c.version, Adapter: c.meta.Adapter.Name, Arrived: c.arrived,
		Took: time.Since(c.arrived), Left: c.left.Load(), Trace: &c.trace,
	}
	if c.route != nil {
		s.Route, s.TimeLeft, s.Kind = c.route.Name, c.timeLeft(), c.route.Kind
		if c.route.Kind == fleet.Streaming {
			s.objective, s.gapTarget = c.route.TargetLatency, c.route.TargetEventGap
		}
	}
	return s
}

// Observer is told of the requests. Its methods must not block.
type Observer interface {
	// Finished tells of the end of a request.
	Finished(Summary)
	// Malformed tells of input that is no request.
	Malformed(status int, err error)
}

type discard struct{}

func (discard) Finished(Summary)     {}
func (discard) Malformed(int, error) {}
