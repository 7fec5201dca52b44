package permit_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/permit"
)

// Guards against a paused former owner that resumes and grants a permit which
// the new owner does not know: the adapter could be evicted under the request.
func TestPermitOfFormerOwnerIsRefusedAfterConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	h := permit.NewHoldings()
	g.Expect(h.Accept(core.Permit{Request: "r1", Group: "g", Epoch: 1})).To(gomega.Succeed())
	held, err := h.Confirm("g", 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(held).To(gomega.HaveLen(1))
	err = h.Accept(core.Permit{Request: "r2", Group: "g", Epoch: 1})
	g.Expect(errs.Is(err, errs.StaleEpoch)).To(gomega.BeTrue())
	_, err = h.Confirm("g", 1)
	g.Expect(errs.Is(err, errs.StaleEpoch)).To(gomega.BeTrue())
}

// Guards against a wait that outlives a takeover and hangs at a paused owner.
func TestConfirmationWakesWaitsOfOlderEpochs(t *testing.T) {
	g := gomega.NewWithT(t)
	h := permit.NewHoldings()
	raised := h.Raised("g", 1)
	g.Expect(raised).NotTo(gomega.BeClosed())
	_, err := h.Confirm("g", 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raised).To(gomega.BeClosed())
	g.Expect(h.Raised("g", 1)).To(gomega.BeClosed())
}

// Guards against a wait at the present owner that ends because a VM confirms
// that owner's own epoch.
func TestConfirmationKeepsWaitsOfTheSameEpoch(t *testing.T) {
	g := gomega.NewWithT(t)
	h := permit.NewHoldings()
	raised := h.Raised("g", 1)
	_, err := h.Confirm("g", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raised).NotTo(gomega.BeClosed())
}
