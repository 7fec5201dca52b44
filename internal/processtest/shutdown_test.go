package processtest

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/admin"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/testcluster"
	"cicadaslip/internal/timeline"
)

const (
	longTokens  = 2000
	longStreams = 4 // long requests that one runner takes at the same time
)

// Guards against a graceful shutdown that cuts streams in flight, and against
// duties that nobody takes over.
func TestShutdownCutsNoStream(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	vm := cluster.VMs()[0]
	c := caller(ctx, g, cluster, vm)
	answers := startStreams(c, longTokens)
	waitForStreams(g, cluster)
	daemon := cluster.Daemon(vm)
	daemon.Signal(syscall.SIGTERM)
	for i := range longStreams {
		answer := <-answers
		text, complete := answer.Text()
		g.Expect(complete).To(gomega.BeTrue(), "stream %d was cut", i)
		g.Expect(text).To(gomega.HaveLen(len(runner.Answer(adapterName(0), "p", longTokens))))
	}
	g.Expect(daemon.Wait()).To(gomega.Equal(0))
	other := caller(ctx, g, cluster, cluster.VMs()[1])
	answer, err := other.Complete(adapterName(1), "after the shutdown", answerTokens, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text, _ := answer.Text()
	g.Expect(text).To(gomega.Equal(runner.Answer(adapterName(1), "after the shutdown", answerTokens)))
}

// Guards against a SIGHUP, as at the end of a terminal or a reload, that ends the process and
// cuts its streams.
func TestHangupCutsNoStream(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	vm := cluster.VMs()[0]
	answers := startStreams(caller(ctx, g, cluster, vm), longTokens)
	waitForStreams(g, cluster)
	cluster.Daemon(vm).Signal(syscall.SIGHUP)
	for i := range longStreams {
		answer := <-answers
		_, complete := answer.Text()
		g.Expect(complete).To(gomega.BeTrue(), "stream %d was cut", i)
	}
	g.Expect(cluster.Daemon(vm).Done()).NotTo(gomega.BeClosed())
}

func startStreams(c testcluster.Caller, tokens int) <-chan testcluster.Answer {
	answers := make(chan testcluster.Answer, longStreams)
	for i := range longStreams {
		go func() {
			answer, _ := c.Complete(adapterName(0), fmt.Sprintf("long prompt %d", i), tokens, true)
			answers <- answer
		}()
	}
	return answers
}

// waitForStreams waits until the runners have started all long streams.
func waitForStreams(g gomega.Gomega, cluster *testcluster.Cluster) {
	g.Eventually(func() int {
		total := 0
		for _, target := range cluster.Runners() {
			total += started(g, target.Address)
		}
		return total
	}).WithTimeout(testLimit).Should(gomega.BeNumerically(">=", longStreams))
}

// Guards against new work on a leaving target after the VMs know that it
// leaves, and against work in flight that is cut because its target leaves.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	l := newLoad(ctx, cluster)
	stop := make(chan struct{})
	l.run(7, 6, maxRequests, stop)
	target := cluster.Runners()[0]
	g.Eventually(func() int { return started(g, target.Address) }).WithTimeout(testLimit).Should(gomega.BeNumerically(">", 10))
	g.Expect(cluster.SetLeaving(target.Name)).To(gomega.Succeed())
	changed := time.Now()
	g.Eventually(func() int { return events(g, cluster, timeline.TargetLeaving, target.Name) }).
		WithTimeout(testLimit).Should(gomega.Equal(len(cluster.VMs())))
	t.Logf("all VMs know %v after the list's change", time.Since(changed))
	g.Eventually(func() bool {
		before := started(g, target.Address)
		time.Sleep(settleTime)
		return started(g, target.Address) == before
	}).WithTimeout(testLimit).Should(gomega.BeTrue())
	answered := l.checker.count()
	count := started(g, target.Address)
	g.Eventually(l.checker.count).WithTimeout(testLimit).Should(gomega.BeNumerically(">", answered+100))
	g.Expect(started(g, target.Address)).To(gomega.Equal(count), "new work on a leaving target")
	close(stop)
	l.group.Wait()
	l.checker.verify(t, g, cluster)
	g.Expect(l.checker.refused).To(gomega.BeZero())
}

// settleTime lets permits that were granted before the change reach the target.
const settleTime = 300 * time.Millisecond

// started counts the requests that a runner has started.
func started(g gomega.Gomega, address string) int {
	var log []runner.LogEntry
	get(g, address, "/control/log", &log)
	count := 0
	for _, entry := range log {
		if entry.Event == runner.EventStarted {
			count++
		}
	}
	return count
}

// events counts the events of a kind about a target over all VMs.
func events(g gomega.Gomega, cluster *testcluster.Cluster, kind timeline.Kind, target string) int {
	settings := cluster.Settings(cluster.VMs()[0])
	output, err := testcluster.Run(binDir, nil, "cicadaslip", "timeline", "-o", "json", "--target", target, "--settings", settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var merged timeline.Merged
	g.Expect(json.Unmarshal(output, &merged)).To(gomega.Succeed())
	count := 0
	for _, event := range merged.Events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// Guards against a request that gets the adapter or version of another one over
// many requests, one VM being restarted in between.
func TestThousandthRequestThroughThreeDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	l := newLoad(ctx, cluster)
	var once sync.Once
	const requests = 1000
	for i := range requests {
		if i == requests/2 {
			once.Do(func() {
				cluster.Daemon(cluster.VMs()[0]).Kill()
				g.Expect(cluster.StartDaemon(cluster.VMs()[0])).To(gomega.Succeed())
				g.Expect(cluster.WaitReady(ctx, cluster.VMs()[0])).To(gomega.Succeed())
			})
		}
		c := caller(ctx, g, cluster, cluster.VMs()[i%3])
		prompt := fmt.Sprintf("prompt %d", i)
		answer, err := c.Complete(adapterName(i), prompt, 2, i%2 == 0)
		l.checker.completion(adapterName(i), prompt, 2, answer, err)
	}
	l.checker.verify(t, g, cluster)
	g.Expect(l.checker.answered).To(gomega.Equal(requests))
}

// shutdownLimit is shorter than the long streams.
const shutdownLimit = 200 * time.Millisecond

// isDraining reports whether a VM refuses new requests because it drains.
func isDraining(g gomega.Gomega, cluster *testcluster.Cluster, vm string) bool {
	output, err := testcluster.Run(binDir, nil, "cicadaslip", "status", "-o", "json", "--vm", vm, "--settings", cluster.Settings(vm))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var result struct {
		Daemons []admin.Status `json:"daemons"`
	}
	g.Expect(json.Unmarshal(output, &result)).To(gomega.Succeed())
	return len(result.Daemons) == 1 && result.Daemons[0].Draining
}
