package edge

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

const (
	metricsPath = "/metrics"
	// successLines is the number of requests that succeeded, in a second, whose lines
	// are written. Those of failed and late requests are always.
	successLines = 1
	// longWait is the wait for a target from which the owner's decision is written.
	longWait = 300 * time.Millisecond
	// clientError is the first status of failures.
	clientError = 400
)

// sampler lets a number of lines through in each second.
type sampler struct {
	second atomic.Int64
	used   atomic.Int64
}

func (s *sampler) take(most int64) bool {
	now := time.Now().Unix()
	if s.second.Swap(now) != now {
		s.used.Store(0)
	}
	return s.used.Add(1) <= most
}

func (d *Daemon) target(id string) (fleet.Target, bool) { return d.deployment.target(id) }

func (d *Daemon) storeChanged(fine bool, err error) {
	if fine {
		d.log.Info().Str(fieldEvent, "store_regained").Send()
		return
	}
	d.metrics.Add(metrics.EdgeStoreState, 1)
	d.log.Warn().Str(fieldEvent, "store_lost").Err(err).Send()
	d.storeTrouble()
}

type groupObserver struct{ d *Daemon }

// GroupChanged implements groupserver.Observer.
func (o groupObserver) GroupChanged(group string, r tenure.Record, action tenure.Action, err error) {
	line := o.d.log.Info()
	if action == tenure.Nothing && err == nil {
		line = line.Bool("seen", true)
	} else {
		o.d.metrics.Count(metrics.EdgeGroupChanges, string(action)+" "+metrics.Label(err))
	}
	line.Str(fieldEvent, "group").Str(fieldGroup, group).Str(fieldOwner, r.Owner).Int64(fieldEpoch, r.Epoch).
		Bool("released", r.Released).Str(fieldAction, string(action)).Err(err).Send()
}

// Ordered implements groupserver.Observer. Questions whether a load has ended, and
// adapters dropped as expected, are written at debug level only.
func (o groupObserver) Ordered(group string, epoch int64, order placer.Order, result placer.Result, took time.Duration) {
	o.d.metrics.Count(metrics.EdgeOrders, string(order.Operation)+" "+string(result))
	o.d.metrics.Observe(metrics.EdgeOrderTime, took)
	line := o.d.log.Info()
	expected := result == placer.Accepted || result == placer.Holds
	if expected && (order.Poll || order.Operation == placer.Unload) {
		line = o.d.log.Debug()
	}
	line.Str(fieldEvent, "order").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldTarget, order.Target).
		Str(fieldAction, string(order.Operation)).Str(fieldAdapter, order.Adapter.Name).Int64(fieldVersion, order.Version).
		Int64(fieldPrecondition, order.Precondition).Str(fieldResult, string(result)).Dur(fieldTook, took).Send()
}

// Reported implements groupserver.Observer.
func (o groupObserver) Reported(group, target string, err error) {
	o.d.log.Info().Str(fieldEvent, "report").Str(fieldGroup, group).Str(fieldTarget, target).Err(err).Send()
}

// Granted implements groupserver.Observer.
func (o groupObserver) Granted(group string, epoch int64, c placer.GrantRequest) {
	o.d.metrics.Add(metrics.EdgeGrants, 1)
	o.d.metrics.Observe(metrics.EdgeGrantWait, c.Waited)
	line := o.d.log.Debug()
	if c.Waited > longWait || o.d.grantLines.take(successLines) {
		line = o.d.log.Info()
	}
	line.Str(fieldEvent, "granted").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldRequest, c.Grant.Request).
		Str(fieldTarget, c.Grant.Target).Int64(fieldVersion, c.Grant.Version).
		Dur(fieldEstimate, c.Estimate).Dur(fieldBacklog, c.Backlog).Dur(fieldWaited, c.Waited).Send()
}

// Refused implements groupserver.Observer.
func (o groupObserver) Refused(group string, epoch int64, c placer.RefuseRequest) {
	o.d.metrics.Count(metrics.EdgeRefusals, string(c.Err.Code))
	o.d.log.Info().Str(fieldEvent, "refused").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldRequest, c.ID).
		Str(fieldReason, c.Err.Error()).Dur(fieldRetry, c.Err.Retry).Dur(fieldWaited, c.Waited).Send()
}

type ownerObserver struct{ d *Daemon }

// OwnerSilent implements groupclient.Observer.
func (o ownerObserver) OwnerSilent(group, owner string, epoch int64, silence time.Duration) {
	o.d.metrics.Add(metrics.EdgeOwnersSilent, 1)
	o.d.log.Warn().Str(fieldEvent, "owner_silent").Str(fieldGroup, group).Str(fieldOwner, owner).Int64(fieldEpoch, epoch).
		Dur(fieldSilence, silence).Send()
}

// OwnerHeard implements groupclient.Observer.
func (o ownerObserver) OwnerHeard(group, owner string, epoch int64) {
	o.d.log.Info().Str(fieldEvent, "owner_heard").Str(fieldGroup, group).Str(fieldOwner, owner).Int64(fieldEpoch, epoch).Send()
}

type requestObserver struct{ d *Daemon }

// Finished implements gateway.Observer. The lines of one request are written
// together at its end: those of all that failed or were late, and some of the rest.
func (o requestObserver) Finished(s gateway.Summary) {
	o.count(&s)
	level := zerolog.DebugLevel
	switch {
	case s.Trace.Failure != nil || s.Trace.Status >= clientError || s.Late() || s.CallerLeft:
		level = zerolog.InfoLevel
	case o.d.requestLines.take(successLines):
		level = zerolog.InfoLevel
	}
	if o.d.log.GetLevel() > level {
		return
	}
	for i := range s.Trace.Steps {
		o.step(level, &s, &s.Trace.Steps[i])
	}
	line := o.d.log.WithLevel(level).Str(fieldEvent, "finished").Str(fieldRequest, s.ID).Str(fieldRoute, s.Route).
		Str(fieldService, s.Service).Str(fieldAdapter, s.Adapter).Uint64(fieldConfig, s.ConfigVersion).
		Int(fieldStatus, s.Trace.Status).Str(fieldTarget, s.Trace.Target).Dur(fieldTook, s.Elapsed).Dur(fieldLeft, s.TimeLeft)
	if s.Trace.EventCount > 0 {
		line.Dur(fieldFirst, s.Trace.TimeToFirstEvent).Dur(fieldGap, s.Trace.LongestGap).Int(fieldCount, s.Trace.EventCount)
	}
	if s.CallerLeft {
		line.Bool(fieldGone, true)
	}
	if s.Trace.Failure != nil {
		line.Str(fieldReason, s.Trace.Failure.Error()).Str(fieldRan, string(s.Trace.Failure.Ran))
	}
	line.Send()
}

func (o requestObserver) step(level zerolog.Level, s *gateway.Summary, step *gateway.Step) {
	line := o.d.log.WithLevel(level).Str(fieldEvent, step.Name).Str(fieldRequest, s.ID).Str(fieldTarget, step.Target).Dur(fieldAt, step.At)
	if step.Detail != "" {
		line.Str(fieldReason, step.Detail)
	}
	if step.Estimate > 0 {
		line.Dur(fieldEstimate, step.Estimate).Str(fieldOwner, step.Owner).Int64(fieldVersion, step.Version)
	}
	line.Send()
}

func (o requestObserver) count(s *gateway.Summary) {
	m := o.d.metrics
	m.Count(metrics.EdgeRequests, string(s.Kind)+" "+strconv.Itoa(s.Trace.Status))
	m.Observe(metrics.EdgeLatency, s.Elapsed)
	if s.Trace.Failure != nil {
		m.Count(metrics.EdgeFailures, string(s.Trace.Failure.Code))
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
			m.Count(metrics.EdgeAttempts, step.Detail)
		case gateway.StepResumed:
			m.Add(metrics.EdgeResumed, 1)
		}
	}
}

// Malformed implements gateway.Observer.
func (o requestObserver) Malformed(status int, err error) {
	o.d.metrics.Count(metrics.EdgeMalformed, strconv.Itoa(status))
	o.d.log.Info().Str(fieldEvent, "malformed").Int(fieldStatus, status).Err(err).Send()
}

// serveMetrics serves the metrics until ctx ends, if the settings name a port.
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
		d.sample()
		c.SetContentType("text/plain; charset=utf-8")
		_, _ = fmt.Fprintf(c, "{\"cicadaslip\": %s}\n", d.metrics.Var())
	}}
	go func() { _ = server.Serve(l) }() // ends with the process
	d.goRun(func() {
		ticker := time.NewTicker(metrics.RotateEvery)
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

// sample enters the values that other parts keep.
func (d *Daemon) sample() {
	d.metrics.Set(metrics.EdgeInFlight, int64(d.gateway.InFlight()))
	d.metrics.Set(metrics.EdgeGroupsOwned, int64(len(d.groups.Owned())))
	d.metrics.Set(metrics.EdgeConfigVersion, int64(d.configVersion()))
	d.metrics.Set(metrics.EdgeVMs, int64(d.placement.VMs()))
	d.metrics.Set(metrics.EdgeConnections, d.upstream.OpenedConnections())
	waiting, age := d.groups.Queue()
	d.metrics.Set(metrics.EdgeQueue, int64(waiting))
	d.metrics.Set(metrics.EdgeQueueAge, age.Milliseconds())
	d.metrics.Set(metrics.EdgeViewAge, d.relay.age())
	if d.settings.LogDropped != nil {
		d.metrics.Set(metrics.EdgeLogDropped, d.settings.LogDropped())
	}
}
