package edge

import (
	"cmp"
	"slices"
	"time"

	"cicadaslip/internal/fleet"
)

// targetChangeKind is what happened to a target.
type targetChangeKind string

// Kinds of changes of targets. The log events are named after them.
const (
	targetUp        targetChangeKind = "up"
	targetRestarted targetChangeKind = "restarted"
	targetLeaving   targetChangeKind = "leaving"
	targetStaying   targetChangeKind = "staying" // no longer leaving, and not restarted
	targetGone      targetChangeKind = "gone"
)

// targetChange is a change of a target in this VM's view.
type targetChange struct {
	target fleet.Target
	kind   targetChangeKind
	source string        // who heard the target say so, empty if its description tells it
	age    time.Duration // since the target said that it leaves, 0 if its description alone tells it
}

// diffTargets returns the changes between two tables of targets, sorted by target ID.
func diffTargets(before, after map[string]fleet.Target) []targetChange {
	var changes []targetChange
	for id, t := range after {
		old, known := before[id]
		switch {
		case t.Leaving && (!known || !old.Leaving):
			changes = append(changes, targetChange{target: t, kind: targetLeaving})
		case !known:
			changes = append(changes, targetChange{target: t, kind: targetUp})
		case t.Born != old.Born:
			changes = append(changes, targetChange{target: t, kind: targetRestarted})
		case old.Leaving && !t.Leaving:
			changes = append(changes, targetChange{target: t, kind: targetStaying})
		}
	}
	for id, t := range before {
		if _, present := after[id]; !present {
			changes = append(changes, targetChange{target: t, kind: targetGone})
		}
	}
	slices.SortFunc(changes, func(a, b targetChange) int { return cmp.Compare(a.target.ID, b.target.ID) })
	return changes
}

// logTargetChanges logs each change of a target in this VM's view since the last call.
func (d *Daemon) logTargetChanges(source string) {
	for _, c := range d.deployment.takeChanges() {
		line := d.log.Info().Str(fieldEvent, "target_"+string(c.kind)).Str(fieldTarget, c.target.ID).
			Str(fieldService, c.target.Service).Str(fieldAddress, c.target.Address).Int64(fieldBorn, c.target.Born)
		line.Str(fieldSource, cmp.Or(c.source, source))
		if c.source != "" || c.age > 0 {
			line.Dur(fieldAge, c.age)
		}
		line.Send()
	}
}
