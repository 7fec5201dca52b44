package hedge_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/hedge"
)

// Guards against second attempts beyond the budget, and against second attempts that
// would end later than the first ones.
func TestBudgetLimitsSecondAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &hedge.Budget{}
	stuck := hedge.Attempt{SilentFor: time.Second, ExpectedWait: 10 * time.Millisecond}
	g.Expect(b.Hedge(stuck)).To(gomega.BeFalse()) // no request was granted yet, so the budget is empty
	for range 51 {
		b.RecordGrant()
	}
	slow := hedge.Attempt{Slow: true, Tokens: 40, Remaining: time.Second, SecondAttempt: time.Second}
	g.Expect(b.Hedge(slow)).To(gomega.BeFalse())
	slow.Remaining = 2 * time.Second
	g.Expect(b.Hedge(slow)).To(gomega.BeTrue())
	g.Expect(b.Hedge(stuck)).To(gomega.BeFalse()) // one second attempt for 50 requests is used up
}
