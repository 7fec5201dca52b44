package explain

import (
	"fmt"
	"strings"
)

// quotaEvents tell at the coordinator of an organisation when its limit begins and ceases to hold
// requests up.
var quotaEvents = map[string]bool{"quota_binding": true, "quota_released": true}

const quotaReason = "quota_exceeded: "

// describeQuota describes why a request was refused for the quota of its organisation.
func describeQuota(requestLines, allLines []Line) []string {
	var all []string
	for _, l := range requestLines {
		reason := stringField(l.Fields, "reason")
		if l.Event != "finished" || !strings.HasPrefix(reason, quotaReason) {
			continue
		}
		organisation := stringField(l.Fields, "organisation")
		var state *Line
		for i := range allLines {
			o := &allLines[i]
			if quotaEvents[o.Event] && stringField(o.Fields, "organisation") == organisation && !o.Time.After(l.Time) && (state == nil || o.Time.After(state.Time)) {
				state = o
			}
		}
		text := strings.TrimPrefix(reason, quotaReason)
		switch {
		case state == nil:
			text += "; no log tells of its limit"
		case state.Event == "quota_released":
			text += fmt.Sprintf("; according to %s the limit has not been binding for %.3f s", state.VM, l.Time.Sub(state.Time).Seconds())
		default:
			text += fmt.Sprintf("; according to %s the limit of %.6g per second has been binding for %.3f s, demand at first %.6g per second, %.3g of the limit granted",
				state.VM, state.Fields["limit"], l.Time.Sub(state.Time).Seconds(), state.Fields["demand"], state.Fields["share"])
		}
		all = append(all, text)
	}
	return all
}
