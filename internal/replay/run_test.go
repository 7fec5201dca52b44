package replay

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Guards against a core, coordinator or routing that loses the outcomes stated
// for the small traces, and against figures that depend on anything but trace
// and seed.
func TestTracesHaveTheirOutcomes(t *testing.T) {
	for _, name := range []string{"peak", "faults"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			file, err := os.Open("testdata/" + name + ".yaml")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = file.Close() }()
			outcomes, err := ReadOutcomes(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			seeds := []uint64{1, 1, 2, 3}
			results, err := MeasureTrace(context.Background(), testTrace(t, name), core.ProductionPolicies(), seeds, MaxWorkers)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, c := range results {
				g.Expect(outcomes.Check(c)).To(gomega.BeEmpty(), "seed %d", c.Seed)
			}
			g.Expect(results[0]).To(gomega.Equal(results[1]))
		})
	}
}

// Guards against --expect passing on an outcome that does not hold, and against
// a misspelt outcome that is never checked.
func TestOutcomesThatDoNotHold(t *testing.T) {
	g := gomega.NewWithT(t)
	o, err := ReadOutcomes(strings.NewReader("measures: {policy: {answered_share: {min: 0.5, max: 0.6}}}"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := &Compared{Figures: map[string]Figures{VariantPolicy: {AnsweredShare: 0.4}}}
	g.Expect(o.Check(c)).To(gomega.ConsistOf(gomega.ContainSubstring("at least")))
	c.Figures[VariantPolicy][AnsweredShare] = 0.7
	g.Expect(o.Check(c)).To(gomega.ConsistOf(gomega.ContainSubstring("at most")))
	c.Figures[VariantPolicy][AnsweredShare] = 0.55
	g.Expect(o.Check(c)).To(gomega.BeEmpty())
	c.Violations = map[string]map[string]int{VariantBaseline: {InvariantPins: 1}}
	g.Expect(o.Check(c)).To(gomega.HaveLen(1))
	for _, text := range []string{
		"", "measures: {policy: {answered: {min: 1}}}", "measures: {polcy: {answered_share: {min: 1}}}",
		"invariants: [no_eviction]", "bounds: {}", "measures: {policy: {answered_share: {}}}",
	} {
		_, err := ReadOutcomes(strings.NewReader(text))
		g.Expect(errs.Is(err, errs.InvalidConfig)).To(gomega.BeTrue(), "%q: %v", text, err)
	}
}

// startOne puts one request of the trace on a target as if a core had granted it.
func startOne(w *world, t *target, arrival *Arrival) *attempt {
	r := &request{arrival: arrival, at: w.now}
	a := &attempt{id: arrival.ID + ".1", request: r, stallAt: -1, group: w.groups[w.groupNames[0]]}
	r.attempts, r.active = []*attempt{a}, 1
	a.permit = core.Permit{Request: a.id, Target: t.info, Adapter: arrival.adapter()}
	w.requests = append(w.requests, r)
	if w.checker.started(t, a) {
		t.start(a)
	}
	return a
}

func runnerArrival(id string, prompt, output int) *Arrival {
	return &Arrival{
		ID: model.RequestID(id), Organisation: "hems", Adapter: "a", Version: "1", Kind: "quote",
		Class: model.ClassRunner, Served: "base", PromptTokens: prompt, OutputTokens: output,
		Deadline: 5 * time.Second, Worth: 1, DataCentre: "riga",
	}
}

// Guards against a checker that does not see what it is there for.
func TestCheckerSeesViolations(t *testing.T) {
	breaks := map[string]func(w *world, t *target, a *Arrival){
		InvariantResident: func(w *world, t *target, a *Arrival) { startOne(w, t, a) },
		InvariantPins: func(w *world, t *target, a *Arrival) {
			t.resident[a.adapter()] = true
			startOne(w, t, a)
			t.execute(core.Intent{Kind: core.IntentEvict, Adapter: a.adapter()}, func(core.Event) {})
		},
		InvariantOneAnswer: func(w *world, t *target, a *Arrival) {
			r := &request{arrival: a}
			w.requests = append(w.requests, r)
			w.answer(r, false, errs.NotRun(errs.Overloaded, ""))
			w.answer(r, false, errs.NotRun(errs.Overloaded, ""))
		},
		InvariantNotRun: func(w *world, t *target, a *Arrival) {
			t.resident[a.adapter()] = true
			w.answer(startOne(w, t, a).request, false, errs.NotRun(errs.Overloaded, ""))
		},
		InvariantAtMostOnce: func(w *world, t *target, a *Arrival) {
			t.resident[a.adapter()] = true
			a.Kind = "payment"
			first := startOne(w, t, a)
			w.checker.started(t, first)
		},
		InvariantAdapter: func(w *world, t *target, a *Arrival) {
			t.resident[a.adapter()] = true
			other := &attempt{request: &request{arrival: a}}
			w.checker.started(t, other)
		},
		InvariantLeaving: func(w *world, t *target, a *Arrival) {
			t.resident[a.adapter()] = true
			w.checker.listed(&ListChange{Target: t.info.Name, Leaving: true})
			w.now += leavingGrace + 1
			startOne(w, t, a)
		},
		InvariantSlots: func(w *world, t *target, a *Arrival) {
			for i := range t.info.Slots {
				t.resident[model.AdapterVersion{Adapter: string(rune('k' + i))}] = true
			}
			t.execute(core.Intent{Kind: core.IntentLoad, Adapter: a.adapter()}, func(core.Event) {})
		},
	}
	trace := testTrace(t, "peak")
	for _, invariant := range Invariants() {
		t.Run(invariant, func(t *testing.T) {
			w := newWorld(trace, Options{})
			breaks[invariant](w, w.targets["riga-runner-0"], runnerArrival("r", 10, 10))
			if w.checker.counts[invariant] != 1 {
				t.Fatalf("violations seen: %v", w.checker.counts)
			}
		})
	}
	w := newWorld(trace, Options{})
	w.requests = append(w.requests, &request{arrival: runnerArrival("r", 1, 1)})
	w.checker.finish()
	if w.checker.counts[InvariantOneAnswer] != 1 {
		t.Fatal("a request without an answer is not seen")
	}
}

// Guards against a service-time rule other than the documented one: one step
// for the prompt, then one token of every sequence per step, slower in a slow spell.
func TestStepsTakeTheDocumentedTime(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(testTrace(t, "peak"), Options{})
	rule := w.deployment.Engine
	runner := w.targets["riga-runner-0"]
	a, b := runnerArrival("a", 100, 3), runnerArrival("b", 100, 3)
	a.Prefix, b.Prefix = []uint64{7}, []uint64{7}
	runner.resident[a.adapter()] = true
	first := startOne(w, runner, a)
	second := startOne(w, runner, b)
	prompt := rule.Base + 100*rule.PerPrompt
	// The second request joins at the end of the first step; 64 of its prompt
	// tokens are in the prefix cache.
	both := rule.Base + rule.PerSequence + 36*rule.PerPrompt
	two := rule.Base + 2*rule.PerSequence
	w.timeline.run(time.Second)
	g.Expect(first.job.firstAt).To(gomega.Equal(prompt + both))
	g.Expect(first.job.lastAt).To(gomega.Equal(prompt + both + 2*two))
	g.Expect(second.job.lastAt).To(gomega.Equal(prompt + both + 2*two + rule.Base + rule.PerSequence))
	runner.factor, runner.slowUntil = 4, w.now+time.Minute
	start := w.now
	slow := startOne(w, runner, runnerArrival("c", 100, 1))
	w.timeline.run(w.now + time.Second)
	g.Expect(slow.job.lastAt - start).To(gomega.Equal(4 * (prompt + rule.Base + rule.PerSequence)))
}

// Guards against an upper bound below what a run reached, and against one that
// sees neither the capacity nor the adapters.
func TestBoundIsAboveEveryRunAndNotTrivial(t *testing.T) {
	g := gomega.NewWithT(t)
	trace, failure := Generate(Baltzips, 7)
	g.Expect(failure).To(gomega.BeNil())
	bound := upperBound(trace)
	for _, variant := range Variants() {
		s := summarise(run(trace, optionsOf(variant, core.ProductionPolicies(), 7)))
		g.Expect(s.peakWorth).To(gomega.BeNumerically("<=", bound))
		g.Expect(s.peakOffered).To(gomega.BeNumerically(">", bound))
	}
	small := testTrace(t, "peak")
	whole := upperBound(small)
	small.Header.Deployment.Engine.PerSequence *= 100
	g.Expect(upperBound(small)).To(gomega.BeNumerically("<", 0.6*whole))
}
