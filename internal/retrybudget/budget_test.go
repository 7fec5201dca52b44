package retrybudget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/retrybudget"
)

var settings = retrybudget.Settings{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}

// Guards against more repeats in any window than the deployment allows, over all
// VMs together.
func TestNoWindowHasMoreRepeatsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 7).Draw(t, "vms")
		budgets := make([]*retrybudget.Budget, vms)
		for i := range budgets {
			budgets[i] = retrybudget.New(settings)
			budgets[i].SetVMs(vms)
		}
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			b := budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			b.Request(now)
			requests = append(requests, now)
			if b.Take(now) {
				repeats = append(repeats, now)
			}
			limit := settings.Ratio*float64(since(requests, now)) + settings.Extra
			if float64(since(repeats, now)) > limit {
				t.Fatalf("%d repeats, %v allowed", since(repeats, now), limit)
			}
		}
	})
}

func since(times []time.Duration, now time.Duration) int {
	count := 0
	for _, at := range times {
		if at > now-settings.Window {
			count++
		}
	}
	return count
}

// Guards against a budget that is never free again.
func TestTheBudgetRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	b := retrybudget.New(settings)
	taken := 0
	for b.Take(0) {
		taken++
	}
	g.Expect(taken).To(gomega.BeNumerically(">", 20))
	g.Expect(b.Take(9 * time.Second)).To(gomega.BeFalse())
	g.Expect(b.Take(12 * time.Second)).To(gomega.BeTrue())
}
