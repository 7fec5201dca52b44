package edgetest

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
)

// Guards against a request that the end of the process cuts without a line of its VM: nobody can
// tell from the logs which one it was, whether a target had it, and since when.
func TestLogsTellWhichRequestsTheEndOfTheProcessCuts(t *testing.T) {
	c := start(t, 1)
	v := c.vms[0]
	const long = "/long/"
	c.engine2 = true
	c.configure(route("long", long, "streaming", llm2, 1, false, 25000))
	second := c.target(engine.Settings{
		ID: "second", Service: llm2, Zone: dataCentres[0], Model: model, Slots: 16, Adapters: 4, Events: 60, Pause: 400 * time.Millisecond,
	})
	c.g.Eventually(v.daemon.OwnedGroups).WithTimeout(limit).Should(gomega.HaveLen(2))
	ctx, leave := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	ask := func(id string, runs int) {
		wait.Go(func() { c.send(ctx, v, request{id: id, path: long, adapter: "a1", deadline: 20 * time.Second}) })
		c.g.Eventually(func() int { return len(second.Runs()) }).WithTimeout(limit).Should(gomega.Equal(runs))
	}
	ask("early", 1)
	close(v.stop)
	c.g.Eventually(v.ready).WithTimeout(limit).ShouldNot(gomega.Equal(http.StatusOK))
	ask("late", 2)
	c.g.Eventually(v.done).WithTimeout(shutdownGrace + time.Second).Should(gomega.BeClosed())
	leave()
	wait.Wait()

	c.g.Expect(c.story("early")).To(gomega.And(
		gomega.MatchRegexp(`placed .*target=second`),
		gomega.MatchRegexp(`unanswered .*arrived_ms=-\d.* count=\d+ .*kind=streaming last_event_ms=\d{4,}.* reason=draining.* sent=1 .*sent_to=second`),
		gomega.ContainSubstring("ran=unknown"), gomega.MatchRegexp(`unanswered: vm0 ended .* the request came -.* and last to second; \d+ events`),
		gomega.Not(gomega.ContainSubstring("missing"))))
	c.g.Expect(c.story("late")).To(gomega.MatchRegexp(`unanswered .*arrived_ms=\d.* sent=1 `))
	c.g.Expect(c.logs.text()).To(gomega.MatchRegexp(`"event":"stopped","count":2,"connections":2,`))
}
