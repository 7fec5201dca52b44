package explain

import "fmt"

// limitEvents are the state changes that concern the rate limit of one target.
var limitEvents = map[string]bool{
	"target_limited": true, "target_limit_changed": true, "target_limit_used": true, "target_unlimited": true,
}

// involvedTargets returns the targets that the lines name.
func involvedTargets(lines []Line) map[string]bool {
	targets := map[string]bool{}
	for _, l := range lines {
		for _, name := range []string{"target", "limited_by", "paused_by"} {
			if target := stringField(l.Fields, name); target != "" {
				targets[target] = true
			}
		}
	}
	return targets
}

// describeLimits describes how the rate limits of targets have held a request up. The lines of
// owners tell it, or else those of the front end.
func describeLimits(lines []Line) []string {
	var owner, frontEnd []string
	for _, l := range lines {
		_, held := l.Fields["limit"]
		switch {
		case held && (l.Event == "granted" || l.Event == "refused"):
			owner = append(owner, describeHold(l)+", then "+l.Event)
		case held:
			frontEnd = append(frontEnd, describeHold(l))
		case l.Event == "limited":
			frontEnd = append(frontEnd, stringField(l.Fields, "reason"))
		}
	}
	if owner != nil {
		return owner
	}
	return frontEnd
}

// describeHold describes the limit that a line names.
func describeHold(l Line) string {
	target := stringField(l.Fields, "limited_by")
	if target == "" {
		return fmt.Sprintf("all targets are limited, to %.3g requests a second together", l.Fields["limit"])
	}
	return fmt.Sprintf("held up for %.0f ms by the limit of %s, %.3g requests a second", l.Fields["limit_wait_ms"], target, l.Fields["limit"])
}
