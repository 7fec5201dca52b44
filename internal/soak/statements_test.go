package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

// startApp starts a plain target, without a process in front of it.
func startApp(t *testing.T) *engine.Target {
	g := gomega.NewWithT(t)
	store, err := metastore.Start("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	target, err := engine.Start(engine.Settings{ID: "a", Service: plainService, Slots: 6}, store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(target.Crash)
	return target
}

// Guards against a checker that does not see requests that reach a leaving target, or that
// blames a VM that has forgotten what it was told.
func TestTheCheckerFindsRequestsAtLeavingTargets(t *testing.T) {
	for name, c := range map[string]struct {
		after   time.Duration // between the two requests
		trouble trouble       // between them
		other   bool          // the second one goes through another VM
		silent  bool          // the first answer says nothing
		broken  int
	}{
		"later than the drain time": {after: drain + time.Second, broken: 1},
		"within the drain time":     {after: drain - time.Second},
		"after a restart":           {after: drain + time.Second, trouble: restarted},
		"after a pause":             {after: drain + time.Second, trouble: frozen},
		"after a cut":               {after: drain + time.Second, trouble: cut, broken: 1},
		"from another VM":           {after: drain + time.Second, other: true},
		"of a target that goes on":  {after: drain + time.Second, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := startApp(t)
			if !c.silent {
				target.SayLeaving("1")
			}
			v := &vm{name: "vm0", caller: target.Settings.Address}
			r := newRun(Options{})
			r.targets = []*engine.Target{target}
			first := r.askAs(newClient(), v, kindLookup, "q1")
			second := r.askAs(newClient(), v, kindLookup, "q2")
			g.Expect(second.status).To(gomega.Equal(200))
			first.head = second.sent.Add(-c.after)
			first.sent = first.head
			if c.trouble != "" {
				at := second.sent.Add(-c.after / 2)
				v.timeline.spans = []*span{{kind: c.trouble, from: at, to: at.Add(time.Millisecond)}}
			}
			if c.other {
				second.vm = &vm{name: "vm1"}
			}
			r.checker.answers = []answer{first, second}
			r.checkLeaving()
			g.Expect(r.checker.violations).To(gomega.HaveLen(c.broken))
		})
	}
}

// Guards against a checker that does not see requests at targets that the store has announced
// to leave, or that blames VMs for what they could not know.
func TestTheCheckerFindsRequestsAtTargetsThatReportedToLeave(t *testing.T) {
	for name, c := range map[string]struct {
		after       time.Duration // since the report, when the request arrives
		vm, store   time.Duration // since the report, when they are disturbed
		misdirected bool
		broken      bool
	}{
		"later than the drain time":      {after: drain + time.Second, broken: true},
		"within the drain time":          {after: drain - time.Second},
		"refused with status 421":        {after: drain + time.Second, misdirected: true},
		"VM disturbed before the report": {after: drain + time.Second, vm: -100 * time.Millisecond},
		"VM disturbed since the report":  {after: drain + time.Second, vm: time.Second},
		"VM disturbed long before":       {after: drain + 6*time.Second, vm: time.Second, broken: true},
		"store disturbed":                {after: drain + 6*time.Second, store: -time.Second},
		"store disturbed since":          {after: drain + time.Second, store: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r, v, reported := newRun(Options{}), &vm{name: "vm0"}, time.Now()
			if c.vm != 0 {
				v.timeline.spans = []*span{{kind: restarted, from: reported.Add(c.vm), to: reported.Add(c.vm + time.Millisecond)}}
			}
			if c.store != 0 {
				r.storeTimeline.spans = []*span{{kind: disrupted, from: reported.Add(c.store), to: reported.Add(c.store + time.Millisecond)}}
			}
			at := reported.Add(c.after)
			broken := r.afterReport(answer{id: "q1", vm: v, sent: at}, engine.Arrival{ID: "q1", At: at, Misdirected: c.misdirected}, reported)
			gomega.NewWithT(t).Expect(broken).To(gomega.Equal(c.broken))
		})
	}
}

// Guards against a checker that does not see requests in the pauses that targets ask for, or
// that counts what was on its way.
func TestTheCheckerFindsRequestsInPauses(t *testing.T) {
	for name, c := range map[string]struct {
		retryAfter string
		requests   int
		trouble    trouble
		other      bool // they go through another VM
		early      bool // they arrive before the pause binds
		broken     int
	}{
		"three":           {retryAfter: "3", requests: 3, broken: 1},
		"two":             {retryAfter: "3", requests: 2},
		"before it binds": {retryAfter: "3", requests: 3, early: true},
		"after its end":   {retryAfter: "0.2", requests: 3},
		"from another VM": {retryAfter: "3", requests: 3, other: true},
		"after a restart": {retryAfter: "3", requests: 3, trouble: restarted},
		"after a cut":     {retryAfter: "3", requests: 3, trouble: cut},
		"without a time":  {retryAfter: "soon", requests: 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := startApp(t)
			target.TurnAway(1, c.retryAfter)
			v := &vm{name: "vm0", caller: target.Settings.Address}
			r := newRun(Options{})
			r.targets = []*engine.Target{target}
			refused := r.askAs(newClient(), v, kindLookup, "q0")
			g.Expect(refused.status).To(gomega.Equal(503))
			r.checker.answers = []answer{refused}
			if c.trouble != "" {
				v.timeline.begin(c.trouble)()
			}
			if !c.early {
				time.Sleep(pauseNotice + 10*time.Millisecond)
			}
			for i := range c.requests {
				a := r.askAs(newClient(), v, kindLookup, fmt.Sprintf("q%d", 1+i))
				if c.other {
					a.vm = &vm{name: "vm1"}
				}
				r.checker.answers = append(r.checker.answers, a)
			}
			r.checkPauses()
			g.Expect(r.checker.violations).To(gomega.HaveLen(c.broken))
		})
	}
}
