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

// eventMetrics records events in the timeline and derives the metrics of
// requests and groups from them. It implements timeline.Recorder.
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
		e.arrived(event.Request)
	case timeline.RequestFinished, timeline.RequestRefused:
		e.metrics.Count(metrics.RequestsByOutcome, outcomeLabel(event))
		e.ended(event.Request)
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

// outcomeLabel returns the error code at the beginning of an event's detail.
func outcomeLabel(event timeline.Event) string {
	code, _, _ := strings.Cut(event.Detail, " ")
	switch {
	case code == "":
		return metrics.OK
	case event.Kind == timeline.RequestFinished && strings.Contains(event.Detail, " "):
		return string(errs.Cancelled) // the caller of a stream is gone
	}
	return code
}

func (e *eventMetrics) arrived(id model.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[id] = time.Now()
}

func (e *eventMetrics) ended(id model.RequestID) {
	e.mu.Lock()
	arrival, known := e.arrivals[id]
	delete(e.arrivals, id)
	e.mu.Unlock()
	if known {
		e.metrics.Observe(metrics.RequestLatency, time.Since(arrival))
	}
}

// waited returns the time since the arrival of an attempt's request. The id of
// an attempt is that of its request with suffixes after full stops.
func (e *eventMetrics) waited(id model.RequestID) (time.Duration, bool) {
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

// forget drops arrivals older than a limit. A request whose handler panicked
// records no end.
func (e *eventMetrics) forget(limit time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, arrival := range e.arrivals {
		if time.Since(arrival) > limit {
			delete(e.arrivals, id)
		}
	}
}

// meteredPermits measures what the front end observes of its attempts. It
// implements frontend.Permits and frontend.ProgressReporter.
type meteredPermits struct {
	*permit.Broker
	d     *Daemon
	waits sync.Map // time from arrival to the permit, by permit
}

// Acquire implements frontend.Permits.
func (p *meteredPermits) Acquire(ctx context.Context, request core.Request) (core.Permit, error) {
	began, cold := time.Now(), p.d.needsLoad(request)
	p.d.arrivals.AddRequest(began, requestOf(request.ID), request)
	granted, err := p.Broker.Acquire(ctx, request)
	if cold {
		p.d.metrics.Add(metrics.AdapterWaits, 1)
		p.d.metrics.Observe(metrics.AdapterWait, time.Since(began))
	}
	if err != nil {
		return granted, err
	}
	if wait, known := p.d.recorder.waited(granted.Request); known {
		p.waits.Store(granted.Request, wait)
	}
	return granted, nil
}

// Release implements frontend.Permits.
func (p *meteredPermits) Release(granted core.Permit, release core.PermitReleased) {
	p.Broker.Release(granted, release)
	if release.Outcome == core.OutcomeDone {
		p.d.arrivals.SetOutputTokens(attemptedBy(granted.Request), release.Usage.GeneratedTokens)
	}
	wait, known := p.waits.LoadAndDelete(granted.Request)
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

// requestOf returns the id of the request that an attempt asks for.
func requestOf(attempt model.RequestID) model.RequestID {
	if cut := strings.LastIndexByte(string(attempt), '.'); cut > 0 {
		return attempt[:cut]
	}
	return attempt
}

// attemptedBy returns the id of the request that a permit was granted for. The
// broker adds a suffix of its own to the attempt's.
func attemptedBy(granted model.RequestID) model.RequestID { return requestOf(requestOf(granted)) }

// needsLoad reports whether no group is known to have the request's adapter.
func (d *Daemon) needsLoad(request core.Request) bool {
	if request.Class != model.ClassRunner {
		return false
	}
	for _, candidate := range d.table.Candidates(request) {
		if candidate.Resident {
			return false
		}
	}
	return true
}

// acquireHere waits in the queue of a group that this VM owns.
func (d *Daemon) acquireHere(ctx context.Context, request rpcapi.AcquireRequest) rpcapi.AcquireReply {
	began := time.Now()
	reply := d.owners.Acquire(ctx, request)
	if reply.Err == nil {
		d.metrics.Observe(metrics.QueueWait, time.Since(began))
	}
	return reply
}

// targetOrders implements owner.Orders.
type targetOrders struct {
	client  *target.Client
	metrics *metrics.Registry
}

// Execute implements owner.Orders.
func (o targetOrders) Execute(ctx context.Context, to model.Target, intent core.Intent) core.Event {
	result := o.client.Order(ctx, to, intent)
	switch intent.Kind {
	case core.IntentLoad:
		o.metrics.Count(metrics.AdapterLoadsByOutcome, orderLabel(result))
	case core.IntentEvict:
		if _, done := result.(core.OrderDone); done {
			o.metrics.Add(metrics.AdapterEvictions, 1)
		}
	}
	return result
}

func orderLabel(result core.Event) string {
	switch event := result.(type) {
	case core.OrderDone:
		return metrics.OK
	case core.OrderFailed:
		return string(event.Err.Code)
	}
	return string(errs.Timeout) // it may still take effect
}

// State implements owner.Orders.
func (o targetOrders) State(ctx context.Context, to model.Target, epoch model.Epoch) (core.TargetState, error) {
	return o.client.State(ctx, to, epoch)
}

// Cancel implements owner.Orders.
func (o targetOrders) Cancel(ctx context.Context, to model.Target, id model.RequestID) error {
	return o.client.Cancel(ctx, to, id)
}
