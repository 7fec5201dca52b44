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
	lateBody := closed(terminated, "q1", 5*time.Second)
	lateBody.written = lateBody.sent.Add(1200 * time.Millisecond)
	const timeout = 7 * time.Second
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
		"no time left":                   {true, []answer{closed(v, "q1", timeout)}, 0},
		"time left":                      {true, []answer{closed(v, "q1", timeout-2*lossMargin)}, 1},
		"sent whole long after SIGTERM":  {true, []answer{lateBody}, 1},
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
			r.history = []termsInForce{{now.Add(-time.Hour), terms{timeout: timeout}}}
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

// Guards against a checker that takes requests with time left for those whose time has ended,
// or blames a VM for the end of a time limit.
func TestTheTimeLimitIsTheShortestThatMayBeInForce(t *testing.T) {
	now := time.Now()
	r := newRun(Options{Planned: true})
	for i, timeout := range []time.Duration{6 * time.Second, 7 * time.Second, 6500 * time.Millisecond, time.Minute} {
		r.history = append(r.history, termsInForce{now.Add(time.Duration(i) * 10 * time.Second), terms{timeout: timeout}})
	}
	for name, c := range map[string]struct {
		sent, done, limit time.Duration
	}{
		"first terms":                  {5 * time.Second, 9 * time.Second, 6 * time.Second},
		"before the next ones apply":   {10*time.Second + applyBound/2, 14 * time.Second, 6 * time.Second},
		"after they apply":             {11*time.Second + applyBound, 15 * time.Second, 7 * time.Second},
		"shorter terms come meanwhile": {18 * time.Second, 21 * time.Second, 6500 * time.Millisecond},
		"of the caller":                {45 * time.Second, 46 * time.Second, r.patience()},
	} {
		t.Run(name, func(t *testing.T) {
			limit := r.timeLimit(answer{sent: now.Add(c.sent), done: now.Add(c.done)})
			gomega.NewWithT(t).Expect(limit).To(gomega.Equal(c.limit))
		})
	}
}
