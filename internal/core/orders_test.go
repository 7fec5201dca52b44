package core_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// sendEvictWithUnknownResult makes a core send an evict order for adapterA on t1
// whose effect is then reported as unknown, and returns the intent of the order.
func sendEvictWithUnknownResult(g *gomega.WithT, d *driver) core.Intent {
	d.step(core.TakenOver{Epoch: 1})
	d.step(d.state("t1", "i", adapterA))
	d.step()
	late := request("r1", adapterB)
	late.Deadline = time.Hour
	d.step(d.state("t1", "i", adapterA), core.RequestQueued{Request: late})
	intents := commandsOf[core.StoreIntent](d.step(core.LoadPermitted{Adapter: adapterB}))
	g.Expect(intents).To(gomega.HaveLen(2))
	evict, load := intents[0].Intent, intents[1].Intent
	g.Expect(evict.Kind).To(gomega.Equal(core.IntentEvict))
	out := d.step(core.IntentStored{ID: load.ID}, core.IntentStored{ID: evict.ID})
	g.Expect(commandsOf[core.SendOrder](out)).To(gomega.Equal([]core.SendOrder{{Intent: evict}}))
	d.step(core.OrderOutcomeUnknown{ID: evict.ID})
	return evict
}

// Guards against the use of an adapter that an evict order without a result may
// still remove: if the order was sent twice, one copy may arrive after the other
// was carried out and the adapter was loaded again.
func TestResentEvictOrderBlocksTheAdapterUntilARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	evict := sendEvictWithUnknownResult(g, d)
	var repeated []core.SendOrder
	for range core.DefaultEvictResendReports {
		d.step()
		repeated = append(repeated, commandsOf[core.SendOrder](d.step(d.state("t1", "i", adapterA)))...)
	}
	g.Expect(repeated).To(gomega.Equal([]core.SendOrder{{Intent: evict}}))
	out := d.step(core.OrderDone{ID: evict.ID}, core.RequestQueued{Request: request("r2", adapterA)})
	g.Expect(commandsOf[core.SendOrder](out)).To(gomega.HaveLen(1)) // the load of the other adapter
	load := commandsOf[core.SendOrder](out)[0].Intent
	// A later owner must find the intent, because a copy of the order may still arrive.
	g.Expect(commandsOf[core.ClearIntent](out)).To(gomega.BeEmpty())
	d.step(core.OrderFailed{ID: load.ID, Err: errs.New(errs.TargetRefused, "refused")})
	d.step()
	d.step(d.state("t1", "i"), core.RequestCancelled{ID: "r1"})
	g.Expect(commandsOf[core.StoreIntent](d.step(core.LoadPermitted{Adapter: adapterA}))).To(gomega.BeEmpty())
	out = d.step(d.state("t1", "j"))
	g.Expect(commandsOf[core.StoreIntent](out)).To(gomega.HaveLen(1))
	g.Expect(commandsOf[core.ClearIntent](out)).To(gomega.ContainElement(core.ClearIntent{ID: evict.ID}))
}

// Guards against a lost evict order that leaves the slot unusable for ever, and
// against a load that starts before the slot is free.
func TestUnknownEvictOrderIsResolvedByAStateReport(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	evict := sendEvictWithUnknownResult(g, d)
	stale := d.state("t1", "i")
	stale.RequestedAt -= time.Second // requested before the effect became unknown
	g.Expect(commandsOf[core.SendOrder](d.step(stale))).To(gomega.BeEmpty())
	d.step()
	out := d.step(d.state("t1", "i"))
	g.Expect(commandsOf[core.ClearIntent](out)).To(gomega.ContainElement(core.ClearIntent{ID: evict.ID}))
	g.Expect(commandsOf[core.SendOrder](out)).To(gomega.HaveLen(1))
}
