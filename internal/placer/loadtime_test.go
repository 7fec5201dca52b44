package placer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/placer"
)

const (
	// crossRegionDelay is the one-way network delay to a target in another region.
	crossRegionDelay = 12 * time.Millisecond
	// maxPollDelay is the longest time between the end of a load and the answer to the
	// next poll. It includes the round trips of the order and the poll, and the ticks of
	// the simulation.
	maxPollDelay = 40*time.Millisecond + 4*crossRegionDelay + 10*time.Millisecond
)

// The observed load time includes the wait for the poll that finds the load ended, so
// an estimate that follows it can delay each poll further than the one before. At low
// load, waits for loads once grew from 0.43 s to 0.65 s within 24 s.
func TestLoadWaitsDoNotGrow(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 3, placer.Params{})
	sim.oneWayDelay = crossRegionDelay
	for i := range 200 {
		id := sim.enqueue(adapter(i), nil)
		sim.advance(500 * time.Millisecond)
		g.Expect(sim.waits[id]).To(gomega.BeNumerically("<", defaultLoadTime+maxPollDelay), "request %d", i)
	}
}

// Polls must adapt when the weights store becomes slower or faster.
func TestLoadWaitsFollowStoreSpeed(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 3, placer.Params{})
	sim.oneWayDelay = crossRegionDelay
	adapterNumber := 0
	for _, loadTime := range []time.Duration{600 * time.Millisecond, 100 * time.Millisecond, defaultLoadTime} {
		sim.loadTime = loadTime
		for i := range 40 {
			adapterNumber++
			id := sim.enqueue(adapter(adapterNumber), nil)
			sim.advance(time.Second)
			if i >= 20 {
				g.Expect(sim.waits[id]).To(gomega.BeNumerically("<", loadTime+maxPollDelay), "a load of %v", loadTime)
			}
		}
	}
}
