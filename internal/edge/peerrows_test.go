package edge

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/ratelimit"
)

// Guards against an odd row in what another VM sends that hides the others or is used.
func TestOddRowsOfAnUpdateAreLeftOut(t *testing.T) {
	g := gomega.NewWithT(t)
	m := metrics.NewWith(metrics.EdgeDefinitions)
	versions := newVersionTable()
	d := &Daemon{
		metrics: m, log: zerolog.Nop(), versions: versions, groups: groupserver.New(groupserver.Options{VM: "vm0"}),
		deployment: newDeployment(&Settings{DataCentre: "d"}, time.Now(), func() ratelimit.Position { return ratelimit.Position{VMs: 1} }, func(string) {}, versions, m),
	}
	row := func(id string, slots int) fleet.Row {
		return fleet.Row{Revision: 5, Target: fleet.Target{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "d", Slots: slots, Born: 7}}
	}
	version := func(adapter string, n int64) grouprpc.AdapterVersion {
		return grouprpc.AdapterVersion{Adapter: placer.Adapter{Model: "m", Name: adapter}, Version: n, Revision: 5}
	}
	d.applyUpdate(&grouprpc.DeploymentUpdate{
		Told: true, Targets: fleet.Changes{AsOf: 6, Full: true, Rows: []fleet.Row{row("a", 8), row("odd", math.MinInt), row("b", 8), row("", 8)}},
		Versions: grouprpc.VersionUpdate{AsOf: 6, Rows: []grouprpc.AdapterVersion{version("a1", 2), version("a2", math.MaxInt64), version("a3", -1), version("", 3), version("a4", 4)}},
	})
	g.Expect(d.deployment.targets).To(gomega.HaveLen(2))
	g.Expect(d.deployment.appliedTargetRevision()).To(gomega.Equal(objectstore.Position(6)))
	g.Expect(versions.all()).To(gomega.Equal(map[placer.Adapter]int64{{Model: "m", Name: "a1"}: 2, {Model: "m", Name: "a4"}: 4}))
	g.Expect(versions.appliedRevision()).To(gomega.Equal(objectstore.Position(6)))

	d.mergeLeaving(advisory.Delta{Leaving: []advisory.LeavingTarget{
		{Target: "a", Born: math.MaxInt64}, {Target: "", Born: 7}, {Target: "x", Born: -1}, {Target: "b", Born: 7, Age: math.MaxInt64},
	}})
	_, usable := d.usableTarget("a")
	g.Expect(usable).To(gomega.BeTrue())
	_, usable = d.usableTarget("b")
	g.Expect(usable).To(gomega.BeFalse())
}
