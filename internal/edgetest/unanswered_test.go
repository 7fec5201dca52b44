package edgetest

import (
	"context"
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
	const hold, long = "/hold/", "/long/"
	c.engine2 = true
	c.configure(route("hold", hold, "non_idempotent", app, 1, false, 25000), route("long", long, "streaming", llm2, 1, false, 25000))
	second := c.target(engine.Settings{
		ID: "second", Service: llm2, Zone: dataCentres[0], Model: model, Slots: 16, Adapters: 4, Events: 40, Pause: 500 * time.Millisecond,
	})
	c.g.Eventually(v.daemon.OwnedGroups).WithTimeout(limit).Should(gomega.HaveLen(2))
	for _, target := range c.apps {
		target.SetFault(engine.Mute, -1)
	}
	ctx, leave := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	ask := func(r request, runs int) {
		r.deadline = 20 * time.Second
		wait.Go(func() { c.send(ctx, v, r) })
		c.g.Eventually(func() int { return len(c.runs(r.id)) + len(second.Runs()) }).WithTimeout(limit).Should(gomega.Equal(runs))
	}
	ask(request{id: "early", path: hold}, 1)
	ask(request{id: "stream", path: long, adapter: "a1"}, 1)
	close(v.stop)
	c.g.Eventually(v.ready).WithTimeout(limit).ShouldNot(gomega.Equal(200))
	ask(request{id: "late", path: hold}, 2)
	c.g.Eventually(v.done).WithTimeout(shutdownGrace + time.Second).Should(gomega.BeClosed())
	leave()
	wait.Wait()

	const end = `unanswered .*arrived_ms=`
	c.g.Expect(c.story("early")).To(gomega.And(
		gomega.MatchRegexp(end+`-\d.* kind=non_idempotent .*reason=draining.* sent=1 .*sent_to=a\d`), gomega.ContainSubstring("ran=unknown"),
		gomega.MatchRegexp(`sent  .*target=a\d`), gomega.Not(gomega.ContainSubstring("missing"))))
	c.g.Expect(c.story("late")).To(gomega.MatchRegexp(end + `\d.* sent=1 `))
	c.g.Expect(c.story("stream")).To(gomega.And(
		gomega.MatchRegexp(end+`-\d.* count=\d+ .*kind=streaming last_event_ms=\d{4,}`), gomega.MatchRegexp(`placed .*target=second`)))
	c.g.Expect(c.logs.text()).To(gomega.MatchRegexp(`"event":"stopped","count":3,"connections":3,`))
}
