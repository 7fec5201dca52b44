package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
)

// Guards against a checker that does not see more requests than a target's limit allows, or
// that counts VMs that have not heard of the limit.
func TestTheCheckerFindsRequestsBeyondALimit(t *testing.T) {
	const rate = 0.5 // 8 requests in a window
	for name, c := range map[string]struct {
		requests int
		trouble  trouble
		other    bool // they go through another VM
		early    bool // the target has just named its limit
		broken   int
	}{
		"beyond":          {requests: 9, broken: 1},
		"as allowed":      {requests: 8},
		"early":           {requests: 9, early: true},
		"from another VM": {requests: 9, other: true},
		"after a pause":   {requests: 9, trouble: frozen},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			target := startApp(t)
			target.NameLimit(rate)
			v := &vm{name: "vm0", caller: target.Settings.Address}
			r := newRun(Options{})
			r.targets = []*engine.Target{target}
			r.checker.answers = []answer{r.askAs(newClient(), v, kindLookup, "q0")}
			if c.trouble != "" {
				v.timeline.begin(c.trouble)()
			}
			if !c.early {
				time.Sleep(stabilityWindow + 10*time.Millisecond)
			}
			for i := range c.requests {
				a := r.askAs(newClient(), v, kindLookup, fmt.Sprintf("q%d", 1+i))
				if c.other {
					a.vm = &vm{name: "vm1"}
				}
				r.checker.answers = append(r.checker.answers, a)
			}
			r.limits[target] = &limited{rate: rate, to: time.Now()}
			r.checkLimits()
			g.Expect(r.checker.violations).To(gomega.HaveLen(c.broken))
		})
	}
}
