package gateway

import (
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/placer"
)

// Names of the steps of a request.
const (
	StepPlaced  = "placed"
	StepSkipped = "skipped"
	StepSent    = "sent"
	StepFailed  = "attempt_failed"
	StepResumed = "resumed"
	StepLimited = "limited" // the rate limits of targets have held the request up, or leave no target
	StepPaused  = "paused"  // the request waited for the end of a target's pause
	StepLate    = "late"    // the target is late with its next event, so that another one is sought

	StepHedged      = "hedged"       // the request is sent to a second target while the first one goes on
	StepHedgeEnded  = "hedge_ended"  // how that ended: HedgeWon, HedgeLost or HedgeFailed
	StepHedgeDenied = "hedge_denied" // why the request was not sent to a second target
)

// Step is one event in the handling of a request, such as a placement or a
// failed attempt.
type Step struct {
	At       time.Duration // time since the request arrived
	Name     string
	Target   string
	Detail   string            // reason of a failed attempt
	Owner    string            // VM that granted the lease, empty if this VM chose the target
	Estimate time.Duration     // estimated time until the first event
	Version  int64             // version of the adapter, 0 if unknown
	Break    *StreamBreak      // of a failed attempt at a stream, nil otherwise
	Hold     *placer.LimitHold // of a request that rate limits have held up, nil otherwise
	Pause    *placer.PauseHold // of a request that pauses have held up, nil otherwise
}

// StreamBreak describes the state in which an attempt at a stream failed.
type StreamBreak struct {
	Parts      []string // IDs of the prompt's shared parts
	EventCount int      // events received in this attempt
	Crashed    bool     // the target accepted no connection right after the break
}

// Trace records the handling of a request.
type Trace struct {
	Steps            []Step
	Sent             int           // attempts that were sent to a target
	FirstSent        time.Duration // of the first of them, since the arrival of the request
	LastSentTo       string        // ID of the target of the last of them
	Status           int           // HTTP status code of the response
	Target           string        // ID of the target whose response was forwarded
	Failure          *errs.Error
	TimeToFirstEvent time.Duration // since the arrival of the request, 0 if there was no event
	LongestGap       time.Duration // longest pause between two events
	EventCount       int
	LastEvent        time.Duration // of the last event, since the arrival of the request
	Cut              bool          // the response ended after its head without its end
}

// traceRecorder records the trace of a call. Attempts and the end of the process use it at
// the same time as the handler.
type traceRecorder struct {
	arrivedAt time.Time

	mu    sync.Mutex
	trace Trace
}

// snapshot returns the trace as it is now. Later changes do not affect it, because recorded
// steps do not change.
func (r *traceRecorder) snapshot() *Trace {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trace
	return &t
}

// addEvent records an event of a stream.
func (r *traceRecorder) addEvent() {
	at := r.elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.trace
	if t.EventCount == 0 {
		t.TimeToFirstEvent = at
	} else {
		t.LongestGap = max(t.LongestGap, at-t.LastEvent)
	}
	t.EventCount++
	t.LastEvent = at
}

// elapsed returns the time since the request arrived.
func (r *traceRecorder) elapsed() time.Duration { return time.Since(r.arrivedAt) }

// addSteps records steps.
func (r *traceRecorder) addSteps(steps ...Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Steps = append(r.trace.Steps, steps...)
}

// addStep records a step at the current time.
func (r *traceRecorder) addStep(name, target, detail string) {
	r.addSteps(Step{At: r.elapsed(), Name: name, Target: target, Detail: detail})
}

// addStepOnce records a step without a target, unless the same step is recorded already.
func (r *traceRecorder) addStepOnce(name, detail string) {
	at := r.elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.ContainsFunc(r.trace.Steps, func(s Step) bool { return s.Name == name && s.Detail == detail }) {
		r.trace.Steps = append(r.trace.Steps, Step{At: at, Name: name, Detail: detail})
	}
}

// addPlacement records the lease that the placement granted.
func (r *traceRecorder) addPlacement(l Lease) {
	var steps []Step
	at := r.elapsed()
	if l.Hold != nil {
		steps = append(steps, Step{At: at, Name: StepLimited, Target: l.Hold.Target, Hold: l.Hold})
	}
	if l.Pause != nil {
		steps = append(steps, Step{At: at, Name: StepPaused, Target: l.Pause.Target, Pause: l.Pause})
	}
	r.addSteps(append(steps, Step{At: at, Name: StepPlaced, Target: l.Grant.Target, Owner: l.Owner, Estimate: l.Estimate, Version: l.Grant.Version})...)
}

// addSent records that the request is being sent to a target.
func (r *traceRecorder) addSent(target string) {
	at := r.elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trace.Sent == 0 {
		r.trace.FirstSent = at
	}
	r.trace.Sent++
	r.trace.LastSentTo = target
}

// setFailure records the error with which the request ends, and its HTTP
// status code.
func (r *traceRecorder) setFailure(e *errs.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Failure, r.trace.Status = e, httpStatus(e)
}

// setCut records the error with which a response ends after its head.
func (r *traceRecorder) setCut(e *errs.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Cut, r.trace.Failure, r.trace.Status = true, e, httpStatus(e)
}

// setResponse records that the response of a target is forwarded.
func (r *traceRecorder) setResponse(status int, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Status, r.trace.Target = status, target
}

// Summary describes a request that has finished, or that the end of the process cuts.
type Summary struct {
	ID            string
	Route         string
	Service       string
	ConfigVersion uint64
	Adapter       string
	Organisation  string // empty if none
	Kind          fleet.Kind
	Arrived       time.Time
	Elapsed       time.Duration // from the arrival of the request to its end
	CallerLeft    bool          // the caller disconnected before the call finished
	TimeLeft      time.Duration // until the deadline, negative if it has passed
	Trace         *Trace

	firstEventObjective time.Duration // for the time to the first event, 0 if none
	gapObjective        time.Duration // for the pause between events, 0 if none
}

// FirstEventLate reports whether the first event of a stream missed its
// objective.
func (s *Summary) FirstEventLate() bool {
	return s.Trace.EventCount > 0 && s.firstEventObjective > 0 && s.Trace.TimeToFirstEvent > s.firstEventObjective
}

// EventGapLate reports whether a pause between the events of a stream exceeded
// its objective.
func (s *Summary) EventGapLate() bool {
	return s.gapObjective > 0 && s.Trace.LongestGap > s.gapObjective
}

// Late reports whether a stream missed one of its objectives.
func (s *Summary) Late() bool { return s.FirstEventLate() || s.EventGapLate() }

// Hedged reports whether the request was sent to a second target while the first one went on.
func (s *Summary) Hedged() bool {
	return slices.ContainsFunc(s.Trace.Steps, func(step Step) bool { return step.Name == StepHedged })
}

// summary describes the call for the observer.
func (c *call) summary() Summary {
	s := Summary{
		ID: shortID(c.meta.ID), Service: c.service, ConfigVersion: c.configVersion, Adapter: c.meta.Adapter.Name, Arrived: c.arrived,
		Elapsed: time.Since(c.arrived), CallerLeft: c.callerLeft.Load(), Trace: c.trace.snapshot(),
	}
	if c.organisation != nil {
		s.Organisation = c.organisation.Name
	}
	if c.route != nil {
		s.Route, s.TimeLeft, s.Kind = c.route.Name, c.timeLeft(), c.route.Kind
		if c.route.Kind == fleet.Streaming {
			s.firstEventObjective, s.gapObjective = c.route.LatencyObjective, c.route.EventGapObjective
		}
	}
	return s
}

// MalformedInput describes input that is not a valid HTTP request.
type MalformedInput struct {
	Status    int
	Err       error
	BytesRead int64 // of the request, 0 if nothing of it has been read
	Request   int   // its number on the connection, from 1
}

// Observer receives notifications about requests. Its methods must not block.
type Observer interface {
	// Finished reports the end of a request.
	Finished(Summary)
	// Malformed reports input that is not a valid HTTP request.
	Malformed(MalformedInput)
	// Panicked reports that a panic has ended a request.
	Panicked(request string, failure *errs.Error)
}

// noopObserver ignores all notifications.
type noopObserver struct{}

func (noopObserver) Finished(Summary)             {}
func (noopObserver) Malformed(MalformedInput)     {}
func (noopObserver) Panicked(string, *errs.Error) {}
