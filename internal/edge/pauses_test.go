package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/metrics"
)

// Guards against a target that this VM chooses by itself during its pause, for plain requests or
// from the view of a group without an owner; and against one that is left out for another reason
// than its pause, after a restart, or because of its former incarnation.
func TestTargetsThatPauseAreNotChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(&Settings{DataCentre: "a"}, time.Now(), nil, func(string) {}, newVersionTable(), metrics.NewWith(metrics.EdgeDefinitions))
	changes := 0
	d.pausesChanged = func() { changes++ }
	var targets []fleet.Target
	for _, id := range []string{"t0", "t1"} {
		d.targets[id] = fleet.Target{ID: id, Service: "s", DataCentre: "a", Slots: 2, Born: 7}
		targets = append(targets, d.targets[id])
	}
	d.balancer("s").SetTargets(targets)
	picked := func() map[string]bool {
		all := map[string]bool{}
		for range 8 {
			if target, found := d.Pick("s", nil); found {
				all[target.ID] = true
			}
		}
		return all
	}
	usable := func(id string) bool {
		_, found := d.usableTarget(id)
		return found
	}
	g.Expect(picked()).To(gomega.HaveLen(2))

	d.RecordStatement("t0", gateway.TargetStatement{Pause: time.Minute, Born: 7, HeardAt: time.Now()})
	g.Expect(changes).To(gomega.Equal(1))
	g.Expect(picked()).To(gomega.Equal(map[string]bool{"t1": true}))
	g.Expect(usable("t0")).To(gomega.BeFalse())
	g.Expect(usable("t1")).To(gomega.BeTrue())
	g.Expect(d.ServicePausedFor("s")).To(gomega.BeZero())
	g.Expect(d.pausedByService()).To(gomega.Equal(map[string]int64{"s": 1}))

	d.recordPause("t1", 6, time.Hour) // of the former incarnation
	g.Expect(usable("t1")).To(gomega.BeTrue())
	d.recordPause("t1", 7, 30*time.Second)
	g.Expect(picked()).To(gomega.BeEmpty())
	g.Expect(d.ServicePausedFor("s")).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 30*time.Second)), "the shorter pause")
	g.Expect(d.pausedByService()).To(gomega.Equal(map[string]int64{"s": 2}))
	g.Expect(d.takeCall("t1")).To(gomega.BeTrue())
	g.Expect(d.takeCall("t1")).To(gomega.BeFalse())

	restarted := d.targets["t0"]
	restarted.Born = 8
	d.targets["t0"] = restarted
	g.Expect(usable("t0")).To(gomega.BeTrue())
	g.Expect(d.ServicePausedFor("s")).To(gomega.BeZero())
}

// Guards against statements in answers to orders and reports that nobody counts or records.
func TestStatementsInCallsAreRecorded(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &Daemon{metrics: metrics.NewWith(metrics.EdgeDefinitions)}
	d.deployment = newDeployment(&Settings{DataCentre: "a"}, time.Now(), nil, func(string) {}, newVersionTable(), d.metrics)
	d.deployment.pausesChanged = func() {}
	d.deployment.targets["t0"] = fleet.Target{ID: "t0", Service: "s", Born: 7}
	d.heardInCall("t0", 7, advisory.CallStatement{Invalid: []string{"Retry-After"}})
	g.Expect(d.pausedFor("t0")).To(gomega.BeZero())
	g.Expect(d.pauses()).To(gomega.BeEmpty())
	d.heardInCall("t0", 7, advisory.CallStatement{Pause: time.Minute})
	g.Expect(d.pausedFor("t0")).To(gomega.BeNumerically(">", 50*time.Second))
	g.Expect(d.pauses()).To(gomega.HaveLen(1))
}
