package timeline

import "sort"

// Merged is the timeline of several processes.
type Merged struct {
	Events      []Event
	Overwritten uint64   // events that rings have lost since their start
	Omitted     int      // selected events that limits left out
	NoAnswer    []string // processes whose events are missing
}

// Merge brings the answers into one order in which every event comes after the
// events that caused it. Events without a causal relation are ordered by wall
// time, and those of the same stamp by VM.
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
