package placer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/placer"
)

// newBaseCore returns a core with two targets that hold the base model.
func newBaseCore() *placer.Core {
	c := placer.New(placer.Params{FirstOwner: true, Engine: placer.Engine{AdapterSlots: 2, CacheTokens: 10000, Models: []placer.Model{{Name: "base"}}}})
	held := []fleet.ResidentModel{{Name: "base", Version: 1}}
	c.SetTargets(0, []fleet.Target{{ID: "t0", Slots: 4, Models: held}, {ID: "t1", Slots: 4, Models: held}})
	return c
}

// baseRequest returns a request for the base model.
func baseRequest(id string) placer.Request {
	return placer.Request{ID: id, Holder: "vm1", Adapter: placer.Adapter{Model: "base"}, PromptTokens: 100, OutputTokens: 10, Objective: 5 * time.Second, Deadline: 10 * time.Second}
}

// granted runs the core and returns the number of grants.
func granted(c *placer.Core, now placer.Time) int {
	count := 0
	for _, command := range c.Tick(now) {
		if _, ok := command.(placer.GrantRequest); ok {
			count++
		}
	}
	return count
}

// Guards against a request that another VM sends with values which overflow, and that waits or
// counts as running for ever, or keeps later requests from being served.
func TestRequestsWithAnyValuesEnd(t *testing.T) {
	extremes := []int64{math.MinInt64, math.MinInt64 + 1, -1, 0, math.MaxInt32, math.MaxInt64 - int64(time.Hour), math.MaxInt64}
	for field, set := range map[string]func(r *placer.Request, value int64){
		"bytes":     func(r *placer.Request, v int64) { r.Bytes = int(v) },
		"prompt":    func(r *placer.Request, v int64) { r.PromptTokens = int(v) },
		"output":    func(r *placer.Request, v int64) { r.OutputTokens = int(v) },
		"priority":  func(r *placer.Request, v int64) { r.Priority = int(v) },
		"objective": func(r *placer.Request, v int64) { r.Objective = time.Duration(v) },
		"deadline":  func(r *placer.Request, v int64) { r.Deadline = time.Duration(v) },
		"abandon":   func(r *placer.Request, v int64) { r.Abandon = time.Duration(v) },
		"part tokens": func(r *placer.Request, v int64) {
			r.Parts = []placer.Part{{ID: "p", Tokens: int(v)}, {ID: "q", Tokens: int(v)}}
		},
	} {
		for _, value := range extremes {
			for _, adopted := range []bool{false, true} {
				g := gomega.NewWithT(t)
				c := newBaseCore()
				now := placer.Time(time.Second)
				for i := range 3 {
					r := baseRequest(fmt.Sprint("q", i))
					set(&r, value)
					if adopted {
						c.AdoptRun(now, r, "t0", false)
					} else {
						c.Enqueue(now, r)
					}
					c.Tick(now)
				}
				for range 4 {
					now += 25 * time.Hour
					c.Tick(now)
				}
				about := fmt.Sprintf("%s %d, adopted %v", field, value, adopted)
				g.Expect(c.RunCount()).To(gomega.BeZero(), about)
				g.Expect(c.HasQueue()).To(gomega.BeFalse(), about)
				c.Enqueue(now, baseRequest("later"))
				g.Expect(granted(c, now)).To(gomega.Equal(1), about)
			}
		}
	}
}

// Guards against a limit or a pause with a value that overflows, and that keeps a target out of
// use or later statements from being heard.
func TestStatementsWithAnyValuesEnd(t *testing.T) {
	for _, value := range []int64{math.MinInt64, -1, math.MaxInt64 - int64(time.Hour), math.MaxInt64} {
		for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64, math.SmallestNonzeroFloat64} {
			g := gomega.NewWithT(t)
			c, now := newBaseCore(), placer.Time(time.Second)
			for _, target := range []string{"t0", "t1"} {
				c.SetRateLimit(now, target, rate, time.Duration(value))
				c.SetPause(now, "vm1", target, math.MaxInt64, time.Duration(value))
			}
			c.Tick(now)
			now += 25 * time.Hour
			c.SetRateLimit(now, "t0", 7, 0)
			g.Expect(c.RateLimits(now)["t0"].PerSecond).To(gomega.Equal(7.0), "a later limit, after %v of age %d", rate, value)
			c.Enqueue(now, baseRequest("later"))
			g.Expect(granted(c, now)).To(gomega.Equal(1), "rate %v, value %d", rate, value)
		}
	}
}

// Guards against a second grant of a running request, of which the first one would be
// forgotten and count as running for ever.
func TestRunningRequestIsNotGrantedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newBaseCore()
	r := baseRequest("q")
	c.Enqueue(0, r)
	g.Expect(granted(c, 0)).To(gomega.Equal(1))
	r.Exclude = []string{"t0"}
	c.Enqueue(0, r)
	r.Exclude = []string{"t1"}
	c.Enqueue(0, r)
	g.Expect(granted(c, 0)).To(gomega.BeZero())
	c.Release(0, "q", placer.Done)
	g.Expect(c.RunCount()).To(gomega.BeZero())
}

// Guards against names in requests, of adapters that do not exist and of VMs, which an owner
// remembers for ever.
func TestNamesInRequestsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	c, now := newBaseCore(), placer.Time(0)
	c.SetVersion(now, placer.Adapter{Model: "base", Name: "announced"}, 1)
	before := c.AdapterCount()
	const names = 20_000
	for i := range names {
		now += 50 * time.Millisecond
		r := baseRequest(fmt.Sprint("q", i))
		r.Adapter.Model, r.Adapter.Name = "none", fmt.Sprint("a", i)
		c.Enqueue(now, r)
		c.SetPause(now, fmt.Sprint("vm", i), "t0", 1, time.Second)
		c.Tick(now)
	}
	g.Expect(c.PauseCount()).To(gomega.BeNumerically("<", names/100))
	g.Expect(c.AdapterCount()).To(gomega.BeNumerically("<", names/4))
	for range 3 {
		now += 2 * time.Minute
		c.Tick(now)
	}
	g.Expect(c.AdapterCount()).To(gomega.Equal(before))
}
