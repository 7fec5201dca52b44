package estimate_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/estimate"
)

// Guards against an estimate of zero, which admits every request, for a concurrency or
// prompt length that was not observed yet although a similar one was.
func TestModelUsesTheNearestObservation(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &estimate.Model{}
	g.Expect(m.ServiceTime(100, 10, 8)).To(gomega.BeZero())
	m.ObserveTokenGap(8, 10*time.Millisecond)
	m.ObserveFirstToken(100, 50*time.Millisecond)
	g.Expect(m.TokenGap(30)).To(gomega.Equal(10 * time.Millisecond))
	g.Expect(m.ServiceTime(200, 10, 1)).To(gomega.Equal(150 * time.Millisecond))
}
