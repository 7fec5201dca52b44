package advisory

import (
	"cmp"
	"slices"
	"time"
)

// Limit is the rate limit of a target, as a VM knows it.
type Limit struct {
	Service   string
	Born      int64
	PerSecond float64
	Source    Source
	Since     time.Duration // when the target first stated PerSecond
}

// Sender tells who decided that something is sent to a target.
type Sender string

// Senders.
const (
	ByGrant        Sender = "granted"        // a request, by this VM as the owner of the target's group
	ByGrantRepeat  Sender = "granted_repeat" // likewise, after another target had the request
	ByChoice       Sender = "chosen"         // a request, by this VM without an owner
	ByChoiceRepeat Sender = "chosen_repeat"  // likewise, after another target had the request
	ByOrder        Sender = "order"          // an order or a request for a report
)

// Senders lists all senders.
var Senders = []Sender{ByGrant, ByGrantRepeat, ByChoice, ByChoiceRepeat, ByOrder}

// Sent counts what a VM has sent to a target, or let other VMs send, by sender.
type Sent map[Sender]int

// LimitEvent is the kind of a LimitReport.
type LimitEvent string

// Kinds of reports on limits.
const (
	LimitBegins  LimitEvent = "limited"
	LimitChanges LimitEvent = "limit_changed"
	LimitUsed    LimitEvent = "limit_used" // requests or orders were sent, and the limit is the same
	LimitEnds    LimitEvent = "unlimited"
)

// LimitReport is what has become of the limit of a target since the report before.
type LimitReport struct {
	Event  LimitEvent
	Target string
	Limit  Limit   // with LimitEnds, the former one
	Before float64 // the limit in the report before, 0 if there was none
	Sent   Sent    // since the report before
}

// LimitReportInterval is the shortest time between two reports on a target. A target may change
// its limit with each answer.
const LimitReportInterval = 4 * time.Second

// LimitWatch reports begin, use, change and end of limits. It is not safe for concurrent use.
type LimitWatch struct {
	targets map[string]*watchedLimit
}

type watchedLimit struct {
	reported   Limit // as of the last report
	limited    bool  // according to the last report
	inForce    bool  // according to the last update
	reportedAt time.Duration
	sent       Sent
}

// NewLimitWatch returns a watch of no targets.
func NewLimitWatch() *LimitWatch { return &LimitWatch{targets: map[string]*watchedLimit{}} }

// CountSent counts something that is sent to a target. It reports whether the target is
// limited.
func (w *LimitWatch) CountSent(target string, by Sender) bool {
	l := w.targets[target]
	if l == nil || !l.inForce {
		return false
	}
	l.sent[by]++
	return true
}

// Update returns the reports that are due, sorted by target. limits holds all limits in force.
func (w *LimitWatch) Update(now time.Duration, limits map[string]Limit) []LimitReport {
	for target := range limits {
		if w.targets[target] == nil {
			w.targets[target] = &watchedLimit{reportedAt: never, sent: Sent{}}
		}
	}
	var reports []LimitReport
	for target, l := range w.targets {
		limit, limited := limits[target]
		l.inForce = limited
		event := l.event(limit, limited)
		switch {
		case l.reportedAt != never && now-l.reportedAt < LimitReportInterval:
			continue
		case event == "" && !limited:
			delete(w.targets, target)
			continue
		case event == "":
			continue
		}
		report := LimitReport{Event: event, Target: target, Limit: limit, Before: l.reported.PerSecond, Sent: l.sent}
		if !limited {
			report.Limit = l.reported
		}
		l.reported, l.limited, l.reportedAt, l.sent = limit, limited, now, Sent{}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b LimitReport) int { return cmp.Compare(a.Target, b.Target) })
	return reports
}

// event returns the event to report, empty if there is none.
func (l *watchedLimit) event(limit Limit, limited bool) LimitEvent {
	switch {
	case limited && !l.limited:
		return LimitBegins
	case !limited && l.limited:
		return LimitEnds
	case limited && (limit.PerSecond != l.reported.PerSecond || limit.Born != l.reported.Born):
		return LimitChanges
	case limited && len(l.sent) > 0:
		return LimitUsed
	}
	return ""
}
