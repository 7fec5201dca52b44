package straggler_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/straggler"
)

// Guards against targets that are classified as slow although all targets are equally
// slow, and against a target whose state keeps changing between the two thresholds.
func TestMedianComparesWithTheOtherTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &straggler.Median{}
	for target := range 4 {
		m.Observe(target, 5)
	}
	g.Expect(m.Update()).To(gomega.BeFalse())
	for range 20 {
		m.Observe(0, 15)
	}
	g.Expect(m.Update()).To(gomega.BeTrue())
	g.Expect(m.Slow(0)).To(gomega.BeTrue())
	for range 20 {
		m.Observe(0, 8) // between the thresholds
	}
	g.Expect(m.Update()).To(gomega.BeFalse())
	for range 20 {
		m.Observe(0, 5)
	}
	g.Expect(m.Update()).To(gomega.BeTrue())
	g.Expect(m.Slow(0)).To(gomega.BeFalse())
}
