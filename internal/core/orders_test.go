package core_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// evictUnknown brings a core to the point where an evict order for adapterA on
// t1 has no result, and returns the order.
func evictUnknown(g *gomega.WithT, d *driver) core.Intent {
	d.step(core.TakenOver{Epoch: 1})
	d.step(d.state("t1", "i", adapterA))
	d.step()
	late := request("r1", adapterB)
	late.Deadline = time.Hour
	d.step(d.state("t1", "i", adapterA), core.RequestQueued{Request: late})
	intents := find[core.StoreIntent](d.step(core.LoadPermitted{Adapter: adapterB}))
	g.Expect(intents).To(gomega.HaveLen(2))
	evict, load := intents[0].Intent, intents[1].Intent
	g.Expect(evict.Kind).To(gomega.Equal(core.IntentEvict))
	out := d.step(core.IntentStored{ID: load.ID}, core.IntentStored{ID: evict.ID})
	g.Expect(find[core.SendOrder](out)).To(gomega.Equal([]core.SendOrder{{Intent: evict}}))
	d.step(core.OrderUnknown{ID: evict.ID})
	return evict
}

// Guards against the use of an adapter that an evict order without a result may
// still remove: once sent twice, one copy may arrive after the other was
// carried out and the adapter was loaded again.
func TestRepeatedEvictOrderBarsTheAdapterUntilARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	evict := evictUnknown(g, d)
	var repeated []core.SendOrder
	for range core.DefaultEvictRetries {
		d.step()
		repeated = append(repeated, find[core.SendOrder](d.step(d.state("t1", "i", adapterA)))...)
	}
	g.Expect(repeated).To(gomega.Equal([]core.SendOrder{{Intent: evict}}))
	out := d.step(core.OrderDone{ID: evict.ID}, core.RequestQueued{Request: request("r2", adapterA)})
	g.Expect(find[core.SendOrder](out)).To(gomega.HaveLen(1)) // the load of the other adapter
	load := find[core.SendOrder](out)[0].Intent
	// A later owner must find the intent, because a copy of the order may be late.
	g.Expect(find[core.ClearIntent](out)).To(gomega.BeEmpty())
	d.step(core.OrderFailed{ID: load.ID, Err: errs.New(errs.TargetRefused, "refused")})
	d.step()
	d.step(d.state("t1", "i"), core.RequestCancelled{ID: "r1"})
	g.Expect(find[core.StoreIntent](d.step(core.LoadPermitted{Adapter: adapterA}))).To(gomega.BeEmpty())
	out = d.step(d.state("t1", "j"))
	g.Expect(find[core.StoreIntent](out)).To(gomega.HaveLen(1))
	g.Expect(find[core.ClearIntent](out)).To(gomega.ContainElement(core.ClearIntent{ID: evict.ID}))
}

// Guards against a lost evict order that leaves the slot unusable for ever, and
// against a load that starts before the slot is free.
func TestUnknownEvictOrderIsSettledByAStatement(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	evict := evictUnknown(g, d)
	stale := d.state("t1", "i")
	stale.AskedAt -= time.Second // asked for before the result was unknown
	g.Expect(find[core.SendOrder](d.step(stale))).To(gomega.BeEmpty())
	d.step()
	out := d.step(d.state("t1", "i"))
	g.Expect(find[core.ClearIntent](out)).To(gomega.ContainElement(core.ClearIntent{ID: evict.ID}))
	g.Expect(find[core.SendOrder](out)).To(gomega.HaveLen(1))
}
