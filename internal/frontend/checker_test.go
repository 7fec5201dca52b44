package frontend_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/standin/service"
)

// view is what one caller asked for and saw.
type view struct {
	prompt string // unique; the body of a service call
	tokens int
	key    string // of a repair entry; empty for a completion
	once   bool
	seen   seen
}

// check is an independent checker: it reads only what targets recorded and what
// callers saw.
func check(g *gomega.WithT, views []view, started map[string]int, calls []service.Call) {
	runs, byKey := map[string]int{}, map[string]int{}
	for _, c := range calls {
		runs[c.Body]++
		byKey[c.Key]++
	}
	first := map[string]string{}
	for _, v := range views {
		ran := started[v.prompt] + runs[v.prompt]
		if v.seen.ran == errs.RanNo {
			g.Expect(ran).To(gomega.BeZero(), "%q was refused as not run and ran", v.prompt)
		}
		if v.once {
			g.Expect(ran).To(gomega.BeNumerically("<=", 1), "%q ran twice", v.prompt)
		}
		if v.key == "" {
			checkAnswer(g, v)
			continue
		}
		g.Expect(byKey[v.key]).To(gomega.BeNumerically("<=", 1), "key %s ran twice", v.key)
		if v.seen.status == 200 {
			g.Expect(v.seen.raw).To(gomega.ContainSubstring(`"echo":"` + v.prompt + `"`))
			if first[v.key] == "" {
				first[v.key] = v.seen.raw
			}
			g.Expect(v.seen.raw).To(gomega.Equal(first[v.key]))
		}
	}
}

func checkAnswer(g *gomega.WithT, v view) {
	whole := right(v.prompt, v.tokens)
	g.Expect(strings.HasPrefix(whole, v.seen.text)).To(gomega.BeTrue(), "%q got %q", v.prompt, v.seen.text)
	if v.seen.finished {
		g.Expect(v.seen.text).To(gomega.Equal(whole))
	} else {
		g.Expect(v.seen.failure).NotTo(gomega.BeEmpty(), "neither complete nor failed: %s", v.seen.raw)
	}
}

func (b *bench) started() map[string]int {
	prompts := map[string]int{}
	for _, r := range b.runners {
		for _, e := range r.Log() {
			if e.Event == runner.EventStarted {
				prompts[e.Prompt]++
			}
		}
	}
	return prompts
}

func drawRunnerFaults(t *rapid.T) runner.Faults {
	return rapid.SampledFrom([]runner.Faults{
		{},
		{},
		{CutAtToken: 2, CutTimes: 2},
		{CutAtToken: 3, CutCleanly: true},
		{SilentAtToken: 2, SilentTimes: 1},
		{CrossedRequest: true},
		{CrossedAdapter: true},
		{WrongVersion: true},
		{DuplicateChunks: true},
		{CutAtToken: 1, RefuseStreams: true},
	}).Draw(t, "runner fault")
}

func drawServiceFaults(t *rapid.T) service.Faults {
	return rapid.SampledFrom([]service.Faults{
		{},
		{LoseAnswers: true, Times: 1},
		{LoseCalls: true, Times: 1},
		{SilentAfter: true, Times: 1},
		{Crossed: true, Times: 2},
		{Refuse: true},
		{LateMS: 30},
	}).Draw(t, "service fault")
}

// Guards against any response that mixes, truncates, repeats or wrongly denies
// work while targets fail in any combination and callers act at the same time.
func TestCheckerUnderFaults(t *testing.T) {
	b := newBench(t, func(l *limitsType) { l.RetryShare = 1 })
	number, finished := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		for _, r := range b.runners {
			r.SetFaults(drawRunnerFaults(rt))
		}
		g.Expect(b.service.SetFaults(drawServiceFaults(rt))).To(gomega.Succeed())
		var views []view
		for range rapid.IntRange(1, 6).Draw(rt, "callers") {
			number++
			v := view{prompt: fmt.Sprintf("p%d", number), tokens: rapid.IntRange(1, 6).Draw(rt, "tokens")}
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				v.key = v.prompt
				views = append(views, v) // the same call twice at the same time
			case 1:
				v.once = true
			}
			views = append(views, v)
		}
		silent := rapid.Bool().Draw(rt, "silent connections")
		b.act(views, rapid.Bool().Draw(rt, "stream"), silent)
		g.Expect(b.service.SetFaults(service.Faults{})).To(gomega.Succeed())
		check(g, views, b.started(), b.service.Calls())
		for _, v := range views {
			if v.seen.finished {
				finished++
			}
		}
	})
	b.Expect(finished).To(gomega.BeNumerically(">", 0), "no answer was checked whole")
	t.Logf("%d calls, %d complete answers", number, finished)
}

// act makes the calls of all callers at the same time.
func (b *bench) act(views []view, stream, silent bool) {
	var wait sync.WaitGroup
	for i := range views {
		wait.Add(1)
		go func() {
			defer wait.Done()
			v := &views[i]
			switch {
			case v.key != "":
				v.seen = b.repair(v.key, v.prompt)
			case v.once:
				v.seen = b.complete(v.prompt, v.tokens, stream, "X-Kind", "once")
			default:
				v.seen = b.complete(v.prompt, v.tokens, stream)
			}
		}()
	}
	if silent {
		b.runners[0].Silence()
	}
	wait.Wait()
}
