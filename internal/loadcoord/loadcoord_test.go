package loadcoord_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/loadcoord"
	"cicadaslip/internal/model"
)

func keyOf(name string) loadcoord.Key {
	return loadcoord.Key{Group: "g", Adapter: model.AdapterVersion{Organisation: "o", Adapter: name, Version: "1"}}
}

// Guards against starting loads in the order of arrival: work of higher worth that
// is due sooner must not wait behind work of lower worth.
func TestMoreUrgentLoadStartsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	c := loadcoord.New(loadcoord.Params{LoadsPerSecond: 1, Burst: 1})
	c.Add(0, loadcoord.LoadRequest{Key: keyOf("low"), Worth: 1, Due: 10 * time.Second})
	c.Add(0, loadcoord.LoadRequest{Key: keyOf("high"), Worth: 5, Due: 5 * time.Second})
	g.Expect(c.Tick(0)).To(gomega.Equal([]loadcoord.Key{keyOf("high")}))
	next, ok := c.NextTick(0)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.Tick(next)).To(gomega.Equal([]loadcoord.Key{keyOf("low")}))
}

// Guards against exceeding the rate of the weights store, which slows down all
// loads.
func TestRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.5, 10).Draw(rt, "rate")
		c := loadcoord.New(loadcoord.Params{LoadsPerSecond: rate, Burst: 2})
		now, started := time.Duration(0), 0
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "add") {
				c.Add(now, loadcoord.LoadRequest{Key: keyOf(rapid.StringMatching("[a-e]").Draw(rt, "name")), Worth: 1, Due: now + time.Second})
			}
			started += len(c.Tick(now))
			if float64(started) > 2+rate*now.Seconds()+1e-6 {
				rt.Fatalf("%d loads started after %v at %v loads/s", started, now, rate)
			}
		}
	})
}
