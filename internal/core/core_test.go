package core_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

var (
	adapterA   = model.AdapterVersion{Organisation: "baltzips", Adapter: "quotes", Version: "1"}
	adapterB   = model.AdapterVersion{Organisation: "baltzips", Adapter: "stock", Version: "1"}
	testHolder = model.Holder{VM: "vm1", Incarnation: 1}
)

func runner(name string, slots int) model.Target {
	return model.Target{Name: name, Class: model.ClassRunner, BaseModel: "base", Slots: slots, Concurrency: 2}
}

func request(id string, adapter model.AdapterVersion) core.Request {
	return core.Request{
		ID: model.RequestID(id), Organisation: adapter.Organisation, Adapter: adapter, Kind: "quote",
		Class: model.ClassRunner, BaseModel: "base", Deadline: 30 * time.Second, Worth: 1, Holder: testHolder,
	}
}

// driver applies events to a core at a virtual time and collects commands.
type driver struct {
	core         *core.Core
	now          core.Time
	stepInterval time.Duration // virtual time between two steps
}

// newDriver returns a driver of a baseline core with the given targets.
func newDriver(targets ...model.Target) *driver {
	d := &driver{core: core.New(core.Params{Group: "g"}, 1), now: time.Second, stepInterval: 100 * time.Millisecond}
	d.core.Apply(d.now, core.TargetsChanged{Targets: targets})
	return d
}

// step advances the time, applies the events and runs one tick.
func (d *driver) step(events ...core.Event) []core.Command {
	d.now += d.stepInterval
	for _, event := range events {
		d.core.Apply(d.now, event)
	}
	return d.core.Tick(d.now)
}

// state returns a state report that is requested now and lists no running requests.
func (d *driver) state(target, instance string, resident ...model.AdapterVersion) core.TargetState {
	return core.TargetState{Target: target, Instance: instance, RequestedAt: d.now, Resident: resident}
}

// commandsOf returns the commands of one type.
func commandsOf[T core.Command](commands []core.Command) []T {
	var found []T
	for _, command := range commands {
		if typed, ok := command.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

// Guards against an order that is sent before its intent is stored, and
// against several loads for requests that wait for the same adapter.
func TestRequestsForOneAdapterShareOneLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	d.step(core.TakenOver{Epoch: 1})
	out := d.step(d.state("t1", "i"), core.RequestQueued{Request: request("r1", adapterA)},
		core.RequestQueued{Request: request("r2", adapterA)})
	g.Expect(commandsOf[core.RequestLoadPermit](out)).To(gomega.HaveLen(1))
	out = d.step(core.LoadPermitted{Adapter: adapterA})
	intents := commandsOf[core.StoreIntent](out)
	g.Expect(intents).To(gomega.HaveLen(1))
	g.Expect(commandsOf[core.SendOrder](out)).To(gomega.BeEmpty())
	out = d.step(core.IntentStored{ID: intents[0].Intent.ID})
	g.Expect(commandsOf[core.SendOrder](out)).To(gomega.HaveLen(1))
	out = d.step(core.OrderDone{ID: intents[0].Intent.ID})
	g.Expect(commandsOf[core.GrantPermit](out)).To(gomega.HaveLen(2))
}

// Guards against an eviction while a VM that has not confirmed the epoch may
// use a permit for the adapter.
func TestNothingIsEvictedBeforeTheBarrier(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	d.step(core.TakenOver{Epoch: 2, Registered: []model.Holder{testHolder}})
	d.step(d.state("t1", "i", adapterA), core.RequestQueued{Request: request("r1", adapterB)})
	out := d.step(core.LoadPermitted{Adapter: adapterB})
	g.Expect(commandsOf[core.StoreIntent](out)).To(gomega.BeEmpty())
	out = d.step(core.EpochConfirmed{Holder: testHolder})
	g.Expect(commandsOf[core.StoreIntent](out)).To(gomega.BeEmpty()) // the last state report was requested before the barrier was passed
	d.step()
	out = d.step(d.state("t1", "i", adapterA))
	g.Expect(commandsOf[core.StoreIntent](out)).To(gomega.HaveLen(2))
}

// Guards against the use of an adapter that a paused former owner may still evict.
func TestFormerEvictIntentBlocksTheAdapter(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	former := model.Holder{VM: "vm2", Incarnation: 1}
	d.step(core.TakenOver{Epoch: 2, FormerOwner: former, FormerIntents: []core.Intent{
		{ID: 7, Epoch: 1, Kind: core.IntentEvict, Target: "t1", Adapter: adapterA},
	}})
	out := d.step(d.state("t1", "i", adapterA), core.RequestQueued{Request: request("r1", adapterA)})
	g.Expect(commandsOf[core.GrantPermit](out)).To(gomega.BeEmpty())
	out = d.step(core.EpochConfirmed{Holder: former})
	g.Expect(commandsOf[core.GrantPermit](out)).To(gomega.BeEmpty())
	d.step()
	out = d.step(d.state("t1", "i", adapterA))
	g.Expect(commandsOf[core.GrantPermit](out)).To(gomega.HaveLen(1))
	g.Expect(commandsOf[core.ClearIntent](out)).To(gomega.HaveLen(1))
}

// Guards against requests that hang when the owner shuts down.
func TestDrainRefusesTheQueueAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	d.step(core.TakenOver{Epoch: 1}, core.RequestQueued{Request: request("r1", adapterA)})
	refused := commandsOf[core.RefuseRequest](d.step(core.DrainStarted{}))
	g.Expect(refused).To(gomega.HaveLen(1))
	g.Expect(refused[0].Err.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a request that waits until its deadline for a load on a target
// that has begun to leave, while another group has its adapter.
// TestLeavingTargetGetsNoNewWork failed in this way: a request was refused only
// after 30 s.
func TestRequestsWithoutAnOpenTargetAreRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	d.step(core.TakenOver{Epoch: 1}, core.RequestQueued{Request: request("r1", adapterA)})
	leaving := runner("t1", 1)
	leaving.Leaving = true
	refused := commandsOf[core.RefuseRequest](d.step(core.TargetsChanged{Targets: []model.Target{leaving}}))
	g.Expect(refused).To(gomega.HaveLen(1))
	g.Expect(refused[0].Err.Code).To(gomega.Equal(errs.NoTarget))
	g.Expect(refused[0].Err.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against loads whose intents cannot be stored, and against refusals of
// requests for resident adapters, during a store outage.
func TestStoreOutageFreezesPlacementOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 2))
	d.step(core.TakenOver{Epoch: 1})
	d.step(d.state("t1", "i", adapterA))
	short := request("r2", adapterB)
	short.Deadline = time.Second
	out := d.step(core.StoreAvailability{Available: false},
		core.RequestQueued{Request: request("r1", adapterA)}, core.RequestQueued{Request: short})
	g.Expect(commandsOf[core.GrantPermit](out)).To(gomega.HaveLen(1))
	g.Expect(commandsOf[core.RequestLoadPermit](out)).To(gomega.BeEmpty())
	d.now += time.Second
	refused := commandsOf[core.RefuseRequest](d.step())
	g.Expect(refused).To(gomega.HaveLen(1))
	g.Expect(refused[0].Err.Code).To(gomega.Equal(errs.StoreUnavailable))
	out = d.step(core.StoreAvailability{Available: true}, core.RequestQueued{Request: request("r3", adapterB)})
	g.Expect(commandsOf[core.RequestLoadPermit](out)).To(gomega.HaveLen(1))
}

// Guards against permits for adapters that a target lost in a restart.
func TestRestartedTargetIsRebuiltFromItsStateReport(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 2))
	d.step(core.TakenOver{Epoch: 1})
	d.step(d.state("t1", "i", adapterA, adapterB))
	d.step(d.state("t1", "j", adapterB))
	out := d.step(core.RequestQueued{Request: request("r1", adapterA)}, core.RequestQueued{Request: request("r2", adapterB)})
	granted := commandsOf[core.GrantPermit](out)
	g.Expect(granted).To(gomega.HaveLen(1))
	g.Expect(granted[0].Permit.Adapter).To(gomega.Equal(adapterB))
}

// Guards against a gone holder's permit that ends while its request may still run,
// so that its adapter could be evicted.
func TestPermitOfGoneHolderEndsAfterCancelAndStatement(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDriver(runner("t1", 1))
	d.step(core.TakenOver{Epoch: 1})
	d.step(d.state("t1", "i", adapterA))
	d.step(core.RequestQueued{Request: request("r1", adapterA)})
	out := d.step(core.HolderGone{Holder: testHolder})
	g.Expect(commandsOf[core.CancelOnTarget](out)).To(gomega.HaveLen(1))
	other := request("r2", adapterB)
	other.Holder = model.Holder{VM: "vm2", Incarnation: 1}
	d.step(core.RequestQueued{Request: other})
	running := d.state("t1", "i", adapterA)
	running.Running = []model.RequestID{"r1"}
	d.step(running)
	g.Expect(commandsOf[core.StoreIntent](d.step(core.LoadPermitted{Adapter: adapterB}))).To(gomega.BeEmpty())
	d.step()
	g.Expect(commandsOf[core.StoreIntent](d.step(d.state("t1", "i", adapterA)))).To(gomega.HaveLen(2))
}
