package explain

import (
	"fmt"
	"time"
)

// describeUnanswered describes how the end of a process cut the request.
func describeUnanswered(lines []Line) []string {
	var cuts []string
	for _, l := range lines {
		if l.Event != "unanswered" {
			continue
		}
		ms := func(field string) time.Duration {
			value, _ := l.Fields[field].(float64) // 0 if the line has no such field
			return time.Duration(value * float64(time.Millisecond)).Round(time.Millisecond)
		}
		arrived, took := ms("arrived_ms"), ms("took_ms")
		text := fmt.Sprintf("%s ended %v after its stop began; the request came %v after that", l.VM, arrived+took, arrived)
		if target := stringField(l.Fields, "sent_to"); target == "" {
			text += " and was sent to no target"
		} else {
			text += fmt.Sprintf(", was first sent %v after it, and last to %s", arrived+ms("sent_ms"), target)
		}
		if count, _ := l.Fields["count"].(float64); count > 0 {
			text += fmt.Sprintf("; %.0f events, the last %v before the end", count, took-ms("last_event_ms"))
		}
		cuts = append(cuts, text)
	}
	return cuts
}
