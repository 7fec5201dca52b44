package permit_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/permit"
)

// Guards against a paused former owner that resumes and grants a permit unknown to
// the new owner, which could then evict the adapter while the request uses it.
func TestPermitOfFormerOwnerIsRefusedAfterConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	h := permit.NewHoldings()
	g.Expect(h.Accept(core.Permit{Request: "r1", Group: "g", Epoch: 1})).To(gomega.Succeed())
	held, err := h.ConfirmEpoch("g", 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(held).To(gomega.HaveLen(1))
	err = h.Accept(core.Permit{Request: "r2", Group: "g", Epoch: 1})
	g.Expect(errs.Is(err, errs.StaleEpoch)).To(gomega.BeTrue())
	_, err = h.ConfirmEpoch("g", 1)
	g.Expect(errs.Is(err, errs.StaleEpoch)).To(gomega.BeTrue())
}

// Guards against a wait that continues after a takeover and hangs at a paused
// former owner.
func TestConfirmationSignalsRaisedEpoch(t *testing.T) {
	g := gomega.NewWithT(t)
	h := permit.NewHoldings()
	raised := h.EpochRaised("g", 1)
	g.Expect(raised).NotTo(gomega.BeClosed())
	_, err := h.ConfirmEpoch("g", 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raised).To(gomega.BeClosed())
	g.Expect(h.EpochRaised("g", 1)).To(gomega.BeClosed())
}

// Guards against ending a wait at the current owner when this VM confirms that
// owner's epoch.
func TestConfirmationOfSameEpochDoesNotSignal(t *testing.T) {
	g := gomega.NewWithT(t)
	h := permit.NewHoldings()
	raised := h.EpochRaised("g", 1)
	_, err := h.ConfirmEpoch("g", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raised).NotTo(gomega.BeClosed())
}
