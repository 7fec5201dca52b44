package edgetest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/ratelimit/limittest"
	"cicadaslip/internal/standin/engine"
)

// learnTime is the time in which the VMs learn of the limits, which the platform allows for.
const learnTime = 4 * time.Second

// mostInWindow returns the largest number of runs within a window from a time on.
func mostInWindow(runs []engine.Run, from time.Time) int {
	var times []time.Duration
	for _, r := range runs {
		if !r.At.Before(from) {
			times = append(times, r.At.Sub(from))
		}
	}
	slices.Sort(times)
	return limittest.MostInWindow(times)
}

// Guards against targets that get more requests than they have said that they take, from all
// VMs together, while the VM that grants their requests is replaced.
func TestAllVMsTogetherKeepTheLimitsOfTargets(t *testing.T) {
	c := start(t, 3)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	limited := map[string]float64{"e0": 1.5, "e1": 0.8, "a0": 2, "a1": 0.5}
	for _, targets := range [][]*engine.Target{c.engines, c.apps} {
		for i, target := range targets {
			target.Crash()
			s := target.Settings
			s.RateLimit = limited[s.ID]
			targets[i] = c.target(s)
		}
	}
	began := time.Now()
	former := c.owner()
	var workers sync.WaitGroup
	for i, v := range c.vms {
		if v == former {
			v = c.vms[(i+1)%len(c.vms)]
		}
		for worker := range 6 {
			path, adapter := quote, fmt.Sprint("a", worker%3)
			if worker >= 3 {
				path, adapter = lookup, ""
			}
			workers.Go(func() {
				for time.Since(began) < learnTime+2*limittest.Window {
					c.ask(v, request{path: path + "x", adapter: adapter, deadline: 2 * time.Second})
				}
			})
		}
	}
	time.Sleep(learnTime + limittest.Window/2)
	former.daemon.Kill()
	workers.Wait()
	for _, target := range append(slices.Clone(c.engines), c.apps...) {
		perSecond, found := limited[target.Settings.ID]
		most := mostInWindow(target.Runs(), began.Add(learnTime))
		t.Logf("%s: limit %v, %d runs, most in a window %d", target.Settings.ID, perSecond, len(target.Runs()), most)
		if found {
			c.g.Expect(float64(most)).To(gomega.BeNumerically("<=", limittest.Bound(perSecond)))
		}
	}
}

// Guards against limits that neither log nor metrics tell: which target, how many requests a
// second, who said so, who decided on what was sent, and which request waited.
func TestTheLogsTellLimitsAndWhoDecidedOnRequests(t *testing.T) {
	c := start(t, 2)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	const perSecond = 1.5
	for _, targets := range [][]*engine.Target{c.engines, c.apps} {
		for i, target := range targets {
			target.Crash()
			s := target.Settings
			s.RateLimit = perSecond
			targets[i] = c.target(s)
		}
	}
	began := time.Now()
	var ids []string
	for time.Since(began) < learnTime+advisory.LimitReportInterval {
		for i, v := range c.vms {
			for _, path := range []string{quote, lookup} {
				id := fmt.Sprintf("limited%d", number.Add(1))
				ids = append(ids, id)
				go c.ask(v, request{id: id, path: path + "x", adapter: fmt.Sprint("a", i), deadline: 2 * time.Second})
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	lines := func(event string, fields ...string) int {
		count := 0
		for line := range strings.Lines(c.logs.text()) {
			if strings.Contains(line, `"event":"`+event+`"`) && !slices.ContainsFunc(fields, func(f string) bool { return !strings.Contains(line, f) }) {
				count++
			}
		}
		return count
	}
	c.g.Eventually(func() int { return lines("target_limited", `"limit":1.5`, `"source":"answer"`, `"born":`) }).WithTimeout(limit).Should(gomega.BeNumerically(">=", 1))
	c.g.Eventually(func() int { return lines("target_limit_used", `"granted":`, `"target":"e`) }).WithTimeout(limit).Should(gomega.BeNumerically(">=", 1))
	c.g.Eventually(func() int { return lines("target_limit_used", `"chosen":`, `"target":"a`) }).WithTimeout(limit).Should(gomega.BeNumerically(">=", 1))
	seconds := int(time.Since(began)/advisory.LimitReportInterval) + 2
	c.g.Expect(lines("target_limit_used") + lines("target_limit_changed")).To(gomega.BeNumerically("<=", seconds*len(c.vms)*(len(c.engines)+len(c.apps))))
	c.g.Expect(slices.ContainsFunc(ids, func(id string) bool {
		return lines("limited", `"request":"`+id+`"`, `"limited_by":"e`) > 0 && strings.Contains(c.story(id), "limit: held up for")
	})).To(gomega.BeTrue(), "no request is told to have waited for a limit")
	c.g.Expect(slices.ContainsFunc(ids, func(id string) bool {
		return lines("limited", `"request":"`+id+`"`, "no share") > 0 && strings.Contains(c.story(id), "limit: no share of a rate limit left")
	})).To(gomega.BeTrue(), "no request is told to have been refused for want of a share")
}
