package estimate_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/estimate"
)

// Guards against an estimate of zero, which admits everything, for a load that
// was not observed yet when a similar one was.
func TestModelUsesTheNearestObservation(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &estimate.Model{}
	g.Expect(m.Service(100, 10, 8)).To(gomega.BeZero())
	m.ObserveGap(8, 10*time.Millisecond)
	m.ObserveFirst(100, 50*time.Millisecond)
	g.Expect(m.Gap(30)).To(gomega.Equal(10 * time.Millisecond))
	g.Expect(m.Service(200, 10, 1)).To(gomega.Equal(150 * time.Millisecond))
}
