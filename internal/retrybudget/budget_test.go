package retrybudget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/retrybudget"
)

var settings = retrybudget.Settings{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}

// Guards against more retries in any window, over all VMs together, than the
// deployment allows.
func TestRetriesInAnyWindowStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 7).Draw(t, "vms")
		budgets := make([]*retrybudget.Budget, vms)
		for i := range budgets {
			budgets[i] = retrybudget.New(settings)
			budgets[i].SetVMs(vms)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			b := budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			b.RecordRequest(now)
			requests = append(requests, now)
			if b.TryRetry(now) {
				retries = append(retries, now)
			}
			limit := settings.Ratio*float64(countInWindow(requests, now)) + settings.Extra
			if float64(countInWindow(retries, now)) > limit {
				t.Fatalf("%d retries in the window, %v allowed", countInWindow(retries, now), limit)
			}
		}
	})
}

// countInWindow returns how many of the times lie in the window that ends now.
func countInWindow(times []time.Duration, now time.Duration) int {
	count := 0
	for _, at := range times {
		if at > now-settings.Window {
			count++
		}
	}
	return count
}

// Guards against a used-up budget that allows no retry after its window has passed.
func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	b := retrybudget.New(settings)
	taken := 0
	for b.TryRetry(0) {
		taken++
	}
	g.Expect(taken).To(gomega.BeNumerically(">", 20))
	g.Expect(b.TryRetry(9 * time.Second)).To(gomega.BeFalse())
	g.Expect(b.TryRetry(12 * time.Second)).To(gomega.BeTrue())
}

// Guards against retries that are taken, not sent, and missing for requests that need them.
func TestReturnedRetryIsAllowedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	b := retrybudget.New(settings)
	for b.TryRetry(0) {
	}
	b.Return(5*time.Second, 0)
	g.Expect(b.TryRetry(5 * time.Second)).To(gomega.BeTrue())
	g.Expect(b.TryRetry(5 * time.Second)).To(gomega.BeFalse())
	b.Return(30*time.Second, 0) // its slot has been used again
	g.Expect(b.TryRetry(30 * time.Second)).To(gomega.BeTrue())
}
