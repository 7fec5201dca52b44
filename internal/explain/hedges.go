package explain

import "fmt"

// describeHedges describes the second attempts at a request beside its first one.
func describeHedges(lines []Line) []string {
	var hedges []string
	for _, l := range lines {
		at, _ := l.Fields["at_ms"].(float64)
		reason, target := stringField(l.Fields, "reason"), stringField(l.Fields, "target")
		if target != "" {
			target = " at " + target
		}
		switch l.Event {
		case "hedged":
			hedges = append(hedges, fmt.Sprintf("second attempt%s after %.0f ms", target, at))
		case "hedge_ended":
			hedges = append(hedges, fmt.Sprintf("second attempt%s %s after %.0f ms", target, reason, at))
		case "hedge_denied":
			hedges = append(hedges, fmt.Sprintf("no second attempt after %.0f ms: %s", at, reason))
		}
	}
	return hedges
}
