package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// Guards against a repeatable request that stays at a silent target until its deadline: its
// only hedge went to a second silent target, or was denied once.
func TestSlowRequestIsHedgedAgain(t *testing.T) {
	answers := writes(plainAnswer)
	for name, c := range map[string]struct {
		targets func(net.Conn)
		denied  int // retries denied at first
		absent  int // times that no target can be picked, after the first target
	}{
		"two silent targets":          {targets: inTurn(mute(), mute(), answers)},
		"the budget was used up":      {targets: inTurn(mute(), answers), denied: 2},
		"no target could be picked":   {targets: inTurn(mute(), answers), absent: 2},
		"a silent target and refusal": {targets: inTurn(mute(), writes(refusal), answers), denied: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			w, address := newWorld(t, fleet.Idempotent, c.targets)
			w.route.MaxAttempts, w.latency = 3, time.Millisecond
			w.takeRetry = func() bool { c.denied--; return c.denied < 0 }
			w.pick = func(exclude []string) bool {
				if len(exclude) == 0 {
					return true
				}
				c.absent--
				return c.absent < 0
			}
			began := time.Now()
			status, body, err := get(g, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(body).To(gomega.Equal("ok"))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}
