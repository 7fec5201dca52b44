package placer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/placer"
	"cicadaslip/internal/ratelimit/limittest"
)

// Guards against a target that gets more requests than it has said that it takes, with two
// of three targets limited while demand is as before; and against requests that are refused
// although the third target could run them.
func TestLimitsOfTargetsAreKept(t *testing.T) {
	for seed := range uint64(20) {
		g := gomega.NewWithT(t)
		sim := newSimulation(seed, 3, placer.Params{})
		sim.rateLimits["t0"], sim.rateLimits["t1"] = 2.1, 0.7
		var ids []string
		for range 240 {
			sim.advance(time.Duration(20+sim.random.IntN(160)) * time.Millisecond)
			ids = append(ids, sim.enqueue(adapter(sim.random.IntN(9)), nil))
		}
		sim.advance(10 * time.Second)
		for target, perSecond := range sim.rateLimits {
			most := limittest.MostInWindow(sim.grantTimes[target])
			g.Expect(float64(most)).To(gomega.BeNumerically("<=", limittest.Bound(perSecond)), "seed %d, %s", seed, target)
		}
		refused := 0
		for _, id := range ids {
			g.Expect(sim.answered(id)).To(gomega.BeTrue(), id)
			if _, found := sim.refused[id]; found {
				refused++
			}
		}
		t.Logf("seed %d: %d refused; %d, %d and %d grants", seed, refused, len(sim.grantTimes["t0"]), len(sim.grantTimes["t1"]), len(sim.grantTimes["t2"]))
		g.Expect(refused).To(gomega.BeNumerically("<=", len(ids)/20), "seed %d", seed)
	}
}

// Guards against a limit that a target has taken back, or that is lost with the owner.
func TestLimitEndsWithTheTargetsWord(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, placer.Params{})
	send := func(n int) int {
		before := len(sim.grantTimes["t0"])
		for range n {
			sim.enqueue(adapter(0), nil)
			sim.advance(50 * time.Millisecond)
		}
		return len(sim.grantTimes["t0"]) - before
	}
	send(10)
	sim.advance(2 * time.Second)
	sim.core.SetRateLimit(sim.now, "t0", 1, 0) // told by a VM, as to a new owner
	sim.rateLimits["t0"] = 1
	g.Expect(send(10)).To(gomega.BeNumerically("<=", 2))
	sim.rateLimits["t0"] = 0
	sim.advance(8 * time.Second)
	g.Expect(send(10)).To(gomega.Equal(10))
}

// Guards against an answer that began before the target named its limit, and whose first
// event comes after other answers with the limit: it is no sign that the limit has ended.
func TestOldAnswerDoesNotEndALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, placer.Params{})
	long := func(r *placer.Request) { r.PromptTokens = 60_000 }
	sim.enqueue(adapter(0), nil)
	sim.advance(2 * time.Second)
	sim.enqueue(adapter(0), long)
	sim.core.SetRateLimit(sim.now+time.Millisecond, "t0", 1, 0)
	sim.rateLimits["t0"] = 1
	sim.advance(2 * time.Second) // the long prompt's first event arrives
	before := len(sim.grantTimes["t0"])
	for range 10 {
		sim.enqueue(adapter(0), nil)
	}
	g.Expect(len(sim.grantTimes["t0"]) - before).To(gomega.BeNumerically("<=", 1))
}

// Guards against requests that wait for limited targets until their deadline although the
// limits cannot allow them in time.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 2, placer.Params{})
	for _, target := range []string{"t0", "t1"} {
		sim.rateLimits[target] = 0.5
		sim.core.SetRateLimit(sim.now, target, 0.5, 0)
	}
	var ids []string
	for range 100 {
		sim.advance(50 * time.Millisecond)
		ids = append(ids, sim.enqueue(adapter(0), nil))
	}
	sim.advance(10 * time.Second)
	atOnce := 0
	for _, id := range ids {
		if r, found := sim.refused[id]; found && r.Waited == 0 {
			g.Expect(r.Err.Retry).To(gomega.BeNumerically(">", 0))
			atOnce++
		}
	}
	t.Logf("%d of %d refused at once", atOnce, len(ids))
	g.Expect(atOnce).To(gomega.BeNumerically(">=", 80))
}

// Guards against owners that do not tell that the limit of a target has held a request up.
func TestHoldsByLimitsAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(1, 1, placer.Params{})
	sim.enqueue(adapter(0), nil)
	sim.advance(2 * time.Second)
	sim.rateLimits["t0"] = 1
	sim.core.SetRateLimit(sim.now, "t0", 1, 300*time.Millisecond)
	g.Expect(sim.core.RateLimits(sim.now)).To(gomega.Equal(map[string]placer.LimitedTarget{
		"t0": {Born: 1, PerSecond: 1, Age: 300 * time.Millisecond},
	}))
	var ids []string
	for range 12 {
		ids = append(ids, sim.enqueue(adapter(0), nil))
	}
	sim.advance(8 * time.Second)
	granted, late, atOnce := 0, 0, 0
	for _, id := range ids {
		if hold := sim.holds[id]; hold != nil {
			g.Expect(*hold).To(gomega.Equal(placer.LimitHold{Target: "t0", PerSecond: 1, Waited: sim.waits[id]}))
			granted++
		}
		if r, found := sim.refused[id]; found {
			g.Expect(r.Hold).NotTo(gomega.BeNil())
			g.Expect(r.Hold.PerSecond).To(gomega.Equal(1.0))
			if r.Hold.Target == "" {
				atOnce++
			} else {
				late++
			}
		}
	}
	t.Logf("%d granted after a wait, %d refused after one, %d at once", granted, late, atOnce)
	g.Expect(granted).To(gomega.BeNumerically(">=", 2))
	g.Expect(atOnce).To(gomega.BeNumerically(">=", 2))
}

// Guards against limits that are used up by loads whose requests then find no room. Load
// pattern: four of six targets are limited, and more requests for adapters that hardly any other
// request uses arrive than the two others have slots for.
func TestLimitsAreNotUsedUpByLoadsInVain(t *testing.T) {
	loads, grants := 0, 0
	for seed := range uint64(10) {
		g := gomega.NewWithT(t)
		sim := newSimulation(seed, 6, placer.Params{})
		sim.streamTime = time.Second
		limits := map[string]float64{"t0": 2.8, "t1": 2.1, "t2": 1.8, "t3": 1.2}
		for target, perSecond := range limits {
			sim.rateLimits[target] = perSecond
			sim.core.SetRateLimit(sim.now, target, perSecond, 0)
		}
		for range 400 {
			sim.advance(time.Duration(20+sim.random.IntN(60)) * time.Millisecond)
			rank := sim.random.ExpFloat64()
			sim.enqueue(adapter(int(rank*rank*20)), nil)
		}
		sim.advance(10 * time.Second)
		for target, perSecond := range limits {
			loads, grants = loads+sim.loads[target], grants+len(sim.grantTimes[target])
			g.Expect(float64(limittest.MostInWindow(sim.grantTimes[target]))).To(gomega.BeNumerically("<=", limittest.Bound(perSecond)), "seed %d, %s", seed, target)
		}
		t.Logf("seed %d: %d refused", seed, len(sim.refused))
	}
	t.Logf("limited targets: %d loads, %d grants", loads, grants)
	const ordersOfLoad = 2
	gomega.NewWithT(t).Expect(ordersOfLoad*loads).To(gomega.BeNumerically("<", grants), "more of the limits goes to orders than to requests")
}
