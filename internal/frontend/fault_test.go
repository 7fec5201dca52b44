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

// Guards against an answer of another request, adapter or version reaching a
// caller: it must be discarded, and the request answered by another target.
func TestCrossedAnswersAreNotPassedOn(t *testing.T) {
	for name, fault := range map[string]runner.Faults{
		"request": {CrossedRequest: true}, "adapter": {CrossedAdapter: true}, "version": {WrongVersion: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.runners[0].SetFaults(fault)
			for _, stream := range []bool{false, true} {
				s := b.complete("a zip", 30, stream)
				b.Expect(s.text).To(gomega.Equal(right("a zip", 30)), s.raw)
			}
			b.runners[1].SetFaults(fault)
			s := b.complete("a zip", 30, false)
			b.Expect(s.failure).To(gomega.Equal(errs.WrongAnswer), s.raw)
			b.Expect(s.ran).To(gomega.Equal(errs.RanYes))
			b.Expect(b.client.Stats().Discarded.Load()).To(gomega.BeNumerically(">", 0))
			b.Expect(b.events.kinds()).To(gomega.ContainElement(timeline.AnswerDiscarded))
		})
	}
}

// Guards against lost, doubled or reordered tokens when a stream is cut or
// falls silent and is resumed at its offset.
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
				b := newBench(t, nil)
				b.runners[0].SetFaults(fault)
				s := b.complete("hem", 10, stream)
				b.Expect(s.text).To(gomega.Equal(right("hem", 10)), s.raw)
				b.Expect(s.finished).To(gomega.BeTrue())
				b.Expect(b.permits.attempts()).To(gomega.HaveLen(1), "resumed, not repeated")
			}
		})
	}
}

// Guards against a truncated stream that looks complete.
func TestStreamThatCannotBeResumedEndsWithAnError(t *testing.T) {
	b := newBench(t, nil)
	b.runners[0].SetFaults(runner.Faults{CutAtToken: 3, CutCleanly: true, RefuseStreams: true})
	s := b.complete("hem", 10, true)
	b.Expect(s.status).To(gomega.Equal(200))
	b.Expect(s.text).To(gomega.Equal(right("hem", 3)), "what was passed on is not repeated from another target")
	b.Expect(s.finished).To(gomega.BeFalse(), s.raw)
	b.Expect(s.raw).To(gomega.ContainSubstring("event: error"))
	b.Expect(s.ran).To(gomega.Equal(errs.RanYes))
}

// Guards against a caller that waits for a target that will not answer,
// although nothing was passed on and another target can.
func TestLostTargetIsReplacedBeforeTheFirstToken(t *testing.T) {
	for name, fault := range map[string]runner.Faults{
		"frozen":  {Freeze: true},
		"refuses": {CutAtToken: 1, RefuseStreams: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.runners[0].SetFaults(fault)
			s := b.complete("hem", 5, false)
			b.Expect(s.text).To(gomega.Equal(right("hem", 5)), s.raw)
			b.Eventually(b.permits.outcomes).Should(gomega.ConsistOf(core.OutcomeFailed, core.OutcomeDone))
			b.Eventually(b.runners[0].State().Running).Should(gomega.BeEmpty(), "cancelled before its permit is released")
		})
	}
}

// Guards against a second run of a kind that may run only once.
func TestAtMostOnceCompletionIsNotRepeated(t *testing.T) {
	b := newBench(t, nil)
	b.runners[0].SetFaults(runner.Faults{Freeze: true})
	s := b.complete("hem", 5, false, "X-Kind", "once")
	b.Expect(s.status).NotTo(gomega.Equal(200))
	b.Expect(s.ran).NotTo(gomega.Equal(errs.RanNo))
	b.Expect(b.runners[1].Log()).NotTo(gomega.ContainElement(gomega.HaveField("Event", runner.EventStarted)))
}

// Guards against a refusal by the target that is shown as a run.
func TestRefusalBeforeTheRunIsNotRun(t *testing.T) {
	b := newBench(t, nil)
	for _, r := range b.runners {
		b.Expect(r.Unload(quote, 1)).To(gomega.Succeed())
	}
	s := b.complete("hem", 5, true)
	b.Expect(s.failure).To(gomega.Equal(errs.AdapterNotResident), s.raw)
	b.Expect(s.ran).To(gomega.Equal(errs.RanNo))
	b.Expect(b.permits.outcomes()).To(gomega.HaveLen(frontend.DefaultMaxAttempts))
	b.Expect(b.permits.outcomes()).To(gomega.HaveEach(core.OutcomeNotSent))
}

// Guards against a hedge that shows a mixture of two answers, leaves the slow
// target running, or runs what must run once.
func TestHedge(t *testing.T) {
	for _, stream := range []bool{false, true} {
		b := newBench(t, nil)
		b.runners[0].SetFaults(runner.Faults{SlowFactor: 1e6})
		answered := make(chan seen, 1)
		go func() { answered <- b.complete("hem", 5, stream) }()
		b.Eventually(func() []runner.LogEntry { return b.runners[0].Log() }).Should(gomega.ContainElement(gomega.HaveField("Event", runner.EventStarted)))
		b.Expect(b.front.Hedge(core.HedgeRequest{ID: b.permits.attempts()[0], Target: "r1"})).To(gomega.BeTrue())
		var s seen
		b.Eventually(answered, "5s").Should(gomega.Receive(&s))
		b.Expect(s.text).To(gomega.Equal(right("hem", 5)), s.raw)
		b.Eventually(b.permits.outcomes).Should(gomega.ConsistOf(core.OutcomeDone, core.OutcomeCancelled))
		b.Expect(b.runners[0].Log()).To(gomega.ContainElement(gomega.HaveField("Event", runner.EventCancelled)))
	}
}

// Guards against a straggler that its owner cannot see.
func TestProgressIsReported(t *testing.T) {
	b := newBench(t, nil)
	b.complete("hem", 60, false)
	b.Expect(b.permits.reports).To(gomega.BeNumerically(">", 0))
}
