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

// callRecord is one call with its response.
type callRecord struct {
	prompt     string // unique for each call except a duplicate; for repair it is the body
	tokens     int
	key        string // idempotency key of a repair call, empty for a completion
	atMostOnce bool
	response   callerResponse
}

// checkCalls checks the responses of callers against the requests that the targets
// recorded. It uses no state of the front end.
func checkCalls(g *gomega.WithT, calls []callRecord, startsByPrompt map[string]int, serviceCalls []service.Call) {
	callsByBody, callsByKey := map[string]int{}, map[string]int{}
	for _, c := range serviceCalls {
		callsByBody[c.Body]++
		callsByKey[c.Key]++
	}
	firstResponse := map[string]string{}
	for _, call := range calls {
		ran := startsByPrompt[call.prompt] + callsByBody[call.prompt]
		if call.response.ran == errs.RanNo {
			g.Expect(ran).To(gomega.BeZero(), "%q was refused as not run and ran", call.prompt)
		}
		if call.atMostOnce {
			g.Expect(ran).To(gomega.BeNumerically("<=", 1), "%q ran twice", call.prompt)
		}
		if call.key == "" {
			checkAnswer(g, call)
			continue
		}
		g.Expect(callsByKey[call.key]).To(gomega.BeNumerically("<=", 1), "key %s ran twice", call.key)
		if call.response.status == 200 {
			g.Expect(call.response.raw).To(gomega.ContainSubstring(`"echo":"` + call.prompt + `"`))
			if firstResponse[call.key] == "" {
				firstResponse[call.key] = call.response.raw
			}
			g.Expect(call.response.raw).To(gomega.Equal(firstResponse[call.key]))
		}
	}
}

// checkAnswer checks that the text of a completion is the expected answer, or a prefix
// of it together with an error.
func checkAnswer(g *gomega.WithT, call callRecord) {
	expected := expectedAnswer(call.prompt, call.tokens)
	g.Expect(strings.HasPrefix(expected, call.response.text)).To(gomega.BeTrue(), "%q got %q", call.prompt, call.response.text)
	if call.response.finished {
		g.Expect(call.response.text).To(gomega.Equal(expected))
	} else {
		g.Expect(call.response.failure).NotTo(gomega.BeEmpty(), "neither complete nor failed: %s", call.response.raw)
	}
}

// startsByPrompt returns the number of times that runners started each prompt.
func (f *fixture) startsByPrompt() map[string]int {
	prompts := map[string]int{}
	for _, r := range f.runners {
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

// Guards against responses that mix or silently truncate answers, calls that run
// twice, and calls that are reported as not run although they ran, while callers send
// calls concurrently and targets fail in random combinations.
func TestCheckerUnderFaults(t *testing.T) {
	f := newFixture(t, func(l *serverLimits) { l.RetryRatio = 1 })
	callCount, finished := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		for _, r := range f.runners {
			r.SetFaults(drawRunnerFaults(rt))
		}
		g.Expect(f.service.SetFaults(drawServiceFaults(rt))).To(gomega.Succeed())
		var calls []callRecord
		for range rapid.IntRange(1, 6).Draw(rt, "callers") {
			callCount++
			call := callRecord{prompt: fmt.Sprintf("p%d", callCount), tokens: rapid.IntRange(1, 6).Draw(rt, "tokens")}
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				call.key = call.prompt
				calls = append(calls, call) // send the same call twice at the same time
			case 1:
				call.atMostOnce = true
			}
			calls = append(calls, call)
		}
		silence := rapid.Bool().Draw(rt, "silent connections")
		f.sendAll(calls, rapid.Bool().Draw(rt, "stream"), silence)
		g.Expect(f.service.SetFaults(service.Faults{})).To(gomega.Succeed())
		checkCalls(g, calls, f.startsByPrompt(), f.service.Calls())
		for _, call := range calls {
			if call.response.finished {
				finished++
			}
		}
	})
	f.Expect(finished).To(gomega.BeNumerically(">", 0), "no complete answer was checked")
	t.Logf("%d calls, %d complete answers", callCount, finished)
}

// sendAll sends all calls concurrently and records their responses. With silence, it
// also makes the open connections of the first runner silent.
func (f *fixture) sendAll(calls []callRecord, stream, silence bool) {
	var wait sync.WaitGroup
	for i := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			call := &calls[i]
			switch {
			case call.key != "":
				call.response = f.callRepair(call.key, call.prompt)
			case call.atMostOnce:
				call.response = f.postCompletion(call.prompt, call.tokens, stream, "X-Kind", "once")
			default:
				call.response = f.postCompletion(call.prompt, call.tokens, stream)
			}
		}()
	}
	if silence {
		f.runners[0].Silence()
	}
	wait.Wait()
}
