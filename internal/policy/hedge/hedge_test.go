package hedge_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/hedge"
)

// Guards against second attempts beyond the budget, and against second
// attempts that would end later than the first.
func TestBudgetLimitsSecondAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &hedge.Budget{}
	stuck := hedge.Attempt{Waited: time.Second, Expected: 10 * time.Millisecond}
	g.Expect(b.Hedge(stuck)).To(gomega.BeFalse()) // nothing was granted yet
	for range 51 {
		b.Granted()
	}
	slow := hedge.Attempt{Slow: true, Tokens: 40, Remaining: time.Second, Again: time.Second}
	g.Expect(b.Hedge(slow)).To(gomega.BeFalse())
	slow.Remaining = 2 * time.Second
	g.Expect(b.Hedge(slow)).To(gomega.BeTrue())
	g.Expect(b.Hedge(stuck)).To(gomega.BeFalse()) // one in fifty
}
