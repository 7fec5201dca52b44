package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an owner that keeps the state of each adapter that requests name, although callers may name
// any number of them, and against one that forgets those in use.
func TestAdaptersThatRequestsNameAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	c := New(Params{})
	now := Time(0)
	ask := func(name string) {
		c.Enqueue(now, Request{ID: name + fmt.Sprint(c.requestCount), Adapter: Adapter{Model: "m", Name: name}, Deadline: time.Second, Objective: time.Second})
		for id := range c.queuedByID {
			c.Cancel(now, id)
		}
		c.Tick(now)
	}
	c.SetVersion(now, Adapter{Model: "m", Name: "announced"}, 1)
	for i := range 5 * maxIdleAdapters {
		now += time.Millisecond
		ask(fmt.Sprint("a", i))
		if i%100 == 0 {
			ask("popular")
		}
		g.Expect(len(c.adapters)).To(gomega.BeNumerically("<=", maxIdleAdapters+1))
	}
	g.Expect(c.adapters).To(gomega.HaveKey(Adapter{Model: "m", Name: "popular"}))
	g.Expect(c.adapters).To(gomega.HaveKey(Adapter{Model: "m", Name: "announced"}))
	g.Expect(c.adapters).NotTo(gomega.HaveKey(Adapter{Model: "m", Name: "a1"}))
}
