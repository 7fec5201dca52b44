package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
)

// Guards against a checker that does not see requests that end without a complete answer,
// or that blames a VM for what the rule allows.
func TestTheCheckerFindsLostRequests(t *testing.T) {
	target := ran(t, "q1", "q2", "q3", "q4")
	now := time.Now()
	v := &vm{name: "vm0"}
	terminated := &vm{name: "vm1", timeline: timeline{spans: []*span{{kind: restarted, from: now.Add(-7 * time.Second)}}}}
	closed := func(v *vm, id string, sent time.Duration) answer {
		at := now.Add(-sent)
		return answer{id: id, kind: kindBooking, vm: v, kept: true, sent: at, written: at, done: now}
	}
	// The target had ended its work on q1 long before the end of this grace period.
	idle := closed(&vm{name: "vm3", timeline: timeline{spans: []*span{{kind: restarted, from: now.Add(time.Minute - 7*time.Second)}}}}, "q1", 0)
	idle.sent, idle.written, idle.done = now.Add(time.Minute-5*time.Second), now.Add(time.Minute-5*time.Second), now.Add(time.Minute)
	begun := closed(v, "q1", 2*time.Second)
	begun.status = 200
	unsent := closed(v, "q1", 2*time.Second)
	unsent.written = time.Time{}
	frozenOnce := &vm{name: "vm2", timeline: timeline{spans: []*span{{kind: frozen, from: now.Add(-5 * time.Second), to: now.Add(-3 * time.Second)}}}}
	four := func(v *vm) []answer {
		return []answer{
			closed(v, "q1", time.Second), closed(v, "q2", time.Second), closed(v, "q3", time.Second), closed(v, "q4", time.Second),
		}
	}
	for name, c := range map[string]struct {
		planned bool
		answers []answer
		lost    int
	}{
		"closed":                         {true, []answer{closed(v, "q1", 2*time.Second)}, 1},
		"cut":                            {true, []answer{begun}, 1},
		"closed, long unread":            {true, []answer{closed(v, "q9", 2*time.Second)}, 1},
		"closed while it was sent":       {true, []answer{closed(v, "q9", lossSlack/2)}, 0},
		"not sent whole":                 {true, []answer{unsent}, 0},
		"no time left":                   {true, []answer{closed(v, "q1", 6*time.Second)}, 0},
		"at the end of the grace":        {true, []answer{closed(terminated, "q1", 5*time.Second)}, 0},
		"no target at work":              {true, []answer{idle}, 1},
		"sent long after SIGTERM":        {true, []answer{closed(terminated, "q1", 2*time.Second)}, 1},
		"four beside disruptions":        {false, four(v), 1},
		"three beside disruptions":       {false, four(v)[:3], 0},
		"beside a disruption of this VM": {false, four(frozenOnce), 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRun(Options{Planned: c.planned})
			r.targets = []*engine.Target{target}
			r.checker.answers = c.answers
			r.checkLost()
			gomega.NewWithT(t).Expect(r.checker.violations).To(gomega.HaveLen(c.lost))
		})
	}
}

// Guards against a checker that blames VMs for answers that targets broke off.
func TestTheCheckerExcusesAnswersThatTargetsBrokeOff(t *testing.T) {
	target := ran(t, "q1")
	target.Crash()
	sent := time.Now().Add(-time.Second)
	r := newRun(Options{Planned: true})
	r.targets = []*engine.Target{target}
	r.checker.answers = []answer{{id: "q1", kind: kindBooking, vm: &vm{name: "vm0"}, sent: sent, written: sent, done: time.Now()}}
	r.checkLost()
	gomega.NewWithT(t).Expect(r.checker.violations).To(gomega.BeEmpty())
}
