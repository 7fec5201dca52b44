package frontend_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/service"
)

// Guards against a second run, and against "not run" for a call that may have
// run, when the service dies or falls silent before or after the call.
func TestOnceWithServiceFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault service.Faults
		runs  int
	}{
		"dies before":   {service.Faults{LoseCalls: true}, 0},
		"dies after":    {service.Faults{LoseAnswers: true}, 1},
		"silent before": {service.Faults{SilentNow: true}, 0},
		"silent after":  {service.Faults{SilentAfter: true}, 1},
		"crossed":       {service.Faults{Crossed: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.Expect(b.service.SetFaults(c.fault)).To(gomega.Succeed())
			s := b.repair("k1", "sew")
			b.Expect(s.failure).To(gomega.Equal(errs.OutcomeUnknown), s.raw)
			b.Expect(s.ran).To(gomega.Equal(errs.RanUnknown))
			b.Expect(b.service.SetFaults(service.Faults{})).To(gomega.Succeed())
			b.Expect(b.repair("k1", "sew").failure).To(gomega.Equal(errs.OutcomeUnknown))
			b.Expect(b.service.Calls()).To(gomega.HaveLen(c.runs))
			b.Expect(b.call("GET", "/v1/outcomes/repair/k1", "").raw).To(gomega.ContainSubstring(`"state":"unknown"`))
		})
	}
}

// Guards against a key that stays taken after a call that was never sent.
func TestCallThatWasNotSentFreesItsKey(t *testing.T) {
	b := newBench(t, nil)
	b.Expect(b.service.SetFaults(service.Faults{Refuse: true})).To(gomega.Succeed())
	s := b.repair("k1", "sew")
	b.Expect(s.ran).To(gomega.Equal(errs.RanNo), s.raw)
	b.Expect(b.permits.outcomes()).To(gomega.Equal([]core.Outcome{core.OutcomeNotSent}))
	b.Eventually(b.claims.releases).Should(gomega.Equal(1))
	b.Expect(b.service.SetFaults(service.Faults{})).To(gomega.Succeed())
	b.Expect(b.repair("k1", "sew").status).To(gomega.Equal(200))
	b.Expect(b.service.Calls()).To(gomega.HaveLen(1))
}

// Guards against a dispatch without a claim in the store, also when the claim
// took effect but its answer was lost.
func TestClaimErrorIsNeverDispatched(t *testing.T) {
	for name, lost := range map[string]bool{"failed": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.claims.fail, b.claims.lost = errs.New(errs.StoreUnavailable, "store is down"), lost
			s := b.repair("k1", "sew")
			b.Expect(s.failure).To(gomega.Equal(errs.StoreUnavailable), s.raw)
			b.Expect(s.ran).To(gomega.Equal(errs.RanNo))
			b.Expect(b.service.Calls()).To(gomega.BeEmpty())
			b.Expect(b.permits.outcomes()).To(gomega.Equal([]core.Outcome{core.OutcomeNotSent}))
			if lost {
				b.Eventually(b.claims.releases).Should(gomega.Equal(1))
			}
		})
	}
}

// Guards against a claim that is written for a call refused under overload.
func TestRefusedPermitCostsNoClaim(t *testing.T) {
	b := newBench(t, nil)
	b.permits.refuse = errs.NotRun(errs.Overloaded, "queue is full").WithRetry(1500e6)
	s := b.repair("k1", "sew")
	b.Expect(s.status).To(gomega.Equal(429))
	b.Expect(s.retry).To(gomega.Equal("2"), "seconds, rounded up")
	b.Expect(b.claims.owner).To(gomega.BeEmpty())
}

// Guards against a lost outcome when the answer comes after the caller's
// deadline: a repetition must get it and must not run the call again.
func TestLateAnswerIsKept(t *testing.T) {
	b := newBench(t, nil)
	b.Expect(b.service.SetFaults(service.Faults{DelayMS: 500, Times: 1})).To(gomega.Succeed())
	b.front.Close()
	b.serve(func(l *limitsType) { l.ServiceWait, l.OutcomeWait = 20e9, 1e6 })
	s := b.call("POST", "/v1/services/repair", "sew", "Idempotency-Key", "k1", "X-Deadline-Ms", "50")
	b.Expect(s.failure).To(gomega.Equal(errs.Timeout), s.raw)
	b.Expect(s.ran).To(gomega.Equal(errs.RanUnknown))
	b.Expect(b.repair("k1", "sew").failure).To(gomega.Equal(errs.InProgress))
	b.Eventually(func() int { return b.repair("k1", "sew").status }, "5s").Should(gomega.Equal(200))
	b.Expect(b.service.Calls()).To(gomega.HaveLen(1))
}

// Guards against a repetition of a call whose kind forbids it, and against a
// missing one of a kind that allows it.
func TestIdempotentCallIsRepeated(t *testing.T) {
	b := newBench(t, nil)
	second, err := service.New("127.0.0.1:0")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(second.Close)
	twin := b.permits.targets[2]
	twin.Name, twin.Address = "s2", second.Address()
	b.permits.targets = append(b.permits.targets, twin)
	b.Expect(b.service.SetFaults(service.Faults{LoseAnswers: true})).To(gomega.Succeed())
	b.Expect(b.call("POST", "/v1/services/stock", "zips").status).To(gomega.Equal(200))
	b.Expect(second.Calls()).To(gomega.HaveLen(1))
	b.Expect(b.repair("k1", "sew").failure).To(gomega.Equal(errs.OutcomeUnknown))
	b.Expect(second.Calls()).To(gomega.HaveLen(1), "the repair entry is not sent again")
}
