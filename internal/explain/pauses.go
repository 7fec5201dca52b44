package explain

import "fmt"

// pauseEvents are the state changes that concern the pause of one target.
var pauseEvents = map[string]bool{"target_paused": true, "target_pause_ended": true}

// describePauses describes how the pauses of targets have held a request up. The lines of owners
// tell it, or else those of the front end, which also tell of targets that were skipped.
func describePauses(lines []Line) []string {
	var owner, frontEnd, skipped []string
	for _, l := range lines {
		target := stringField(l.Fields, "paused_by")
		wait, _ := l.Fields["pause_wait_ms"].(float64) // 0 if the request did not wait
		text := fmt.Sprintf("held up for %.0f ms by the pause of %s", wait, target)
		switch {
		case l.Event == "skipped" && stringField(l.Fields, "reason") == "the target pauses":
			skipped = append(skipped, "not sent to "+stringField(l.Fields, "target")+", which pauses")
		case l.Event == "paused" && target == "":
			frontEnd = append(frontEnd, stringField(l.Fields, "reason"))
		case target == "":
		case l.Event == "refused" && wait == 0:
			owner = append(owner, "refused, because all targets pause, "+target+" for the shortest time")
		case l.Event == "granted" || l.Event == "refused":
			owner = append(owner, text+", then "+l.Event)
		case l.Event == "paused":
			frontEnd = append(frontEnd, text)
		}
	}
	if owner != nil {
		return append(skipped, owner...)
	}
	return append(skipped, frontEnd...)
}
