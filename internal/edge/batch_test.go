package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/ratelimit"
)

// Guards against a target that starts anew and is not used, because its removal and its new
// description come in one answer of the store.
func TestTargetThatRestartsWithinOneBatchIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	m := metrics.NewWith(metrics.EdgeDefinitions)
	versions := newVersionTable()
	d := &Daemon{
		metrics: m, log: zerolog.Nop(), versions: versions, groups: groupserver.New(groupserver.Options{VM: "vm0"}),
		deployment: newDeployment(&Settings{DataCentre: "d"}, time.Now(), func() ratelimit.Position { return ratelimit.Position{VMs: 1} }, func(string) {}, versions, m),
		kinds: ObjectKinds{DecodeTarget: func(id string, value []byte) (fleet.Target, error) {
			target := fleet.Target{ID: id, Service: "s", Slots: 1}
			_, err := fmt.Sscan(string(value), &target.Born)
			return target, err
		}},
	}
	h := &targetHandler{d: d}
	object := func(name string, revision, born int64) objectstore.Object {
		return objectstore.Object{Key: "servers/" + name, Version: revision, Revision: revision, Value: fmt.Append(nil, born)}
	}
	h.Replace([]objectstore.Object{object("a", 3, 1)}, 4)
	h.Change([]objectstore.Change{
		{Object: object("a", 5, 1), Deleted: true}, {Object: object("a", 6, 2)}, {Object: object("b", 7, 1)},
	}, 7)
	target, usable := d.usableTarget("a")
	g.Expect(usable).To(gomega.BeTrue())
	g.Expect(target.Born).To(gomega.Equal(int64(2)))
	h.Change([]objectstore.Change{{Object: object("a", 8, 3)}, {Object: object("a", 9, 3), Deleted: true}}, 9)
	_, usable = d.usableTarget("a")
	g.Expect(usable).To(gomega.BeFalse())
}
