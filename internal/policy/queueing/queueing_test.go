package queueing_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/queueing"
)

// Guards against long or worthless work that delays short or valuable work of
// the same organisation.
func TestFairOrdersWithinAnOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	f := queueing.NewFair(0.5)
	f.SetShare(0, 1)
	short := &queueing.Head{Sequence: 3, Work: 10, Worth: 1}
	long := &queueing.Head{Sequence: 1, Work: 10, Worth: 1, Long: true}
	poor := &queueing.Head{Sequence: 2, Work: 10, Worth: 0.5}
	urgent := &queueing.Head{Sequence: 4, Work: 10, Worth: 1, Urgent: true}
	urgentPoor := &queueing.Head{Sequence: 5, Work: 10, Worth: 0.1, Urgent: true}
	urgentLong := &queueing.Head{Sequence: 6, Work: 10, Worth: 9, Long: true, Urgent: true}
	g.Expect(f.Less(short, long)).To(gomega.BeTrue())
	g.Expect(f.Less(short, poor)).To(gomega.BeTrue())
	g.Expect(f.Less(urgent, short)).To(gomega.BeTrue())
	g.Expect(f.Less(short, urgentPoor)).To(gomega.BeTrue())
	g.Expect(f.Less(urgentLong, short)).To(gomega.BeTrue(), "long work is not starved")
	g.Expect(f.LongLimit(8)).To(gomega.Equal(4))
	g.Expect(f.LongLimit(1)).To(gomega.Equal(1))
}

// Guards against a lender that is never repaid, and against one that shuts out
// the others after a long idle time.
func TestFairRepaysLentCapacityUpToTheCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	f := queueing.NewFair(0.5)
	f.SetShare(0, 0.5)
	f.SetShare(1, 0.5)
	f.SetCapacity(1) // a credit of 100 token equivalents at a share of one
	for range 1000 {
		f.Granted(0, 10) // organisation 1 is idle
	}
	a, b := &queueing.Head{Organisation: 0, Sequence: 1}, &queueing.Head{Organisation: 1, Sequence: 2}
	repaid := 0
	for f.Less(b, a) {
		f.Granted(1, 10)
		repaid++
	}
	g.Expect(repaid).To(gomega.BeNumerically("~", 6, 1)) // 50 of credit and one grant in progress
}
