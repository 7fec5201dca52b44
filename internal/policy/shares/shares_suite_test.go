package shares_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/shares"
)

func TestShares(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "shares")
}

// serve grants one unit of work at a time to the organisation with the lowest virtual
// time and returns the units that each organisation received.
func serve(ledger *shares.Ledger, organisations, units int) []int {
	received := make([]int, organisations)
	for range units {
		next := 0
		for o := range organisations {
			if ledger.VirtualTime(o) < ledger.VirtualTime(next) {
				next = o
			}
		}
		ledger.Charge(next, 1)
		received[next]++
	}
	return received
}

var _ = ginkgo.Describe("Ledger", func() {
	var ledger *shares.Ledger

	ginkgo.BeforeEach(func() {
		ledger = &shares.Ledger{}
		ledger.SetCredit(10)
		ledger.SetShare(0, 0.75)
		ledger.SetShare(1, 0.25)
	})

	// Guards against a division of the capacity that does not follow the shares.
	ginkgo.It("divides the work by shares while all organisations have requests", func() {
		gomega.Expect(serve(ledger, 2, 400)).To(gomega.Equal([]int{300, 100}))
	})

	// Guards against an organisation that is never repaid for the capacity that others
	// used while it was idle, or that is repaid without a bound.
	ginkgo.It("repays an organisation for its idle time up to the credit", func() {
		for range 1000 {
			ledger.Charge(0, 1) // organisation 1 is idle
		}
		repaid := 0
		for ledger.VirtualTime(1) < ledger.VirtualTime(0) {
			ledger.Charge(1, 1)
			repaid++
		}
		gomega.Expect(repaid).To(gomega.BeNumerically("~", 10*0.25, 1))
	})

	// Guards against an organisation that is charged for the predicted instead of the
	// actual work.
	ginkgo.It("corrects the charged work", func() {
		ledger.Charge(0, 100)
		before := ledger.VirtualTime(0)
		ledger.Correct(0, -75)
		gomega.Expect(before - ledger.VirtualTime(0)).To(gomega.BeNumerically("~", 75/0.75, 1e-9))
	})

	// Guards against an organisation without a share that is never served.
	ginkgo.It("serves an organisation without a share when the others are idle", func() {
		ledger.Charge(2, 1)
		gomega.Expect(ledger.VirtualTime(2)).To(gomega.BeNumerically(">", 0))
	})
})
