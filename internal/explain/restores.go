package explain

import (
	"fmt"
	"time"
)

// restoreLookback is how long before the first line of a request a restore of the store is
// reported. Configurations and targets that the store has lost are written again by then.
const restoreLookback = 30 * time.Second

// describeRestores describes, for the VMs involved, when they learned that the store was
// restored from a copy, and when they had caught up.
func describeRestores(first, last time.Time, involved map[string]bool, allLines []Line) []string {
	var restores []string
	for _, l := range allLines {
		if !involved[l.VM] || l.Time.Before(first.Add(-restoreLookback)) || l.Time.After(last) {
			continue
		}
		at := l.Time.Sub(first).Seconds()
		switch l.Event {
		case "store_restored":
			restores = append(restores, fmt.Sprintf("%+.3f s: %s learned (%v) that the store was restored from a copy, era %v to %v; it knew revision %v and configuration %v",
				at, l.VM, l.Fields["source"], l.Fields["era_before"], l.Fields["era"], l.Fields["revision"], l.Fields["config"]))
		case "store_caught_up":
			restores = append(restores, fmt.Sprintf("%+.3f s: %s had caught up with era %v at revision %v, configuration %v, after %v ms",
				at, l.VM, l.Fields["era"], l.Fields["revision"], l.Fields["config"], l.Fields["took_ms"]))
		}
	}
	return restores
}
