package quarantine_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/quarantine"
)

// Guards against ages and times from another VM that lie in the future or overflow, and hide
// later crashes, or keep a part from targets for ever.
func TestTimesOfOtherVMsAreBounded(t *testing.T) {
	part := quarantine.Part{Service: service, ID: "part"}
	for _, age := range []time.Duration{-time.Nanosecond, -time.Hour, math.MinInt64, math.MinInt64 + time.Hour, math.MaxInt64} {
		g := gomega.NewWithT(t)
		c := &clock{now: time.Hour}
		table := c.table("vm0")
		c.crashes(table, 1, "part")
		table.Merge(quarantine.Delta{Progress: []quarantine.Progress{{Part: part, Origin: "vm1", Count: 1, Age: age}}})
		c.crashes(table, 5, "part")
		g.Expect(blocked(table, "part")).To(gomega.BeTrue(), "crashes after progress of age %d", age)

		c = &clock{now: time.Hour}
		table = c.table("vm0")
		delta := quarantine.Delta{}
		for i := range uint64(8) {
			delta.Observations = append(delta.Observations, quarantine.Observation{
				Origin: "vm1", Number: i, Age: age, Break: quarantine.Break{Service: service, Crash: fmt.Sprint(i), Request: fmt.Sprint(i), Parts: []string{"part"}},
			})
		}
		table.Merge(delta)
		c.now += 3 * quarantine.Duration
		g.Expect(blocked(table, "part")).To(gomega.BeFalse(), "long after observations of age %d", age)
	}
	for _, since := range []int64{math.MaxInt64, math.MinInt64, -1, time.Unix(1000, 0).Add(10 * time.Hour).UnixMilli()} {
		g := gomega.NewWithT(t)
		c := &clock{now: time.Hour}
		table := c.table("vm0")
		for range 3 {
			table.Merge(quarantine.Delta{Quarantined: []quarantine.Quarantined{{Part: part, Since: since}}})
			c.now += quarantine.Duration + time.Second
			g.Expect(blocked(table, "part")).To(gomega.BeFalse())
			table.Merge(quarantine.Delta{Quarantined: []quarantine.Quarantined{{Part: part, Since: since}}})
			g.Expect(blocked(table, "part")).To(gomega.BeFalse(), "told again of a quarantine since %d", since)
		}
	}
}
