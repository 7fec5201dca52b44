package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/metrics"
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
			r.Put(fleet.StoredTarget{Target: fleet.Target{ID: "t", Service: "s", Born: born}, Revision: born})
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

	list(9)
	g.Expect(d.Usable("t", 9)).To(gomega.BeTrue())
	asked = d.NewestStart("t", 9)
	list(11)
	d.RecordStatement("t", gateway.TargetStatement{Leaving: true, Born: asked, SentAt: time.Now(), HeardAt: time.Now()})
	g.Expect(d.Usable("t", 11)).To(gomega.BeTrue(), "the former incarnation was asked")
	_, found = d.Pick("s", nil)
	g.Expect(found).To(gomega.BeTrue())
}
