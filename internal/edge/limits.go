package edge

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/placer"
)

const (
	// limitLogInterval is the time between two checks for limits to log.
	limitLogInterval = 250 * time.Millisecond
	secondsPerMinute = 60
)

// Labels of metrics.EdgeLimitHeld.
const (
	heldGranted = "granted"
	heldRefused = "refused"
	heldNoShare = "no_share"
	heldSkipped = "skipped" // only by pauses
)

// limitKeeper watches and counts the limits that targets have named.
type limitKeeper struct {
	metrics *metrics.Registry

	mu    sync.Mutex
	watch *advisory.LimitWatch
}

func newLimitKeeper(m *metrics.Registry) *limitKeeper {
	return &limitKeeper{metrics: m, watch: advisory.NewLimitWatch()}
}

// countSent counts a request or an order that is sent to a target, if the target is limited.
func (k *limitKeeper) countSent(target string, by advisory.Sender) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.watch.CountSent(target, by) {
		k.metrics.Count(metrics.EdgeLimitSent, string(by))
	}
}

// countHold counts a request that limits have held up, if they have.
func (k *limitKeeper) countHold(hold *placer.LimitHold, label string) {
	if hold != nil {
		k.metrics.Count(metrics.EdgeLimitHeld, label)
	}
}

func (k *limitKeeper) update(now time.Duration, limits map[string]advisory.Limit) []advisory.LimitReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.watch.Update(now, limits)
}

// grantedBy and chosenBy return the sender of a request. repeat tells that another target has
// had the request before.
func grantedBy(repeat bool) advisory.Sender {
	if repeat {
		return advisory.ByGrantRepeat
	}
	return advisory.ByGrant
}

func chosenBy(repeat bool) advisory.Sender {
	if repeat {
		return advisory.ByChoiceRepeat
	}
	return advisory.ByChoice
}

// logHold adds the limit that has held a request up to a log line, if there is one.
func logHold(line *zerolog.Event, hold *placer.LimitHold) *zerolog.Event {
	if hold == nil {
		return line
	}
	return line.Str(fieldLimitedBy, hold.Target).Float64(fieldLimit, hold.PerSecond).Dur(fieldLimitWait, hold.Waited)
}

// statedLimits returns the limits that targets have named to this VM.
func (d *deployment) statedLimits() map[string]advisory.Limit {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]advisory.Limit{}
	for id, l := range d.statements.StatedLimits() {
		t := d.targets[id]
		all[id] = advisory.Limit{Service: t.Service, Born: t.Born, PerSecond: l.PerSecond, Source: advisory.Answer, Since: l.Since}
	}
	return all
}

// limitsInForce returns the limits by which this VM chooses targets for itself, and for other
// VMs as an owner. What it was told as an owner counts where the two differ.
func (d *Daemon) limitsInForce() map[string]advisory.Limit {
	all := d.deployment.statedLimits()
	now := d.deployment.now()
	for id, l := range d.groups.LimitedTargets() {
		if own, found := all[id]; found && own.PerSecond == l.PerSecond {
			continue
		}
		t, _ := d.deployment.usableTarget(id)
		all[id] = advisory.Limit{Service: t.Service, Born: l.Born, PerSecond: l.PerSecond, Source: advisory.Told, Since: now - l.Age}
	}
	return all
}

// logLimits logs begin, change, use and end of limits until ctx ends.
func (d *Daemon) logLimits(ctx context.Context) {
	ticker := time.NewTicker(limitLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.deployment.now()
		for _, r := range d.deployment.limits.update(now, d.limitsInForce()) {
			d.logLimit(now, r)
		}
	}
}

func (d *Daemon) logLimit(now time.Duration, r advisory.LimitReport) {
	line := d.log.Info().Str(fieldEvent, "target_"+string(r.Event)).Str(fieldTarget, r.Target).Str(fieldService, r.Limit.Service).
		Int64(fieldBorn, r.Limit.Born).Float64(fieldLimit, r.Limit.PerSecond).Str(fieldSource, string(r.Limit.Source)).
		Dur(fieldAge, now-r.Limit.Since)
	if r.Event == advisory.LimitChanges {
		line.Float64(fieldLimitBefore, r.Before)
	}
	for _, by := range advisory.Senders {
		if count := r.Sent[by]; count > 0 {
			line.Int(string(by), count)
		}
	}
	line.Send()
}

// updateLimitGauges sets the metrics of the limits in force.
func (d *Daemon) updateLimitGauges() {
	services, _ := d.deployment.servicesAndTargets()
	counts, sums := map[string]int64{}, map[string]float64{}
	for service := range services {
		counts[service], sums[service] = 0, 0
	}
	for _, l := range d.limitsInForce() {
		counts[l.Service]++
		sums[l.Service] += l.PerSecond
	}
	for service, count := range counts {
		d.metrics.SetLabel(metrics.EdgeTargetsLimited, service, count)
		d.metrics.SetLabel(metrics.EdgeLimits, service, int64(math.Round(secondsPerMinute*sums[service])))
	}
}
