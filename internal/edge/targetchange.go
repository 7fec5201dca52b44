package edge

import (
	"cmp"
	"slices"

	"cicadaslip/internal/fleet"
)

// targetState is what a VM believes of a target.
type targetState string

// States of targets, as the log names them.
const (
	targetUp        targetState = "up"
	targetRestarted targetState = "restarted"
	targetLeaving   targetState = "leaving"
	targetGone      targetState = "gone"
)

// targetChange is a change of what this VM believes of a target.
type targetChange struct {
	target fleet.Target
	state  targetState
}

// compareTargets returns the changes between two tables, in order of identifiers.
func compareTargets(before, after map[string]fleet.Target) []targetChange {
	var changes []targetChange
	for id, t := range after {
		old, known := before[id]
		switch {
		case t.Leaving && (!known || !old.Leaving):
			changes = append(changes, targetChange{t, targetLeaving})
		case !known:
			changes = append(changes, targetChange{t, targetUp})
		case t.Born != old.Born:
			changes = append(changes, targetChange{t, targetRestarted})
		}
	}
	for id, t := range before {
		if _, present := after[id]; !present {
			changes = append(changes, targetChange{t, targetGone})
		}
	}
	slices.SortFunc(changes, func(a, b targetChange) int { return cmp.Compare(a.target.ID, b.target.ID) })
	return changes
}

// logTargets writes a line for each change of what this VM believes of a target.
func (d *Daemon) logTargets(source string) {
	for _, c := range d.deployment.takeChanges() {
		d.log.Info().Str(fieldEvent, "target_"+string(c.state)).Str(fieldTarget, c.target.ID).
			Str(fieldService, c.target.Service).Str(fieldAddress, c.target.Address).Int64(fieldBorn, c.target.Born).
			Str(fieldSource, source).Send()
	}
}
