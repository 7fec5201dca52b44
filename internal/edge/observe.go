package edge

import (
	"time"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

type fleetRegistry = fleet.Registry

// Names of the fields of log lines.
const (
	fieldEvent      = "event"
	fieldRequest    = "request"
	fieldRoute      = "route"
	fieldService    = "service"
	fieldTarget     = "target"
	fieldAdapter    = "adapter"
	fieldVersion    = "version"
	fieldConfig     = "config"
	fieldGroup      = "group"
	fieldOwner      = "owner"
	fieldEpoch      = "epoch"
	fieldStatus     = "status"
	fieldReason     = "reason"
	fieldAction     = "action"
	fieldResult     = "result"
	fieldTook       = "took_ms"
	fieldAt         = "at_ms"
	fieldEstimate   = "estimate_ms"
	fieldBacklog    = "backlog_ms"
	fieldWaited     = "waited_ms"
	fieldLeft       = "left_ms"
	fieldCount      = "count"
	fieldSource     = "source"
	fieldAddress    = "address"
	fieldDataCentre = "data_centre"
	fieldSilence    = "silence_ms"
	fieldFirst      = "first_ms"
	fieldGap        = "gap_ms"
	fieldGone       = "caller_left"
)

func (d *Daemon) target(id string) (fleet.Target, bool) { return d.deployment.target(id) }

func (d *Daemon) storeChanged(fine bool, err error) {
	if fine {
		d.log.Info().Str(fieldEvent, "store_regained").Send()
		return
	}
	d.log.Warn().Str(fieldEvent, "store_lost").Err(err).Send()
	d.storeTrouble()
}

type groupObserver struct{ d *Daemon }

// GroupChanged implements groupserver.Observer.
func (o groupObserver) GroupChanged(group string, r tenure.Record, action tenure.Action, err error) {
	o.d.log.Info().Str(fieldEvent, "group").Str(fieldGroup, group).Str(fieldOwner, r.Owner).Int64(fieldEpoch, r.Epoch).
		Bool("released", r.Released).Str(fieldAction, string(action)).Err(err).Send()
}

// Ordered implements groupserver.Observer.
func (o groupObserver) Ordered(group string, epoch int64, order placer.Order, result placer.Result, took time.Duration) {
	o.d.log.Debug().Str(fieldEvent, "order").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldTarget, order.Target).
		Str(fieldAction, string(order.Operation)).Str(fieldAdapter, order.Adapter.Name).Int64(fieldVersion, order.Version).
		Int64("precondition", order.Precondition).Str(fieldResult, string(result)).Dur(fieldTook, took).Send()
}

// Reported implements groupserver.Observer.
func (o groupObserver) Reported(group, target string, err error) {
	o.d.log.Debug().Str(fieldEvent, "report").Str(fieldGroup, group).Str(fieldTarget, target).Err(err).Send()
}

// Granted implements groupserver.Observer.
func (o groupObserver) Granted(group string, epoch int64, c placer.GrantRequest) {
	o.d.log.Debug().Str(fieldEvent, "granted").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldRequest, c.Grant.Request).
		Str(fieldTarget, c.Grant.Target).Dur(fieldEstimate, c.Estimate).Dur(fieldBacklog, c.Backlog).Dur(fieldWaited, c.Waited).Send()
}

// Refused implements groupserver.Observer.
func (o groupObserver) Refused(group string, epoch int64, c placer.RefuseRequest) {
	o.d.log.Info().Str(fieldEvent, "refused").Str(fieldGroup, group).Int64(fieldEpoch, epoch).Str(fieldRequest, c.ID).
		Str(fieldReason, c.Err.Error()).Dur(fieldWaited, c.Waited).Send()
}

type ownerObserver struct{ d *Daemon }

// OwnerSilent implements groupclient.Observer.
func (o ownerObserver) OwnerSilent(group, owner string, epoch int64, silence time.Duration) {
	o.d.log.Warn().Str(fieldEvent, "owner_silent").Str(fieldGroup, group).Str(fieldOwner, owner).Int64(fieldEpoch, epoch).
		Dur(fieldSilence, silence).Send()
}

// OwnerHeard implements groupclient.Observer.
func (o ownerObserver) OwnerHeard(group, owner string, epoch int64) {
	o.d.log.Info().Str(fieldEvent, "owner_heard").Str(fieldGroup, group).Str(fieldOwner, owner).Int64(fieldEpoch, epoch).Send()
}

type requestObserver struct{ d *Daemon }

// Finished implements gateway.Observer.
func (o requestObserver) Finished(s gateway.Summary) {
	line := o.d.log.Debug()
	if s.Trace.Failure != nil || s.Trace.Status >= 400 {
		line = o.d.log.Info()
	}
	for _, step := range s.Trace.Steps {
		o.d.log.Debug().Str(fieldEvent, step.Name).Str(fieldRequest, s.ID).Str(fieldTarget, step.Target).
			Str(fieldReason, step.Detail).Dur(fieldAt, step.At).Dur(fieldEstimate, step.Estimate).Send()
	}
	line.Str(fieldEvent, "finished").Str(fieldRequest, s.ID).Str(fieldRoute, s.Route).Str(fieldAdapter, s.Adapter).
		Uint64(fieldConfig, s.Config).Int(fieldStatus, s.Trace.Status).Str(fieldTarget, s.Trace.Target).
		Dur(fieldFirst, s.Trace.First).Dur(fieldGap, s.Trace.Gap).Int(fieldCount, s.Trace.Events).
		Bool(fieldGone, s.Left).Dur(fieldTook, s.Took).Dur(fieldLeft, s.TimeLeft)
	if s.Trace.Failure != nil {
		line.Str(fieldReason, s.Trace.Failure.Error())
	}
	line.Send()
}

// Malformed implements gateway.Observer.
func (o requestObserver) Malformed(status int, err error) {
	o.d.log.Info().Str(fieldEvent, "malformed").Int(fieldStatus, status).Err(err).Send()
}
