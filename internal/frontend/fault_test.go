package frontend_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/frontend"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/timeline"
)

// Guards against the delivery of an answer that belongs to another request, adapter
// or version. It must be discarded, and another target must answer the request.
func TestCrossedAnswersAreNotPassedOn(t *testing.T) {
	for name, fault := range map[string]runner.Faults{
		"request": {CrossedRequest: true}, "adapter": {CrossedAdapter: true}, "version": {WrongVersion: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.runners[0].SetFaults(fault)
			for _, stream := range []bool{false, true} {
				response := f.postCompletion("a zip", 30, stream)
				f.Expect(response.text).To(gomega.Equal(expectedAnswer("a zip", 30)), response.raw)
			}
			f.runners[1].SetFaults(fault)
			response := f.postCompletion("a zip", 30, false)
			f.Expect(response.failure).To(gomega.Equal(errs.WrongAnswer), response.raw)
			f.Expect(response.ran).To(gomega.Equal(errs.RanYes))
			f.Expect(f.client.Stats().Discarded.Load()).To(gomega.BeNumerically(">", 0))
			f.Expect(f.events.kinds()).To(gomega.ContainElement(timeline.AnswerDiscarded))
		})
	}
}

// Guards against lost, duplicated or reordered tokens when the stream from a target
// is interrupted or becomes silent and is resumed at its offset.
func TestInterruptedStreamsAreResumed(t *testing.T) {
	for name, fault := range map[string]runner.Faults{
		"cut":       {CutAtToken: 3, CutTimes: 1},
		"cut clean": {CutAtToken: 3, CutTimes: 1, CutCleanly: true},
		"silent":    {SilentAtToken: 3, SilentTimes: 1},
		"duplicate": {DuplicateChunks: true},
		"late":      {LateMS: 20},
	} {
		t.Run(name, func(t *testing.T) {
			for _, stream := range []bool{false, true} {
				f := newFixture(t, nil)
				f.runners[0].SetFaults(fault)
				response := f.postCompletion("hem", 10, stream)
				f.Expect(response.text).To(gomega.Equal(expectedAnswer("hem", 10)), response.raw)
				f.Expect(response.finished).To(gomega.BeTrue())
				f.Expect(f.permits.attempts()).To(gomega.HaveLen(1), "resumed, not repeated")
			}
		})
	}
}

// Guards against a truncated stream that appears complete to the caller.
func TestStreamThatCannotBeResumedEndsWithAnError(t *testing.T) {
	f := newFixture(t, nil)
	f.runners[0].SetFaults(runner.Faults{CutAtToken: 3, CutCleanly: true, RefuseStreams: true})
	response := f.postCompletion("hem", 10, true)
	f.Expect(response.status).To(gomega.Equal(200))
	f.Expect(response.text).To(gomega.Equal(expectedAnswer("hem", 3)), "delivered tokens are not repeated from another target")
	f.Expect(response.finished).To(gomega.BeFalse(), response.raw)
	f.Expect(response.raw).To(gomega.ContainSubstring("event: error"))
	f.Expect(response.ran).To(gomega.Equal(errs.RanYes))
}

// Guards against a caller that waits for a failed target although nothing has been
// delivered yet and another target can answer.
func TestLostTargetIsReplacedBeforeTheFirstToken(t *testing.T) {
	for name, fault := range map[string]runner.Faults{
		"frozen":  {Freeze: true},
		"refuses": {CutAtToken: 1, RefuseStreams: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.runners[0].SetFaults(fault)
			response := f.postCompletion("hem", 5, false)
			f.Expect(response.text).To(gomega.Equal(expectedAnswer("hem", 5)), response.raw)
			f.Eventually(f.permits.outcomes).Should(gomega.ConsistOf(core.OutcomeFailed, core.OutcomeDone))
			f.Eventually(f.runners[0].State().Running).Should(gomega.BeEmpty(), "cancelled before its permit is released")
		})
	}
}

// Guards against a second run of a request whose kind is at-most-once.
func TestAtMostOnceCompletionIsNotRepeated(t *testing.T) {
	f := newFixture(t, nil)
	f.runners[0].SetFaults(runner.Faults{Freeze: true})
	response := f.postCompletion("hem", 5, false, "X-Kind", "once")
	f.Expect(response.status).NotTo(gomega.Equal(200))
	f.Expect(response.ran).NotTo(gomega.Equal(errs.RanNo))
	f.Expect(f.runners[1].Log()).NotTo(gomega.ContainElement(gomega.HaveField("Event", runner.EventStarted)))
}

// Guards against a refusal by a target that is reported to the caller as a run.
func TestRefusalBeforeTheRunIsNotRun(t *testing.T) {
	f := newFixture(t, nil)
	for _, r := range f.runners {
		f.Expect(r.Unload(quoteAdapter, 1)).To(gomega.Succeed())
	}
	response := f.postCompletion("hem", 5, true)
	f.Expect(response.failure).To(gomega.Equal(errs.AdapterNotResident), response.raw)
	f.Expect(response.ran).To(gomega.Equal(errs.RanNo))
	f.Expect(f.permits.outcomes()).To(gomega.HaveLen(frontend.DefaultMaxAttempts))
	f.Expect(f.permits.outcomes()).To(gomega.HaveEach(core.OutcomeNotSent))
}

// Guards against a hedge that mixes two answers or leaves the request running on the
// slow target.
func TestHedge(t *testing.T) {
	for _, stream := range []bool{false, true} {
		f := newFixture(t, nil)
		f.runners[0].SetFaults(runner.Faults{SlowFactor: 1e6})
		answered := make(chan callerResponse, 1)
		go func() { answered <- f.postCompletion("hem", 5, stream) }()
		f.Eventually(func() []runner.LogEntry { return f.runners[0].Log() }).Should(gomega.ContainElement(gomega.HaveField("Event", runner.EventStarted)))
		f.Expect(f.server.Hedge(core.HedgeRequest{ID: f.permits.attempts()[0], Target: "r1"})).To(gomega.BeTrue())
		var response callerResponse
		f.Eventually(answered, "5s").Should(gomega.Receive(&response))
		f.Expect(response.text).To(gomega.Equal(expectedAnswer("hem", 5)), response.raw)
		f.Eventually(f.permits.outcomes).Should(gomega.ConsistOf(core.OutcomeDone, core.OutcomeCancelled))
		f.Expect(f.runners[0].Log()).To(gomega.ContainElement(gomega.HaveField("Event", runner.EventCancelled)))
	}
}

// Guards against missing progress reports, without which the owner of the permit
// cannot detect a straggler.
func TestProgressIsReported(t *testing.T) {
	f := newFixture(t, nil)
	f.postCompletion("hem", 60, false)
	f.Expect(f.permits.reportCount).To(gomega.BeNumerically(">", 0))
}
