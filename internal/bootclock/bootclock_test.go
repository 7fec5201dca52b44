package bootclock_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/bootclock"
)

// Guards against a clock that does not advance or that runs slower than the monotonic one.
func TestClockAdvancesAtLeastAsFastAsMonotonicClock(t *testing.T) {
	g := gomega.NewWithT(t)
	before, began := bootclock.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := time.Since(began)
	g.Expect(bootclock.Now() - before).To(gomega.BeNumerically(">=", elapsed))
}
