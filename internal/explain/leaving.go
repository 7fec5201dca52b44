package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// targetEvents are the state changes that concern the life of one target.
var targetEvents = map[string]bool{
	"target_up": true, "target_leaving": true, "target_restarted": true, "target_gone": true, "target_staying": true,
}

// describeLeaving describes which targets a request did not get because they leave: all of its
// service if it was refused, as each VM knew that had a part in the refusal, or else those whose
// grants were not used.
func describeLeaving(requestLines, allLines []Line) []string {
	var service string
	var at time.Time
	vms, skipped := map[string]bool{}, map[string]bool{}
	for _, l := range requestLines {
		switch {
		case l.Event == "finished" && stringField(l.Fields, "ran") == "not_run":
			service, at, vms[l.VM] = stringField(l.Fields, "service"), l.Time, true
		case l.Event == "refused":
			vms[l.VM] = true
		case l.Event == "skipped":
			skipped[stringField(l.Fields, "target")], at, vms[l.VM] = true, l.Time, true
		}
	}
	var descriptions []string
	for _, vm := range slices.Sorted(maps.Keys(vms)) {
		leaving, staying := leavingTargets(vm, at, allLines)
		var all, used []string
		for _, target := range slices.Sorted(maps.Keys(leaving)) {
			l := leaving[target]
			text := fmt.Sprintf("%s for %.3f s (%s)", target, at.Sub(leavingSince(l)).Seconds(), stringField(l.Fields, "source"))
			if service != "" && stringField(l.Fields, "service") == service {
				all = append(all, text)
			}
			if skipped[target] {
				used = append(used, text)
			}
		}
		switch {
		case len(all) > 0 && !staying[service]:
			descriptions = append(descriptions, fmt.Sprintf("%s knew that all targets of %s leave: %s", vm, service, strings.Join(all, ", ")))
		case len(used) > 0:
			descriptions = append(descriptions, fmt.Sprintf("%s did not use the grants of %s", vm, strings.Join(used, ", ")))
		}
	}
	return descriptions
}

// leavingTargets returns the lines about the targets that leave, as a VM knew at a time, and the
// services that had others.
func leavingTargets(vm string, at time.Time, lines []Line) (leaving map[string]Line, staying map[string]bool) {
	last := map[string]Line{}
	for _, l := range lines {
		target := stringField(l.Fields, "target")
		if l.VM != vm || !targetEvents[l.Event] || l.Time.After(at) {
			continue
		}
		if known, found := last[target]; !found || compareStamps(known, l) <= 0 {
			last[target] = l
		}
	}
	leaving, staying = map[string]Line{}, map[string]bool{}
	for target, l := range last {
		switch l.Event {
		case "target_leaving":
			leaving[target] = l
		case "target_gone":
		default:
			staying[stringField(l.Fields, "service")] = true
		}
	}
	return leaving, staying
}

// leavingSince returns the time at which the target of a line first said that it leaves.
func leavingSince(l Line) time.Time {
	age, _ := l.Fields["age_ms"].(float64)
	return l.Time.Add(-time.Duration(age * float64(time.Millisecond)))
}
