package groupserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a request that is granted a target although it was cancelled before it arrived, and
// against an owner that remembers all requests which callers have left.
func TestCancelledRequestsAreRememberedForATime(t *testing.T) {
	g := gomega.NewWithT(t)
	var c cancelledRequests
	g.Expect(c.has("a")).To(gomega.BeFalse())
	c.add(0, "a")
	c.add(cancelledRetention-time.Second, "b")
	c.add(cancelledRetention, "c")
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(c.has(id)).To(gomega.BeTrue())
	}
	c.add(2*cancelledRetention, "d")
	g.Expect(c.has("b")).To(gomega.BeFalse())
	g.Expect(c.has("c")).To(gomega.BeTrue())
	for i := range 10 * maxCancelled {
		c.add(2*cancelledRetention, fmt.Sprint(i))
		g.Expect(len(c.newer) + len(c.older)).To(gomega.BeNumerically("<=", 2*maxCancelled))
	}
	g.Expect(c.has(fmt.Sprint(10*maxCancelled - 1))).To(gomega.BeTrue())
}
