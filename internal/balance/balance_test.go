package balance_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/balance"
	"cicadaslip/internal/fleet"
)

var regions = map[string]string{"riga-a": "riga", "liepaja-a": "kurzeme"}

func targets() []fleet.Target {
	return []fleet.Target{
		{ID: "near", DataCentre: "riga-a", Slots: 6},
		{ID: "far", DataCentre: "liepaja-a", Slots: 6},
	}
}

func newBalancer() *balance.Balancer {
	b := balance.New("riga-a", regions)
	b.SetTargets(targets())
	return b
}

// Guards against requests that are sent to another region while a near target has
// free slots, and against an overloaded near target while a far one has free slots.
func TestNearTargetsAreUsedUntilTheyAreBusy(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBalancer()
	picked := map[string]int{}
	for range 14 {
		target, found := b.Pick(0, nil)
		g.Expect(found).To(gomega.BeTrue())
		picked[target.ID]++
	}
	g.Expect(picked["near"]).To(gomega.BeNumerically(">=", 6))
	g.Expect(picked["far"]).To(gomega.BeNumerically(">", 0))
}

// Guards against further requests to a failing target, against a target that is never
// tried again after a failure, and against a pick that finds no target although a
// failing one is left.
func TestFailingTargetIsAvoidedForAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBalancer()
	now := time.Second
	fail := func() {
		b.Pick(now, []string{"far"})
		b.Finish(now, "near", balance.Failed, time.Millisecond)
	}
	fail()
	target, _ := b.Pick(now, nil)
	g.Expect(target.ID).To(gomega.Equal("far"))
	b.Finish(now, "far", balance.Answered, 70*time.Millisecond)
	target, found := b.Pick(now, []string{"far"})
	g.Expect(found).To(gomega.BeTrue(), "a failing target is used if no other is left")
	g.Expect(target.ID).To(gomega.Equal("near"))
	b.Finish(now, "near", balance.Cancelled, 0)
	now += 300 * time.Millisecond
	target, _ = b.Pick(now, nil)
	g.Expect(target.ID).To(gomega.Equal("near"))
}

// Guards against new requests to leaving targets.
func TestLeavingTargetsAreNotPicked(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBalancer()
	leaving := targets()
	leaving[0].Leaving, leaving[1].Leaving = true, true
	b.SetTargets(leaving)
	_, found := b.Pick(0, nil)
	g.Expect(found).To(gomega.BeFalse())
}

// Guards against requests to a target whose machine is busy with other work, and
// against an outdated load report that still has an effect.
func TestSlowTargetIsAvoidedWhileItsLoadReportIsRecent(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBalancer()
	b.ReportLoad(0, "near", balance.Load{Running: 6, Slots: 6, Slowness: 4})
	target, _ := b.Pick(0, nil)
	g.Expect(target.ID).To(gomega.Equal("far"))
	b.Finish(0, "far", balance.Cancelled, 0)
	target, _ = b.Pick(time.Second, nil)
	g.Expect(target.ID).To(gomega.Equal("near"))
}

// A target answers two requests in five with a server error, while its health check is
// good. Its share of the requests must become small, and it must get work again once it
// is sound.
func TestTargetWithServerErrorsGetsLittleWork(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBalancer()
	now, sent := time.Duration(0), 0
	serve := func(failing bool, requests int) (toNear int) {
		for range requests {
			now += 70 * time.Millisecond
			target, _ := b.Pick(now, nil)
			outcome := balance.Answered
			if target.ID == "near" {
				toNear++
				if sent++; failing && sent%5 < 2 {
					outcome = balance.ServerError
				}
			}
			b.Finish(now, target.ID, outcome, 20*time.Millisecond)
		}
		return toNear
	}
	g.Expect(serve(false, 20)).To(gomega.Equal(20))
	const faulty, recovery = 400, 300
	g.Expect(serve(true, faulty)).To(gomega.BeNumerically("<", faulty/10))
	g.Expect(serve(false, recovery)).To(gomega.BeNumerically(">", recovery/2))
}
