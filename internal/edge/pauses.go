package edge

import (
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/placer"
)

// pauseChange is the begin or end of a target's pause for this VM.
type pauseChange struct {
	advisory.PauseChange
	target fleet.Target // only with the ID if it is not in use
}

// PausedFor implements gateway.Fleet.
func (d *deployment) PausedFor(target string, born int64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pausedFor(target, born)
}

// pausedFor returns the rest of a target's pause. The caller holds d.mu.
func (d *deployment) pausedFor(target string, born int64) time.Duration {
	return d.statements.PausedFor(d.now(), advisory.Incarnation{Target: target, Born: max(born, d.targets[target].Born)})
}

// takeCall reports whether this VM may make a call to a target, which it may once during a
// pause.
func (d *deployment) takeCall(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statements.TakeCall(d.now(), advisory.Incarnation{Target: target, Born: d.targets[target].Born})
}

// recordPause records that an incarnation of a target has just asked this VM for a pause.
func (d *deployment) recordPause(target string, born int64, pause time.Duration) {
	d.mu.Lock()
	d.statements.ObservePause(d.now(), advisory.Incarnation{Target: target, Born: born}, pause)
	d.mu.Unlock()
	d.pausesChanged()
}

// ServicePausedFor implements gateway.Fleet.
func (d *deployment) ServicePausedFor(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.statements.Pauses(d.now())) == 0 {
		return 0
	}
	shortest := time.Duration(0)
	for _, t := range d.targets {
		if t.Service != service || t.Leaving {
			continue
		}
		left := d.pausedFor(t.ID, t.Born)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// pauses returns the targets that want no requests from this VM now.
func (d *deployment) pauses() []advisory.Pause {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statements.Pauses(d.now())
}

// unpickable returns the targets to which this VM may send no request by its own choice now.
// The caller holds d.mu.
func (d *deployment) unpickable(now time.Duration) []string {
	all := d.statements.Exhausted(now)
	for _, p := range d.statements.Pauses(now) {
		all = append(all, p.Target)
	}
	return all
}

// pausedByService returns the number of targets that want no requests from this VM, by service.
func (d *deployment) pausedByService() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string]int64{}
	for service := range d.balancers {
		counts[service] = 0
	}
	for _, p := range d.statements.Pauses(d.now()) {
		if t, found := d.targets[p.Target]; found {
			counts[t.Service]++
		}
	}
	return counts
}

// takePauseChanges returns the pauses that have begun or ended since its last call. At the
// next end it calls pausesChanged.
func (d *deployment) takePauseChanges() []pauseChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var changes []pauseChange
	for _, c := range d.statements.PauseChanges(now) {
		target, found := d.targets[c.Target]
		if !found {
			target.ID = c.Target
		}
		changes = append(changes, pauseChange{c, target})
	}
	if pauses := d.statements.Pauses(now); len(pauses) > 0 {
		next := pauses[0].Left
		for _, p := range pauses {
			next = min(next, p.Left)
		}
		if d.pauseTimer == nil {
			d.pauseTimer = time.AfterFunc(next, d.pausesChanged)
		} else {
			d.pauseTimer.Reset(next)
		}
	}
	return changes
}

// logPause adds the pause that has held a request up to a log line, if there is one.
func logPause(line *zerolog.Event, hold *placer.PauseHold) *zerolog.Event {
	if hold == nil {
		return line
	}
	return line.Str(fieldPausedBy, hold.Target).Dur(fieldPauseWait, hold.Waited)
}

// countPause counts a request that a pause has held up, if one has.
func (d *Daemon) countPause(hold *placer.PauseHold, label string) {
	if hold != nil {
		d.metrics.Count(metrics.EdgePauseHeld, label)
	}
}

// logPauseChanges logs each begin and end of a pause since the last call.
func (d *Daemon) logPauseChanges() {
	for _, c := range d.deployment.takePauseChanges() {
		event, left := "target_paused", c.Left
		if c.Ended {
			event, left = "target_pause_ended", 0
		}
		d.log.Info().Str(fieldEvent, event).Str(fieldTarget, c.target.ID).Str(fieldService, c.target.Service).
			Str(fieldAddress, c.target.Address).Int64(fieldBorn, c.Born).Str(fieldSource, sourceAnswer).
			Dur(fieldTimeLeft, left).Dur(fieldAge, c.Age).Send()
	}
}

func (d *Daemon) pauses() []advisory.Pause { return d.deployment.pauses() }

// heardInCall records what a target states in its answer to an order or a request for a report.
func (d *Daemon) heardInCall(target string, born int64, s advisory.CallStatement) {
	for _, field := range s.Invalid {
		d.deployment.IgnoreStatement(field)
	}
	if s.Pause > 0 {
		d.deployment.recordPause(target, born, s.Pause)
	}
}

func (d *Daemon) takeCall(target string) bool { return d.deployment.takeCall(target) }

func (d *Daemon) pausedFor(target string) time.Duration { return d.deployment.PausedFor(target, 0) }
