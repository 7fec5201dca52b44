package soak

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

// Guards against epochs with two owners, groups without one, and configurations that are late or
// missing, after the store has come back from an older copy.
func TestSeedWithRestores(t *testing.T) {
	g := gomega.NewWithT(t)
	program := filepath.Join(t.TempDir(), "cicadaslipd")
	buildDaemon(g, program)
	result, err := Run(Options{Seed: 2044, Seconds: 8, VMs: 5, Restores: true, Program: program, Dir: t.TempDir()})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("%+v", result)
	g.Expect(result.Violations).To(gomega.BeEmpty())
	g.Expect(result.Served).To(gomega.BeNumerically(">", 0))
}

// Guards against a checker that does not see an epoch of two owners at different targets.
func TestTheCheckerFindsEpochsOfTwoOwners(t *testing.T) {
	for name, c := range map[string]struct {
		holder string // of the order to the second target
		token  int
		broken bool
	}{
		"same owner":  {"a", 1, false},
		"next epoch":  {"b", 2, false},
		"same epoch":  {"b", 1, true},
		"older epoch": {"b", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store, err := metastore.Start("127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(store.Close)
			r := &run{checker: newChecker()}
			for _, id := range []string{"e0", "e1"} {
				target, err := engine.Start(engine.Settings{ID: id, Service: "llm", Zone: zones[0], Model: model, Adapters: places}, store)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				t.Cleanup(target.Crash)
				r.targets = append(r.targets, target)
			}
			orderFrom(g, r.targets[0], "a", 1)
			orderFrom(g, r.targets[1], c.holder, c.token)
			r.checkOwners()
			g.Expect(len(r.checker.violations) > 0).To(gomega.Equal(c.broken))
		})
	}
}

// Guards against a checker that does not see late configurations, or sees one where the VM or
// the store was disturbed.
func TestTheCheckerFindsLateConfigurations(t *testing.T) {
	acknowledged := time.Now()
	after := func(d time.Duration) time.Time { return acknowledged.Add(d) }
	for name, c := range map[string]struct {
		sent       time.Duration // after the acknowledgement
		status     int
		store, vm  []span
		lost, late bool
	}{
		"in time":                       {sent: configBound - time.Millisecond, status: 404},
		"late":                          {sent: configBound + time.Millisecond, status: 404, late: true},
		"served":                        {sent: configBound + time.Millisecond, status: 200},
		"refused":                       {sent: configBound + time.Millisecond, status: 503},
		"lost by the store":             {sent: configBound + time.Millisecond, status: 404, lost: true},
		"store disturbed since":         {sent: configBound + time.Millisecond, status: 404, store: []span{{disrupted, after(time.Second), after(2 * time.Second)}}},
		"store disturbed before":        {sent: configBound + outerBound - time.Millisecond, status: 404, store: []span{{disrupted, after(-2 * time.Second), after(-time.Second)}}},
		"late, store disturbed before":  {sent: configBound + outerBound + time.Millisecond, status: 404, store: []span{{disrupted, after(-2 * time.Second), after(-time.Second)}}, late: true},
		"store disturbed long before":   {sent: configBound + time.Millisecond, status: 404, store: []span{{disrupted, after(-9 * time.Second), after(-5 * time.Second)}}, late: true},
		"VM frozen":                     {sent: configBound + time.Millisecond, status: 404, vm: []span{{frozen, after(-2 * time.Second), after(time.Second)}}},
		"VM cut long before it":         {sent: configBound + time.Millisecond, status: 404, vm: []span{{cut, after(-9 * time.Second), after(-5 * time.Second)}}, late: true},
		"VM restarted after the answer": {sent: configBound + time.Millisecond, status: 404, vm: []span{{restarted, after(time.Minute), time.Time{}}}, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			r, v := &run{checker: newChecker()}, &vm{name: "vm0"}
			for _, s := range c.store {
				r.storeTimeline.spans = append(r.storeTimeline.spans, &s)
			}
			for _, s := range c.vm {
				v.timeline.spans = append(v.timeline.spans, &s)
			}
			a := answer{id: "q1", kind: kindProbe, vm: v, status: c.status, config: 2, configAt: acknowledged, sent: after(c.sent), done: after(c.sent + time.Millisecond)}
			if c.lost {
				a.configAt = time.Time{}
			}
			r.checker.answers = append(r.checker.answers, a)
			r.checkConfigs()
			gomega.NewWithT(t).Expect(len(r.checker.violations) > 0).To(gomega.Equal(c.late))
		})
	}
}
