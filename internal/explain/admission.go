package explain

import "fmt"

// admissionCauses describes the causes of refusals by rank and share.
var admissionCauses = map[string]string{
	"rank":       "more urgent requests were ahead of it",
	"share":      "requests of its organisation, or of others that had used less, were ahead of it",
	"capacity":   "the prompts granted before, or loads of adapters, took too long",
	"queue_full": "the queue was full, and no organisation had more requests in it",
}

// describeAdmission describes why owners refused a request of an organisation.
func describeAdmission(lines []Line) []string {
	var refusals []string
	for _, l := range lines {
		cause := stringField(l.Fields, "cause")
		if l.Event != "refused" || cause == "" {
			continue
		}
		reason := admissionCauses[cause]
		if reason == "" {
			reason = cause
		}
		number := func(name string) float64 {
			value, _ := l.Fields[name].(float64) // 0 if the line lacks it
			return value
		}
		refusals = append(refusals, fmt.Sprintf("refused a request of %s after %.0f ms, because %s: a wait of %.0f ms was expected; %.0f%% of the organisation's recent requests were granted, and %.0f%% of all",
			stringField(l.Fields, "organisation"), number("waited_ms"), reason, number("expected_ms"), 100*number("served"), 100*number("served_all")))
	}
	return refusals
}
