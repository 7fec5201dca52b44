package advisory_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
)

func limitOf(perSecond float64) map[string]advisory.Limit {
	if perSecond == 0 {
		return nil
	}
	return map[string]advisory.Limit{"t": {PerSecond: perSecond, Born: 7, Source: advisory.Answer}}
}

// Guards against a limit whose begin, change, use or end nobody can see, and against requests
// that are sent in spite of it and counted nowhere.
func TestLimitIsReportedFromItsBeginToItsEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	w := advisory.NewLimitWatch()
	step := advisory.LimitReportInterval
	update := func(at int, perSecond float64) []advisory.LimitReport {
		return w.Update(time.Duration(at)*step, limitOf(perSecond))
	}
	report := func(event advisory.LimitEvent, perSecond, before float64, sent advisory.Sent) []advisory.LimitReport {
		return []advisory.LimitReport{{Event: event, Target: "t", Limit: limitOf(perSecond)["t"], Before: before, Sent: sent}}
	}
	g.Expect(w.CountSent("t", advisory.ByGrant)).To(gomega.BeFalse())
	g.Expect(update(0, 2)).To(gomega.Equal(report(advisory.LimitBegins, 2, 0, advisory.Sent{})))
	g.Expect(w.CountSent("t", advisory.ByGrant)).To(gomega.BeTrue())
	w.CountSent("t", advisory.ByChoiceRepeat)
	w.CountSent("t", advisory.ByGrant)
	g.Expect(update(1, 2)).To(gomega.Equal(report(advisory.LimitUsed, 2, 2, advisory.Sent{advisory.ByGrant: 2, advisory.ByChoiceRepeat: 1})))
	g.Expect(update(2, 2)).To(gomega.BeEmpty(), "nothing has happened")
	g.Expect(update(3, 3)).To(gomega.Equal(report(advisory.LimitChanges, 3, 2, advisory.Sent{})))
	w.CountSent("t", advisory.ByOrder)
	g.Expect(update(4, 0)).To(gomega.Equal(report(advisory.LimitEnds, 3, 3, advisory.Sent{advisory.ByOrder: 1})))
	g.Expect(update(5, 0)).To(gomega.BeEmpty())
	g.Expect(w.CountSent("t", advisory.ByGrant)).To(gomega.BeFalse())
}

// Guards against a log that a target fills by changing or ending its limit with each answer.
func TestLimitThatChangesAllTheTimeIsReportedAtIntervals(t *testing.T) {
	g := gomega.NewWithT(t)
	w := advisory.NewLimitWatch()
	reports := 0
	const answers = 1000
	for i := range answers {
		w.CountSent("t", advisory.ByGrant)
		reports += len(w.Update(time.Duration(i)*100*time.Millisecond, limitOf(float64(i%3))))
	}
	g.Expect(reports).To(gomega.BeNumerically("<=", 1+answers*100*int(time.Millisecond)/int(advisory.LimitReportInterval)))
	g.Expect(reports).To(gomega.BeNumerically(">=", 10))
}

// Guards against requests that vanish from the reports because the limit changed meanwhile.
func TestAllRequestsToALimitedTargetAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	w := advisory.NewLimitWatch()
	w.Update(0, limitOf(1))
	counted, reported := 0, 0
	for i := range 400 {
		if w.CountSent("t", advisory.ByChoice) {
			counted++
		}
		perSecond := 1 + float64(i%2)
		if i == 399 {
			perSecond = 0
		}
		for _, r := range w.Update(time.Duration(i)*advisory.LimitReportInterval/7, limitOf(perSecond)) {
			reported += r.Sent[advisory.ByChoice]
		}
	}
	for _, r := range w.Update(time.Hour, nil) {
		reported += r.Sent[advisory.ByChoice]
	}
	g.Expect(reported).To(gomega.Equal(counted))
}
