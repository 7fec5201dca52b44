package placer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/placer"
)

const (
	// farTrip is the time to a target in another region.
	farTrip = 12 * time.Millisecond
	// pollTime is the longest time between the end of a load and the next question
	// whether it has ended, with the ways there and back of the order and the question,
	// and the ticks of the simulation.
	pollTime = 40*time.Millisecond + 4*farTrip + 10*time.Millisecond
)

// Guards against questions whether loads have ended that come later and later, since
// the time that a load is believed to take includes the wait for the question (quiet
// days of both sites: 0.43 s rose to 0.65 s in 24 s).
func TestWaitsForLoadsDoNotGrow(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1, 3, placer.Params{})
	w.trip = farTrip
	for i := range 200 {
		id := w.request(adapter(i), nil)
		w.run(500 * time.Millisecond)
		g.Expect(w.waited[id]).To(gomega.BeNumerically("<", loadTime+pollTime), "request %d", i)
	}
}

// Guards against questions that follow a slower or faster weights store too late.
func TestWaitsForLoadsFollowTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1, 3, placer.Params{})
	w.trip = farTrip
	next := 0
	for _, load := range []time.Duration{600 * time.Millisecond, 100 * time.Millisecond, loadTime} {
		w.load = load
		for i := range 40 {
			next++
			id := w.request(adapter(next), nil)
			w.run(time.Second)
			if i >= 20 {
				g.Expect(w.waited[id]).To(gomega.BeNumerically("<", load+pollTime), "a load of %v", load)
			}
		}
	}
}
