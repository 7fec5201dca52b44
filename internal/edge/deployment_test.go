package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/ratelimit"
)

// Guards against requests to a target that has said that it leaves, in its answer to a request
// under a grant for its former incarnation, and against a new incarnation that stays out of use
// because of an answer to a request that the former one got.
func TestWordsBindForTheIncarnationThatWasAsked(t *testing.T) {
	g := gomega.NewWithT(t)
	settings := &Settings{DataCentre: "d"}
	d := newDeployment(settings, time.Now(), func() ratelimit.Position { return ratelimit.Position{VMs: 1} }, func(string) {}, nil, metrics.NewWith(metrics.EdgeDefinitions))
	list := func(born int64) {
		d.updateRegistry(func(r *fleet.Registry, _ time.Time) {
			r.Put(time.Now(), fleet.StoredTarget{Target: fleet.Target{ID: "t", Service: "s", Born: born}, Revision: objectstore.Position(born)})
		})
	}
	list(7)
	const granted = 5
	asked := d.NewestStart("t", granted)
	d.RecordStatement("t", gateway.TargetStatement{Leaving: true, Born: asked, SentAt: time.Now(), HeardAt: time.Now()})
	g.Expect(d.Usable("t", granted)).To(gomega.BeFalse())
	g.Expect(d.Usable("t", 7)).To(gomega.BeFalse())
	_, usable := d.usableTarget("t")
	g.Expect(usable).To(gomega.BeFalse())
	_, found := d.Pick("s", nil)
	g.Expect(found).To(gomega.BeFalse())
	g.Expect(d.leavingByService()).To(gomega.Equal(map[string]int64{"s": 1}))

	list(9)
	g.Expect(d.Usable("t", 9)).To(gomega.BeTrue())
	asked = d.NewestStart("t", 9)
	list(11)
	d.RecordStatement("t", gateway.TargetStatement{Leaving: true, Born: asked, SentAt: time.Now(), HeardAt: time.Now()})
	g.Expect(d.Usable("t", 11)).To(gomega.BeTrue(), "the former incarnation was asked")
	_, found = d.Pick("s", nil)
	g.Expect(found).To(gomega.BeTrue())

	for _, target := range []string{"t", "unlisted"} { // the owner knows of both, this VM does not
		asked = d.NewestStart(target, 13)
		g.Expect(d.Usable(target, 13)).To(gomega.BeTrue(), target)
		d.RecordStatement(target, gateway.TargetStatement{Leaving: true, Born: asked, SentAt: time.Now(), HeardAt: time.Now()})
		g.Expect(d.Usable(target, 13)).To(gomega.BeFalse(), target)
		g.Expect(d.Usable(target, 14)).To(gomega.BeTrue(), target)
	}
}

// Guards against a log that does not tell since when and by whose word a target left, at the begin
// and at each kind of end.
func TestChangesTellTheSourceAndAgeOfTheWord(t *testing.T) {
	for name, c := range map[string]struct {
		own  bool // this VM heard it from the target
		end  func(d *deployment, r *fleet.Registry, told time.Duration)
		kind targetChangeKind
	}{
		"starts anew": {own: true, kind: targetRestarted, end: func(_ *deployment, r *fleet.Registry, _ time.Duration) {
			r.Put(time.Now(), fleet.StoredTarget{Target: fleet.Target{ID: "t", Service: "s", Born: 9}, Revision: 9})
		}},
		"is gone": {kind: targetGone, end: func(_ *deployment, r *fleet.Registry, _ time.Duration) { r.Remove(time.Now(), "t", 9) }},
		"its answer does not say so": {kind: targetStaying, end: func(d *deployment, _ *fleet.Registry, told time.Duration) {
			d.statements.Observe(advisory.Incarnation{Target: "t", Born: 7}, advisory.Statement{SentAt: told + 1, HeardAt: told + 2}, ratelimit.Position{VMs: 1})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			const age = time.Second
			d := newDeployment(&Settings{DataCentre: "d"}, time.Now().Add(-time.Minute), func() ratelimit.Position { return ratelimit.Position{VMs: 1} }, func(string) {}, nil, metrics.NewWith(metrics.EdgeDefinitions))
			d.updateRegistry(func(r *fleet.Registry, _ time.Time) {
				r.Put(time.Now(), fleet.StoredTarget{Target: fleet.Target{ID: "t", Service: "s", Born: 7}, Revision: 7})
			})
			d.takeChanges()
			told, source := d.now(), sourceOwner
			if c.own {
				source = sourceAnswer
				heard := time.Now().Add(-age)
				d.RecordStatement("t", gateway.TargetStatement{Leaving: true, Born: 7, SentAt: heard, HeardAt: heard})
			} else {
				d.mergeLeaving(advisory.Delta{Version: 1, Leaving: []advisory.LeavingTarget{{Target: "t", Born: 7, Age: age}}})
			}
			changes := d.takeChanges()
			g.Expect(changes).To(gomega.HaveLen(1))
			g.Expect(changes[0].kind).To(gomega.Equal(targetLeaving))
			g.Expect(changes[0].source).To(gomega.Equal(source))
			g.Expect(changes[0].age).To(gomega.BeNumerically(">=", age))
			d.updateRegistry(func(r *fleet.Registry, _ time.Time) { c.end(d, r, told) })
			changes = d.takeChanges()
			g.Expect(changes).To(gomega.HaveLen(1))
			g.Expect(changes[0].kind).To(gomega.Equal(c.kind))
			g.Expect(changes[0].age).To(gomega.BeNumerically(">=", age))
			g.Expect(d.leavingByService()["s"]).To(gomega.BeZero())
		})
	}
}

// Guards against entries of other writers whose services, which no configuration names, are kept
// for ever.
func TestTargetsOfUnknownServicesAreNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDeployment(&Settings{DataCentre: "d"}, time.Now(), func() ratelimit.Position { return ratelimit.Position{VMs: 1} }, func(string) {}, nil, metrics.NewWith(metrics.EdgeDefinitions))
	configure := func(version uint64, services ...string) {
		c := &fleet.Config{Version: version, Services: map[string]fleet.Service{}}
		for _, name := range services {
			c.Services[name] = fleet.Service{Name: name}
		}
		c.Routes = []fleet.Route{{Name: "r", Host: "h", PathPrefix: "/", Backends: []fleet.Backend{{Service: "routed"}}}}
		g.Expect(d.setConfig(c)).To(gomega.BeTrue())
	}
	configure(1, "named")
	for i := range 1000 {
		d.updateRegistry(func(r *fleet.Registry, now time.Time) {
			for _, service := range []string{"named", "routed", fmt.Sprint("unknown", i)} {
				r.Put(now, fleet.StoredTarget{Target: fleet.Target{ID: service, Service: service, Sequence: int64(i)}, Revision: objectstore.Position(1 + i)})
			}
		})
	}
	g.Expect(d.leavingByService()).To(gomega.Equal(map[string]int64{"named": 0, "routed": 0}))
	_, usable := d.usableTarget("unknown7")
	g.Expect(usable).To(gomega.BeFalse())
	configure(2, "named", "unknown7")
	_, usable = d.usableTarget("unknown7")
	g.Expect(usable).To(gomega.BeTrue())
}
