package queueing_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/queueing"
)

// Guards against long or less valuable requests that delay short or more valuable
// requests of the same organisation.
func TestFairOrdersRequestsWithinAnOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	f := queueing.NewFair(0.5)
	f.SetShare(0, 1)
	short := &queueing.Head{Sequence: 3, Work: 10, Worth: 1}
	long := &queueing.Head{Sequence: 1, Work: 10, Worth: 1, Long: true}
	lowWorth := &queueing.Head{Sequence: 2, Work: 10, Worth: 0.5}
	urgent := &queueing.Head{Sequence: 4, Work: 10, Worth: 1, Urgent: true}
	urgentLowWorth := &queueing.Head{Sequence: 5, Work: 10, Worth: 0.1, Urgent: true}
	urgentLong := &queueing.Head{Sequence: 6, Work: 10, Worth: 9, Long: true, Urgent: true}
	g.Expect(f.Less(short, long)).To(gomega.BeTrue())
	g.Expect(f.Less(short, lowWorth)).To(gomega.BeTrue())
	g.Expect(f.Less(urgent, short)).To(gomega.BeTrue())
	g.Expect(f.Less(short, urgentLowWorth)).To(gomega.BeTrue())
	g.Expect(f.Less(urgentLong, short)).To(gomega.BeTrue(), "long requests are not starved")
	g.Expect(f.MaxLongRequests(8)).To(gomega.Equal(4))
	g.Expect(f.MaxLongRequests(1)).To(gomega.Equal(1))
}

// Guards against an organisation that is never repaid for the capacity that others
// used while it was idle, and against one that blocks the others after a long idle
// time.
func TestFairRepaysLentCapacityUpToTheCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	f := queueing.NewFair(0.5)
	f.SetShare(0, 0.5)
	f.SetShare(1, 0.5)
	f.SetCapacity(1) // gives a credit of 100 token equivalents at a share of 1
	for range 1000 {
		f.RecordGrant(0, 10) // organisation 1 is idle
	}
	a, b := &queueing.Head{Organisation: 0, Sequence: 1}, &queueing.Head{Organisation: 1, Sequence: 2}
	repaid := 0
	for f.Less(b, a) {
		f.RecordGrant(1, 10)
		repaid++
	}
	g.Expect(repaid).To(gomega.BeNumerically("~", 6, 1)) // a credit of 50 and one grant in progress, at 10 each
}
