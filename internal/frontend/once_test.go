package frontend_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/service"
)

// Guards against a second run, and against "not_run" for a call that may have run,
// when the service fails or becomes silent before or after it has run the call, or
// sends the answer of another call.
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
			f := newFixture(t, nil)
			f.Expect(f.service.SetFaults(c.fault)).To(gomega.Succeed())
			response := f.callRepair("k1", "sew")
			f.Expect(response.failure).To(gomega.Equal(errs.OutcomeUnknown), response.raw)
			f.Expect(response.ran).To(gomega.Equal(errs.RanUnknown))
			f.Expect(f.service.SetFaults(service.Faults{})).To(gomega.Succeed())
			f.Expect(f.callRepair("k1", "sew").failure).To(gomega.Equal(errs.OutcomeUnknown))
			f.Expect(f.service.Calls()).To(gomega.HaveLen(c.runs))
			f.Expect(f.sendRequest("GET", "/v1/outcomes/repair/k1", "").raw).To(gomega.ContainSubstring(`"state":"unknown"`))
		})
	}
}

// Guards against a key that stays claimed after a call that did not run.
func TestCallThatDidNotRunReleasesItsKey(t *testing.T) {
	f := newFixture(t, nil)
	f.Expect(f.service.SetFaults(service.Faults{Refuse: true})).To(gomega.Succeed())
	response := f.callRepair("k1", "sew")
	f.Expect(response.ran).To(gomega.Equal(errs.RanNo), response.raw)
	f.Expect(f.permits.outcomes()).To(gomega.Equal([]core.Outcome{core.OutcomeNotSent}))
	f.Eventually(f.claims.releaseCount).Should(gomega.Equal(1))
	f.Expect(f.service.SetFaults(service.Faults{})).To(gomega.Succeed())
	f.Expect(f.callRepair("k1", "sew").status).To(gomega.Equal(200))
	f.Expect(f.service.Calls()).To(gomega.HaveLen(1))
}

// Guards against a call that is sent although its claim failed, including a claim
// that was committed but whose response was lost.
func TestClaimErrorIsNeverDispatched(t *testing.T) {
	for name, claimCommitted := range map[string]bool{"failed": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.claims.claimError, f.claims.claimCommitted = errs.New(errs.StoreUnavailable, "store is down"), claimCommitted
			response := f.callRepair("k1", "sew")
			f.Expect(response.failure).To(gomega.Equal(errs.StoreUnavailable), response.raw)
			f.Expect(response.ran).To(gomega.Equal(errs.RanNo))
			f.Expect(f.service.Calls()).To(gomega.BeEmpty())
			f.Expect(f.permits.outcomes()).To(gomega.Equal([]core.Outcome{core.OutcomeNotSent}))
			if claimCommitted {
				f.Eventually(f.claims.releaseCount).Should(gomega.Equal(1))
			}
		})
	}
}

// Guards against a claim that is written for a call that is refused under overload.
func TestRefusedPermitWritesNoClaim(t *testing.T) {
	f := newFixture(t, nil)
	f.permits.acquireError = errs.NotRun(errs.Overloaded, "queue is full").WithRetry(1500e6)
	response := f.callRepair("k1", "sew")
	f.Expect(response.status).To(gomega.Equal(429))
	f.Expect(response.retry).To(gomega.Equal("2"), "Retry-After is in seconds, rounded up")
	f.Expect(f.claims.claimsByKey).To(gomega.BeEmpty())
}

// Guards against a lost outcome when the response of the service arrives after the
// caller's deadline. A repeated call must get the outcome and must not run again.
func TestLateResponseIsStored(t *testing.T) {
	f := newFixture(t, nil)
	f.Expect(f.service.SetFaults(service.Faults{DelayMS: 500, Times: 1})).To(gomega.Succeed())
	f.server.Close()
	f.startServer(func(l *serverLimits) { l.AtMostOnceTimeout, l.OutcomeStoreWait = 20e9, 1e6 })
	response := f.sendRequest("POST", "/v1/services/repair", "sew", "Idempotency-Key", "k1", "X-Deadline-Ms", "50")
	f.Expect(response.failure).To(gomega.Equal(errs.Timeout), response.raw)
	f.Expect(response.ran).To(gomega.Equal(errs.RanUnknown))
	f.Expect(f.callRepair("k1", "sew").failure).To(gomega.Equal(errs.InProgress))
	f.Eventually(func() int { return f.callRepair("k1", "sew").status }, "5s").Should(gomega.Equal(200))
	f.Expect(f.service.Calls()).To(gomega.HaveLen(1))
}

// Guards against a retry of a call whose kind is at-most-once, and against a missing
// retry of a call whose kind is repeatable.
func TestOnlyRepeatableCallIsRetried(t *testing.T) {
	f := newFixture(t, nil)
	second, err := service.New("127.0.0.1:0")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(second.Close)
	secondTarget := f.permits.targets[2]
	secondTarget.Name, secondTarget.Address = "s2", second.Address()
	f.permits.targets = append(f.permits.targets, secondTarget)
	f.Expect(f.service.SetFaults(service.Faults{LoseAnswers: true})).To(gomega.Succeed())
	f.Expect(f.sendRequest("POST", "/v1/services/stock", "zips").status).To(gomega.Equal(200))
	f.Expect(second.Calls()).To(gomega.HaveLen(1))
	f.Expect(f.callRepair("k1", "sew").failure).To(gomega.Equal(errs.OutcomeUnknown))
	f.Expect(second.Calls()).To(gomega.HaveLen(1), "the at-most-once call is not sent again")
}
