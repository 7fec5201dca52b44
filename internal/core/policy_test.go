package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// newProductionDriver returns a driver of a core with the production policies that
// has applied the events.
func newProductionDriver(events ...core.Event) *driver {
	d := &driver{core: core.New(core.Params{Group: "g", Policies: core.ProductionPolicies()}, 1), now: time.Second, stepInterval: 20 * time.Millisecond}
	d.step(events...)
	return d
}

// Guards against service calls that wait for adapter slots, which services do not have.
func TestServicesNeedOnlyConcurrency(t *testing.T) {
	g := gomega.NewWithT(t)
	service := model.Target{Name: "s1", Class: model.ClassService, Application: "stock", Concurrency: 1}
	d := newProductionDriver(core.TargetsChanged{Targets: []model.Target{service}}, core.TakenOver{Epoch: 1})
	call := func(id string) core.RequestQueued {
		return core.RequestQueued{Request: core.Request{
			ID: model.RequestID(id), Organisation: "baltzips", Class: model.ClassService,
			Application: "stock", Deadline: 10 * time.Second, Holder: testHolder,
		}}
	}
	g.Expect(commandsOf[core.GrantPermit](d.step(call("c1"), call("c2")))).To(gomega.HaveLen(1))
	out := d.step(core.PermitReleased{ID: "c1", Target: "s1", Outcome: core.OutcomeDone})
	g.Expect(commandsOf[core.GrantPermit](out)).To(gomega.HaveLen(1))
	g.Expect(commandsOf[core.RecordGiven](out)).To(gomega.HaveLen(1))
}

// Guards against an organisation that gets more than its share while another waits.
func TestSharesDivideTheCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	target := runner("t1", 2)
	d := newProductionDriver(core.TargetsChanged{Targets: []model.Target{target}}, core.TakenOver{Epoch: 1},
		core.SharesChanged{Shares: map[string]float64{"baltzips": 3, "jegue": 1}})
	other := model.AdapterVersion{Organisation: "jegue", Adapter: "trails", Version: "1"}
	d.step(d.state("t1", "i", adapterA, other))
	served := map[string]int{}
	var running []model.RequestID
	for n := range 400 {
		var events []core.Event
		for _, adapter := range []model.AdapterVersion{adapterA, other} {
			for i := range 2 { // the queue gets twice the capacity of the target
				r := request(fmt.Sprintf("%s-%d-%d", adapter.Organisation, n, i), adapter)
				r.PredictedTokens, r.Deadline = 10, time.Hour
				events = append(events, core.RequestQueued{Request: r})
			}
		}
		for _, id := range running {
			events = append(events, core.PermitReleased{
				ID: id, Target: "t1", Outcome: core.OutcomeDone, Usage: core.Usage{GeneratedTokens: 10},
			})
		}
		running = nil
		for _, granted := range commandsOf[core.GrantPermit](d.step(events...)) {
			running = append(running, granted.Permit.Request)
			served[granted.Permit.Organisation]++
		}
	}
	g.Expect(float64(served["baltzips"]) / float64(served["jegue"])).To(gomega.BeNumerically("~", 3, 0.15))
}

// Guards against new work on a straggler, and against a straggler that never
// returns to service.
func TestWorkAvoidsAStragglerUntilItRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	var targets []model.Target
	for i := range 4 {
		targets = append(targets, runner(fmt.Sprintf("t%d", i), 1))
	}
	d := newProductionDriver(core.TargetsChanged{Targets: targets}, core.TakenOver{Epoch: 1})
	for _, target := range targets {
		d.step(d.state(target.Name, "i", adapterA))
	}
	serve := func(rounds int, slowGap time.Duration) (onSlow int) {
		for n := range rounds {
			r := request(fmt.Sprintf("r%v-%d", d.now, n), adapterA)
			r.Repeatable = true
			granted := commandsOf[core.GrantPermit](d.step(core.RequestQueued{Request: r}))
			g.Expect(granted).To(gomega.HaveLen(1))
			gap, target := 10*time.Millisecond, granted[0].Permit.Target.Name
			if target == "t0" {
				gap, onSlow = slowGap, onSlow+1
			}
			d.step(core.PermitReleased{ID: r.ID, Target: target, Outcome: core.OutcomeDone, TokenGap: gap})
		}
		return onSlow
	}
	const normalGap = 10 * time.Millisecond
	g.Expect(serve(100, normalGap)).To(gomega.BeNumerically(">", 10))
	serve(100, 20*normalGap)
	g.Expect(serve(100, 20*normalGap)).To(gomega.BeNumerically("<=", 5))
	serve(200, normalGap)
	g.Expect(serve(100, normalGap)).To(gomega.BeNumerically(">", 10))
}

// Guards against a second attempt of a request that must not run twice.
func TestOnlyRepeatableRequestsAreHedged(t *testing.T) {
	g := gomega.NewWithT(t)
	target := runner("t1", 1)
	target.Concurrency = 300
	d := newProductionDriver(core.TargetsChanged{Targets: []model.Target{target}}, core.TakenOver{Epoch: 1})
	d.step(d.state("t1", "i", adapterA))
	hedged := map[bool]int{}
	for n := range 200 {
		r := request(fmt.Sprintf("r%d", n), adapterA)
		r.Repeatable = n%2 == 0
		d.step(core.RequestQueued{Request: r})
		p := core.Progress{ID: r.ID, Target: "t1", Tokens: 2, TokenGap: 10 * time.Millisecond, FirstToken: 10 * time.Millisecond}
		d.step(p)
		p.SilentFor = 5 * time.Second
		hedged[r.Repeatable] += len(commandsOf[core.HedgeRequest](d.step(p)))
	}
	g.Expect(hedged[false]).To(gomega.BeZero())
	g.Expect(hedged[true]).To(gomega.BeNumerically("~", 4, 1)) // 2% of 200
}

// Guards against requests that stay queued although their answers would be late.
func TestLateRequestsAreRefusedEarly(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newProductionDriver(core.TargetsChanged{Targets: []model.Target{runner("t1", 1)}}, core.TakenOver{Epoch: 1})
	d.step(d.state("t1", "i", adapterA))
	d.step(core.RequestQueued{Request: request("r1", adapterA)})
	d.step(core.PermitReleased{ID: "r1", Target: "t1", Outcome: core.OutcomeDone, TokenGap: 100 * time.Millisecond})
	late := request("r2", adapterA)
	late.PredictedTokens, late.Deadline = 100, time.Second
	refused := commandsOf[core.RefuseRequest](d.step(core.RequestQueued{Request: late}))
	g.Expect(refused).To(gomega.HaveLen(1))
	g.Expect(refused[0].Err.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against an unknown policy name that silently selects the baseline.
func TestUnknownPoliciesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(core.ProductionPolicies().Validate()).To(gomega.BeNil())
	g.Expect(core.Policies{Queueing: "lifo"}.Validate().Code).To(gomega.Equal(errs.InvalidSettings))
}

// Guards against an adapter on one straggler only, whose requests would all go there
// for as long as it is slow.
func TestAdapterOnAStragglerIsLoadedElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	var targets []model.Target
	for i := range 4 {
		targets = append(targets, runner(fmt.Sprintf("t%d", i), 2))
	}
	d := newProductionDriver(core.TargetsChanged{Targets: targets}, core.TakenOver{Epoch: 1})
	for i, target := range targets {
		only := model.AdapterVersion{Organisation: "jegue", Adapter: fmt.Sprintf("a%d", i), Version: "1"}
		d.step(d.state(target.Name, "i", only))
	}
	requestedLoads := map[string]bool{}
	for n := range 80 {
		i := n % 4
		adapter := model.AdapterVersion{Organisation: "jegue", Adapter: fmt.Sprintf("a%d", i), Version: "1"}
		r := request(fmt.Sprintf("r%d", n), adapter)
		out := d.step(core.RequestQueued{Request: r})
		g.Expect(commandsOf[core.GrantPermit](out)).To(gomega.HaveLen(1))
		for _, command := range commandsOf[core.RequestLoadPermit](out) {
			requestedLoads[command.Adapter.Adapter] = true
		}
		gap := 10 * time.Millisecond
		if i == 0 && n > 40 {
			gap *= 10
		}
		d.step(core.PermitReleased{ID: r.ID, Target: targets[i].Name, Outcome: core.OutcomeDone, TokenGap: gap})
	}
	g.Expect(requestedLoads).To(gomega.Equal(map[string]bool{"a0": true}))
}

// Guards against a request for a rare adapter that waits until its deadline while
// another adapter is in steady use: by many short requests, or by requests that
// overlap, so that its slot always has pins.
func TestRareAdapterIsServedBeforeItsDeadline(t *testing.T) {
	for name, steps := range map[string]int{"short requests": 1, "overlapping requests": 2} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := newProductionDriver(core.TargetsChanged{Targets: []model.Target{runner("t1", 1)}}, core.TakenOver{Epoch: 1})
			d.step()
			d.step(d.state("t1", "i", adapterA))
			ends := map[int][]core.Event{} // releases by the step in which they arrive
			events := []core.Event{core.RequestQueued{Request: request("rare", adapterB)}}
			for n := range 1400 { // 28 s
				r := request(fmt.Sprintf("hot-%d", n), adapterA)
				out := d.step(append(events, core.RequestQueued{Request: r})...)
				for _, granted := range commandsOf[core.GrantPermit](out) {
					if granted.Permit.Request == "rare" {
						return
					}
					ended := core.PermitReleased{ID: granted.Permit.Request, Target: "t1", Outcome: core.OutcomeDone}
					ends[n+steps] = append(ends[n+steps], ended)
				}
				events = append(carryOutAll(out), ends[n+1]...)
			}
			g.Expect("rare").To(gomega.BeEmpty(), "the request was not granted")
		})
	}
}

// carryOutAll returns the events of a load coordinator, a store and a target that
// carry out every command at once.
func carryOutAll(commands []core.Command) []core.Event {
	var events []core.Event
	for _, command := range commands {
		switch c := command.(type) {
		case core.RequestLoadPermit:
			events = append(events, core.LoadPermitted{Adapter: c.Adapter})
		case core.StoreIntent:
			events = append(events, core.IntentStored{ID: c.Intent.ID})
		case core.SendOrder:
			events = append(events, core.OrderDone{ID: c.Intent.ID})
		}
	}
	return events
}
