package edge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/acceptretry"
	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

const (
	metricsPath = "/metrics"
	// successesPerSecond is the number of successful requests per second whose log lines
	// are written at info level. Those of failed and late requests always are.
	successesPerSecond = 1
	// refusalsPerSecond is the number of requests per second that found no memory whose log lines
	// are written at info level.
	refusalsPerSecond = 5
	// longGrantWait is the wait for a target above which the owner's grant is always
	// logged at info level.
	longGrantWait = 300 * time.Millisecond
	// firstErrorStatus is the lowest HTTP status that counts as a failure.
	firstErrorStatus = 400
)

// sampler limits the number of events that are logged in each second.
type sampler struct {
	second atomic.Int64 // current second in Unix time
	used   atomic.Int64 // events allowed or refused in the current second
}

// allow reports whether the event is one of the first perSecond events in the current
// second.
func (s *sampler) allow(perSecond int64) bool {
	now := time.Now().Unix()
	if s.second.Swap(now) != now {
		s.used.Store(0)
	}
	return s.used.Add(1) <= perSecond
}

func (d *Daemon) usableTarget(id string) (fleet.Target, bool) { return d.deployment.usableTarget(id) }

func (d *Daemon) leavingSince(version uint64, own bool) advisory.Delta {
	return d.deployment.leavingSince(version, own)
}

// mergeLeaving passes on what another VM has heard, without what can't be used.
func (d *Daemon) mergeLeaving(delta advisory.Delta) {
	now := time.Now()
	delta.Leaving = slices.DeleteFunc(slices.Clone(delta.Leaving), func(l advisory.LeavingTarget) bool {
		if fleet.ValidName(l.Target) && fleet.ValidStart(l.Born, now) {
			return false
		}
		d.ignoreEntry("row_ignored", "peer", "leaving", 0, errs.New(errs.InvalidMessage, "a target that leaves has an invalid name, or the start "+strconv.FormatInt(l.Born, 10)))
		return true
	})
	d.deployment.mergeLeaving(delta)
}

func (d *Daemon) rateLimits() map[string]float64 { return d.deployment.rateLimits() }

func (d *Daemon) countAgainstLimit(target string) { d.deployment.countAgainstLimit(target) }

func (d *Daemon) takeFromLimit(target string, repeat bool) bool {
	return d.deployment.takeFromLimit(target, repeat)
}

// storeHealthChanged logs that calls to the store have begun to fail or to succeed again.
// When they begin to fail, it also repeats all watches.
func (d *Daemon) storeHealthChanged(healthy bool, err error) {
	if healthy {
		d.log.Info().Str(fieldEvent, "store_regained").Send()
		return
	}
	d.metrics.Add(metrics.EdgeStoreLost, 1)
	d.log.Warn().Str(fieldEvent, "store_lost").Err(err).Send()
	d.retryWatches()
}

// groupObserver logs and counts what the owners of groups on this VM do.
type groupObserver struct{ d *Daemon }

// GroupChanged implements groupserver.Observer.
func (o groupObserver) GroupChanged(group string, r tenure.Record, action tenure.Action, err error) {
	line := o.d.log.Info()
	if action == tenure.NoAction && err == nil {
		line = line.Bool("seen", true)
	} else {
		o.d.metrics.Count(metrics.EdgeGroupChanges, string(action)+" "+metrics.Label(err))
	}
	line.Str(fieldEvent, "group").Str(fieldGroup, group).Str(fieldOwner, r.Owner).Int64(fieldEpoch, r.Epoch).
		Bool("released", r.Released).Str(fieldAction, string(action)).Err(err).Send()
}

// ObjectIgnored implements groupserver.Observer.
func (o groupObserver) ObjectIgnored(object objectstore.Object, err error) {
	o.d.ignoreObject("group_ignored", object, err)
}

// Ordered implements groupserver.Observer. Polls for the end of a load, and unloads of
// adapters, are logged at debug level if they had the expected result. All other orders
// are logged at info level.
func (o groupObserver) Ordered(group string, epoch int64, order placer.Order, result placer.OrderResult, took time.Duration) {
	o.d.metrics.Count(metrics.EdgeOrders, string(order.Operation)+" "+string(result))
	o.d.metrics.Observe(metrics.EdgeOrderTime, took)
	if result != placer.Withheld && result != placer.NotSent {
		o.d.deployment.limits.countSent(order.Target, advisory.ByOrder)
	}
	line := o.d.log.Info()
	expected := result == placer.Accepted || result == placer.AlreadyApplied
	if expected && (order.Poll || order.Operation == placer.Unload) {
		line = o.d.log.Debug()
	}
	if order.Busy {
		line.Bool(fieldBusy, true)
		if !order.Poll && result == placer.Accepted {
			o.d.metrics.Add(metrics.EdgeReplicas, 1)
		}
	}
	line.Str(fieldEvent, "order").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldTarget, order.Target).
		Str(fieldAction, string(order.Operation)).Str(fieldAdapter, order.Adapter.Name).Int64(fieldVersion, order.Version).
		Int64(fieldPrecondition, order.Precondition).Str(fieldResult, string(result)).Dur(fieldTook, took).Send()
}

// Reported implements groupserver.Observer.
func (o groupObserver) Reported(group, target string, err error) {
	o.d.deployment.limits.countSent(target, advisory.ByOrder)
	o.d.log.Info().Str(fieldEvent, "report").Str(fieldGroup, group).Str(fieldTarget, target).Err(err).Send()
}

// ReportPartIgnored implements groupserver.Observer.
func (o groupObserver) ReportPartIgnored(target string, err error) {
	o.d.ignoreEntry("report_part_ignored", "report", target, 0, err)
}

// Granted implements groupserver.Observer.
func (o groupObserver) Granted(group string, epoch int64, command placer.GrantRequest) {
	o.d.metrics.Add(metrics.EdgeGrants, 1)
	o.d.metrics.Observe(metrics.EdgeGrantWait, command.Waited)
	o.d.deployment.limits.countSent(command.Grant.Target, grantedBy(command.Repeat))
	o.d.deployment.limits.countHold(command.Hold, heldGranted)
	o.d.countPause(command.Pause, heldGranted)
	o.countGrant(command.Organisation)
	line := o.d.log.Debug()
	if command.Waited > longGrantWait || o.d.grantLogSampler.allow(successesPerSecond) {
		line = o.d.log.Info()
	}
	if command.StreamsWait > 0 {
		line.Dur(fieldStreamsWait, command.StreamsWait)
		o.d.metrics.Add(metrics.EdgeStreamsHeld, 1)
	}
	logPause(logHold(line, command.Hold), command.Pause).Str(fieldEvent, "granted").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldRequest, command.Grant.Request).
		Str(fieldTarget, command.Grant.Target).Int64(fieldVersion, command.Grant.Version).
		Dur(fieldEstimate, command.Estimate).Dur(fieldBacklog, command.Backlog).Dur(fieldWaited, command.Waited).Send()
}

// Refused implements groupserver.Observer.
func (o groupObserver) Refused(group string, epoch int64, command placer.RefuseRequest) {
	o.d.metrics.Count(metrics.EdgeRefusals, string(command.Err.Code))
	o.d.deployment.limits.countHold(command.Hold, heldRefused)
	o.d.countPause(command.Pause, heldRefused)
	o.d.countRefusal(command)
	logAdmission(logPause(logHold(o.d.log.Info(), command.Hold), command.Pause), command).Str(fieldEvent, "refused").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldRequest, command.ID).
		Str(fieldReason, command.Err.Error()).Dur(fieldRetry, command.Err.Retry).Dur(fieldWaited, command.Waited).Send()
}

// Panicked implements groupserver.Observer.
func (o groupObserver) Panicked(place string, failure *errs.Error) { o.d.panicked(place, "", failure) }

// ownerObserver logs and counts changes in the reachability of owners of groups.
type ownerObserver struct{ d *Daemon }

// OwnerSilent implements groupclient.Observer.
func (o ownerObserver) OwnerSilent(group, owner string, epoch int64, silence time.Duration) {
	o.d.metrics.Add(metrics.EdgeOwnersSilent, 1)
	o.d.log.Warn().Str(fieldEvent, "owner_silent").Str(fieldGroup, group).Str(fieldOwner, owner).Int64(fieldEpoch, epoch).
		Dur(fieldSilence, silence).Send()
}

// OwnerRecovered implements groupclient.Observer.
func (o ownerObserver) OwnerRecovered(group, owner string, epoch int64) {
	o.d.log.Info().Str(fieldEvent, "owner_heard").Str(fieldGroup, group).Str(fieldOwner, owner).Int64(fieldEpoch, epoch).Send()
}

// requestObserver logs and counts the requests of callers.
type requestObserver struct{ d *Daemon }

// Finished implements gateway.Observer. The log lines of a request are written together
// when the request has ended. Those of failed, late and abandoned requests are written
// at info level, and so are those of hedged requests and of a sample of the others.
func (o requestObserver) Finished(s gateway.Summary) {
	o.countRequest(&s)
	level := zerolog.DebugLevel
	switch {
	case s.Trace.Failure != nil || s.Trace.Status >= firstErrorStatus || s.Late() || s.CallerLeft:
		level = zerolog.InfoLevel
	case s.Hedged():
		level = zerolog.InfoLevel
	case o.d.requestLogSampler.allow(successesPerSecond):
		level = zerolog.InfoLevel
	}
	if o.d.log.GetLevel() > level {
		return
	}
	o.logSteps(level, &s)
	line := o.describe(o.d.log.WithLevel(level).Str(fieldEvent, "finished"), &s)
	if s.Trace.Failure != nil {
		line.Str(fieldReason, s.Trace.Failure.Error()).Str(fieldRan, string(s.Trace.Failure.Ran))
	}
	line.Send()
}

// maxUnanswered is the number of requests whose lines are written when the process ends without
// an answer to them. All lines of a stop must fit in the log's buffer.
const maxUnanswered = 50

// unanswered logs and counts the requests that the end of the process cuts, after a drain that
// began at a time.
func (o requestObserver) unanswered(requests []gateway.Summary, drainBegan time.Time) {
	for i := range requests {
		s := &requests[i]
		sent, ran := "sent", errs.RanUnknown
		if s.Trace.Sent == 0 {
			sent, ran = "not_sent", errs.RanUnset
		}
		o.d.metrics.Count(metrics.EdgeUnanswered, string(s.Kind)+" "+sent)
		if i >= maxUnanswered {
			continue
		}
		o.describe(o.d.log.Info().Str(fieldEvent, "unanswered"), s).
			Dur(fieldArrived, s.Arrived.Sub(drainBegan)).Str(fieldReason, string(errs.Draining)+": the process ends before the request").
			Str(fieldRan, string(ran)).Send()
	}
}

// unansweredSteps logs the steps of the requests that the end of the process cuts.
func (o requestObserver) unansweredSteps(requests []gateway.Summary) {
	for i := range requests[:min(len(requests), maxUnanswered)] {
		o.logSteps(zerolog.InfoLevel, &requests[i])
	}
}

// describe adds the fields of a request to a line about its end.
func (o requestObserver) describe(line *zerolog.Event, s *gateway.Summary) *zerolog.Event {
	line.Str(fieldRequest, s.ID).Str(fieldRoute, s.Route).Str(fieldKind, string(s.Kind)).
		Str(fieldService, s.Service).Str(fieldAdapter, s.Adapter).Uint64(fieldConfig, s.ConfigVersion).
		Int(fieldStatus, s.Trace.Status).Str(fieldTarget, s.Trace.Target).Dur(fieldTook, s.Elapsed).Dur(fieldTimeLeft, s.TimeLeft)
	if s.Trace.Sent > 0 {
		line.Int(fieldSent, s.Trace.Sent).Dur(fieldSentAt, s.Trace.FirstSent).Str(fieldSentTo, s.Trace.LastSentTo)
	}
	if s.Trace.EventCount > 0 {
		line.Dur(fieldFirstEvent, s.Trace.TimeToFirstEvent).Dur(fieldGap, s.Trace.LongestGap).Int(fieldCount, s.Trace.EventCount).
			Dur(fieldLastEvent, s.Trace.LastEvent)
	}
	if s.Organisation != "" {
		line.Str(fieldOrganisation, s.Organisation)
	}
	if s.CallerLeft {
		line.Bool(fieldCallerLeft, true)
	}
	if s.Trace.Cut {
		line.Bool(fieldCut, true)
	}
	return line
}

// Panicked implements gateway.Observer.
func (o requestObserver) Panicked(request string, failure *errs.Error) {
	o.d.panicked("request", request, failure)
}

// panicked logs and counts a contained panic.
func (d *Daemon) panicked(place, request string, failure *errs.Error) {
	d.metrics.Count(metrics.EdgePanics, place)
	d.log.Error().Str(fieldEvent, "panic").Str(fieldRequest, request).Str(fieldAction, place).Str(fieldReason, failure.Error()).
		Strs("stack", failure.Details).Send()
}

// contain makes a panic in a call of another VM the failure of the call. It must be
// deferred.
func (d *Daemon) contain(place string, err *error) {
	if cause := recover(); cause != nil {
		failure := errs.FromPanic(cause)
		d.panicked(place, "", failure)
		*err = failure
	}
}

// logSteps writes the log lines of the steps of a request.
func (o requestObserver) logSteps(level zerolog.Level, s *gateway.Summary) {
	for i := range s.Trace.Steps {
		o.logStep(level, s, &s.Trace.Steps[i])
	}
}

// logStep writes the log line of one step of a request.
func (o requestObserver) logStep(level zerolog.Level, s *gateway.Summary, step *gateway.Step) {
	line := o.d.log.WithLevel(level).Str(fieldEvent, step.Name).Str(fieldRequest, s.ID).Str(fieldTarget, step.Target).Dur(fieldAt, step.At)
	if step.Detail != "" {
		line.Str(fieldReason, step.Detail)
	}
	if step.Estimate > 0 {
		line.Dur(fieldEstimate, step.Estimate).Str(fieldOwner, step.Owner).Int64(fieldVersion, step.Version)
	}
	logPause(logHold(line, step.Hold), step.Pause)
	if b := step.Break; b != nil {
		line.Strs(fieldParts, b.Parts).Int(fieldCount, b.EventCount).Bool(fieldCrashed, b.Crashed)
	}
	line.Send()
}

// countRequest updates the metrics of requests.
func (o requestObserver) countRequest(s *gateway.Summary) {
	m := o.d.metrics
	m.Count(metrics.EdgeRequests, string(s.Kind)+" "+strconv.Itoa(s.Trace.Status))
	m.Observe(metrics.EdgeLatency, s.Elapsed)
	if s.Trace.Failure != nil {
		m.Count(metrics.EdgeFailures, string(s.Trace.Failure.Code))
	}
	if s.Trace.Cut {
		m.Count(metrics.EdgeStreamsCut, string(s.Trace.Failure.Code))
	}
	if s.Trace.EventCount > 0 {
		m.Observe(metrics.EdgeFirstEvent, s.Trace.TimeToFirstEvent)
		m.Observe(metrics.EdgeEventGap, s.Trace.LongestGap)
	}
	switch {
	case s.FirstEventLate():
		m.Count(metrics.EdgeLate, "first_event")
	case s.EventGapLate():
		m.Count(metrics.EdgeLate, "pause")
	}
	for _, step := range s.Trace.Steps {
		switch step.Name {
		case gateway.StepFailed:
			m.Count(metrics.EdgeAttemptsFailed, step.Detail)
		case gateway.StepLimited:
			if step.Hold == nil {
				m.Count(metrics.EdgeLimitHeld, heldNoShare)
			}
		case gateway.StepSkipped:
			if step.Detail == gateway.DetailPauses {
				m.Count(metrics.EdgePauseHeld, heldSkipped)
			}
		case gateway.StepPlaced:
			if step.Owner == "" {
				m.Add(metrics.EdgeUngranted, 1)
			}
		case gateway.StepHedged:
			m.Count(metrics.EdgeHedges, "sent")
		case gateway.StepHedgeEnded:
			m.Count(metrics.EdgeHedges, step.Detail)
		case gateway.StepHedgeDenied:
			m.Count(metrics.EdgeHedgesDenied, step.Detail)
		case gateway.StepResumed:
			m.Add(metrics.EdgeStreamsResumed, 1)
		}
	}
}

// Malformed implements gateway.Observer.
func (o requestObserver) Malformed(input gateway.MalformedInput) {
	o.d.metrics.Count(metrics.EdgeMalformed, strconv.Itoa(input.Status))
	level := zerolog.InfoLevel
	if input.Status == fasthttp.StatusServiceUnavailable && !o.d.memoryLogSampler.allow(refusalsPerSecond) {
		level = zerolog.DebugLevel // logMemory counts them
	}
	o.d.log.WithLevel(level).Str(fieldEvent, "malformed").Int(fieldStatus, input.Status).Int64(fieldBytesRead, input.BytesRead).
		Int(fieldNumber, input.Request).Err(input.Err).Send()
}

// acceptFailed logs that a connection could not be accepted for lack of resources.
func (d *Daemon) acceptFailed(err error) {
	d.log.Warn().Str(fieldEvent, "accept_failed").Err(err).Send()
}

// serveMetrics serves the metrics if the settings name a port. It returns once the port
// is open. The windows of the latencies are rotated until ctx ends.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.settings.MetricsPort == 0 {
		return nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.MetricsPort)))
	if err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for metrics")
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != metricsPath {
			c.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		d.updateGauges()
		c.SetContentType("text/plain; charset=utf-8")
		_, _ = fmt.Fprintf(c, "{\"cicadaslip\": %s}\n", d.metrics.Var())
	}}
	go func() { _ = server.Serve(acceptretry.New(l, d.acceptFailed)) }() // serves until the process ends
	d.runInBackground(ctx, "metrics", func(ctx context.Context) {
		ticker := time.NewTicker(metrics.RotateInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				d.metrics.Rotate()
			}
		}
	})
	return nil
}

// updateGauges sets the metrics whose values are kept by other parts of the daemon.
func (d *Daemon) updateGauges() {
	d.metrics.Set(metrics.EdgeInFlight, int64(d.gateway.InFlight()))
	d.metrics.Set(metrics.EdgeGroupsOwned, int64(len(d.groups.OwnedGroups())))
	d.metrics.Set(metrics.EdgeConfigVersion, int64(d.configVersion()))
	d.metrics.Set(metrics.EdgeVMs, int64(d.placement.VMs()))
	d.metrics.Set(metrics.EdgeTargetConnections, d.upstream.OpenedConnections())
	for service, count := range d.deployment.pausedByService() {
		d.metrics.SetLabel(metrics.EdgeTargetsPaused, service, count)
	}
	for service, count := range d.deployment.leavingByService() {
		d.metrics.SetLabel(metrics.EdgeTargetsLeaving, service, count)
	}
	d.updateLimitGauges()
	d.updateMemoryGauges()
	if h, ok := d.hedging.(*hedging); ok {
		for service, delay := range h.delays() {
			d.metrics.SetLabel(metrics.EdgeHedgeDelay, service, delay.Milliseconds())
		}
	}
	waiting, age := d.groups.QueueStats()
	d.metrics.Set(metrics.EdgeQueue, int64(waiting))
	d.metrics.Set(metrics.EdgeQueueAge, age.Milliseconds())
	d.metrics.Set(metrics.EdgeViewAge, d.relay.ageMs())
	if d.settings.DroppedLogLines != nil {
		d.metrics.Set(metrics.EdgeLogLinesDropped, d.settings.DroppedLogLines())
	}
}
