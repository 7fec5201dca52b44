package timeline

import "sort"

// Merged is the timeline of several processes.
type Merged struct {
	Events      []Event
	Overwritten uint64   // events overwritten in the rings since the processes started
	Omitted     int      // matching events left out because of Filter.Limit
	NoAnswer    []string // processes that did not answer, so that their events are missing
}

// Merge combines the answers of several processes into one order in which every event
// comes after the events that caused it. Events without a causal relation are ordered by
// the wall time of their stamps, and events with the same stamp by VM.
func Merge(answers []Answer) Merged {
	var merged Merged
	for _, answer := range answers {
		if answer.NoAnswer {
			merged.NoAnswer = append(merged.NoAnswer, answer.Process)
			continue
		}
		merged.Events = append(merged.Events, answer.Events...)
		merged.Overwritten += answer.Overwritten
		merged.Omitted += answer.Omitted
	}
	sort.SliceStable(merged.Events, func(i, j int) bool {
		a, b := merged.Events[i], merged.Events[j]
		if a.Stamp != b.Stamp {
			return a.Stamp.Less(b.Stamp)
		}
		return a.VM < b.VM
	})
	sort.Strings(merged.NoAnswer)
	return merged
}
