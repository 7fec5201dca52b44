package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/model"
	"cicadaslip/internal/permit"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/target"
	"cicadaslip/internal/timeline"
)

// eventMetrics records events in the timeline and derives metrics of requests
// and groups from them. It implements timeline.Recorder.
type eventMetrics struct {
	events  timeline.Recorder
	metrics *metrics.Registry

	mu       sync.Mutex
	arrivals map[model.RequestID]time.Time
}

func newEventMetrics(events timeline.Recorder, registry *metrics.Registry) *eventMetrics {
	return &eventMetrics{events: events, metrics: registry, arrivals: map[model.RequestID]time.Time{}}
}

// Record implements timeline.Recorder.
func (e *eventMetrics) Record(event timeline.Event) {
	e.events.Record(event)
	switch event.Kind {
	case timeline.RequestArrived:
		e.requestArrived(event.Request)
	case timeline.RequestFinished, timeline.RequestRefused:
		e.metrics.Count(metrics.RequestsByOutcome, outcomeLabel(event))
		e.requestEnded(event.Request)
	case timeline.RequestResumed:
		e.metrics.Add(metrics.StreamsResumed, 1)
	case timeline.RequestHedged:
		e.metrics.Add(metrics.RequestsHedged, 1)
	case timeline.AnswerDiscarded:
		e.metrics.Add(metrics.AnswersDiscarded, 1)
	case timeline.GroupTakenOver:
		e.metrics.Add(metrics.GroupTakeovers, 1)
	}
}

// outcomeLabel returns the metric label of an ended request: the error code at
// the start of the event's detail, or OK if the detail is empty.
func outcomeLabel(event timeline.Event) string {
	code, _, _ := strings.Cut(event.Detail, " ")
	switch {
	case code == "":
		return metrics.OK
	case event.Kind == timeline.RequestFinished && strings.Contains(event.Detail, " "):
		return string(errs.Cancelled) // the caller of a stream has disconnected
	}
	return code
}

// requestArrived records the arrival time of a request.
func (e *eventMetrics) requestArrived(id model.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[id] = time.Now()
}

// requestEnded records the latency of a request and removes its arrival time.
func (e *eventMetrics) requestEnded(id model.RequestID) {
	e.mu.Lock()
	arrival, known := e.arrivals[id]
	delete(e.arrivals, id)
	e.mu.Unlock()
	if known {
		e.metrics.Observe(metrics.RequestLatency, time.Since(arrival))
	}
}

// timeSinceArrival returns the time since the arrival of the request that an
// attempt belongs to, and whether the arrival is recorded. The ID of an attempt
// is the ID of its request plus suffixes that begin with a full stop.
func (e *eventMetrics) timeSinceArrival(id model.RequestID) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		if arrival, known := e.arrivals[id]; known {
			return time.Since(arrival), true
		}
		cut := strings.LastIndexByte(string(id), '.')
		if cut < 0 {
			return 0, false
		}
		id = id[:cut]
	}
}

// dropStaleArrivals drops arrival times that are older than limit. They belong
// to requests whose handler panicked, for which no end is recorded.
func (e *eventMetrics) dropStaleArrivals(limit time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, arrival := range e.arrivals {
		if time.Since(arrival) > limit {
			delete(e.arrivals, id)
		}
	}
}

// meteredPermits records the permit waits and first-token latencies of the
// front end's attempts. It implements frontend.Permits and
// frontend.ProgressReporter.
type meteredPermits struct {
	*permit.Broker
	d            *Daemon
	permitDelays sync.Map // time from arrival to permit (time.Duration) by permit ID (model.RequestID)
}

// Acquire implements frontend.Permits.
func (p *meteredPermits) Acquire(ctx context.Context, request core.Request) (core.Permit, error) {
	start, mustLoad := time.Now(), p.d.needsLoad(request)
	p.d.arrivals.AddRequest(start, requestIDOfAttempt(request.ID), request)
	granted, err := p.Broker.Acquire(ctx, request)
	if mustLoad {
		p.d.metrics.Add(metrics.AdapterWaits, 1)
		p.d.metrics.Observe(metrics.AdapterWait, time.Since(start))
	}
	if err != nil {
		return granted, err
	}
	if wait, known := p.d.recorder.timeSinceArrival(granted.Request); known {
		p.permitDelays.Store(granted.Request, wait)
	}
	return granted, nil
}

// Release implements frontend.Permits.
func (p *meteredPermits) Release(granted core.Permit, release core.PermitReleased) {
	p.Broker.Release(granted, release)
	if release.Outcome == core.OutcomeDone {
		p.d.arrivals.SetOutputTokens(requestIDOfPermit(granted.Request), release.Usage.GeneratedTokens)
	}
	wait, known := p.permitDelays.LoadAndDelete(granted.Request)
	if granted.Target.Class != model.ClassRunner || release.Outcome != core.OutcomeDone {
		return
	}
	if known {
		p.d.metrics.Observe(metrics.FirstTokenLatency, wait.(time.Duration)+release.FirstToken)
	}
	if release.TokenGap > 0 {
		p.d.metrics.Observe(metrics.TokenGap, release.TokenGap)
	}
}

// requestIDOfAttempt returns the ID of the request that an attempt belongs to.
func requestIDOfAttempt(attempt model.RequestID) model.RequestID {
	if cut := strings.LastIndexByte(string(attempt), '.'); cut > 0 {
		return attempt[:cut]
	}
	return attempt
}

// requestIDOfPermit returns the ID of the request that a permit was granted
// for. The broker adds its own suffix to the ID of the attempt.
func requestIDOfPermit(granted model.RequestID) model.RequestID {
	return requestIDOfAttempt(requestIDOfAttempt(granted))
}

// needsLoad reports whether the request is for a runner and the routing table
// knows no group in which its adapter is resident.
func (d *Daemon) needsLoad(request core.Request) bool {
	if request.Class != model.ClassRunner {
		return false
	}
	for _, candidate := range d.routingTable.Candidates(request) {
		if candidate.Resident {
			return false
		}
	}
	return true
}

// acquireLocal waits for a permit in the queue of a group that this VM owns,
// and records the wait.
func (d *Daemon) acquireLocal(ctx context.Context, request rpcapi.AcquireRequest) rpcapi.AcquireReply {
	start := time.Now()
	reply := d.owners.Acquire(ctx, request)
	if reply.Err == nil {
		d.metrics.Observe(metrics.QueueWait, time.Since(start))
	}
	return reply
}

// targetOrders implements owner.Orders with calls to targets, and records the
// outcomes of adapter loads and the number of evictions.
type targetOrders struct {
	client  *target.Client
	metrics *metrics.Registry
}

// Execute implements owner.Orders.
func (o targetOrders) Execute(ctx context.Context, to model.Target, intent core.Intent) core.Event {
	result := o.client.Order(ctx, to, intent)
	switch intent.Kind {
	case core.IntentLoad:
		o.metrics.Count(metrics.AdapterLoadsByOutcome, orderOutcomeLabel(result))
	case core.IntentEvict:
		if _, done := result.(core.OrderDone); done {
			o.metrics.Add(metrics.AdapterEvictions, 1)
		}
	}
	return result
}

// orderOutcomeLabel returns the metric label for the result of an order.
func orderOutcomeLabel(result core.Event) string {
	switch event := result.(type) {
	case core.OrderDone:
		return metrics.OK
	case core.OrderFailed:
		return string(event.Err.Code)
	}
	return string(errs.Timeout) // the outcome is unknown: the order may still take effect
}

// State implements owner.Orders.
func (o targetOrders) State(ctx context.Context, to model.Target, epoch model.Epoch) (core.TargetState, error) {
	return o.client.State(ctx, to, epoch)
}

// Cancel implements owner.Orders.
func (o targetOrders) Cancel(ctx context.Context, to model.Target, id model.RequestID) error {
	return o.client.Cancel(ctx, to, id)
}
