package processtest

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/testcluster"
)

// coldAdapters is the number of adapters asked for while loads do not work.
const coldAdapters = 3

// Guards against requests that wait for ever when the loads of a runner fail or
// hang: they must be answered by another runner, and the runner must be used
// again when it works.
func TestLoadsThatFailOrHang(t *testing.T) {
	for name, faults := range map[string]string{"fail": `{"fail_loads":true}`, "hang": `{"hang_loads":true}`} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cluster := deployment(t, g, func(o *testcluster.Options) {
				o.DataCentres = []testcluster.DataCentre{{Name: "riga", Region: "riga", VMs: 2, Runners: 2, Services: 1}}
			})
			broken := cluster.Runners()[0]
			control := func(body string) {
				g.Expect(cluster.Control(http.MethodPost, broken.Address, "/control/faults", []byte(body))).To(gomega.Succeed())
			}
			control(faults)
			c := caller(ctx, g, cluster, cluster.VMs()[0])
			for i := range coldAdapters {
				answer, err := c.Complete(adapterName(i), "p", answerTokens, false)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				text, _ := answer.Text()
				g.Expect(text).To(gomega.Equal(runner.Answer(adapterName(i), "p", answerTokens)), string(answer.Body))
			}
			g.Expect(started(g, broken.Address)).To(gomega.BeZero())
			control(`{}`)
			l := newLoad(ctx, cluster)
			stop := make(chan struct{})
			l.run(29, 6, maxRequests, stop)
			g.Eventually(func() int { return started(g, broken.Address) }).WithTimeout(testLimit).Should(gomega.BeNumerically(">", 0))
			close(stop)
			l.group.Wait()
			l.checker.verify(t, g, cluster)
		})
	}
}

// Guards against a daemon that cannot be ended while a stream is open: the second
// signal ends it at once.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	vm := cluster.VMs()[0]
	answers := startStreams(caller(ctx, g, cluster, vm), 4*longTokens)
	waitForStreams(g, cluster)
	daemon := cluster.Daemon(vm)
	daemon.Signal(syscall.SIGTERM)
	g.Eventually(func() bool { return isDraining(g, cluster, vm) }).WithTimeout(testLimit).Should(gomega.BeTrue())
	daemon.Signal(syscall.SIGTERM)
	g.Expect(daemon.Wait()).To(gomega.Equal(1))
	cut := 0
	for range longStreams {
		if _, complete := (<-answers).Text(); !complete {
			cut++
		}
	}
	t.Logf("%d streams cut", cut)
	g.Expect(cut).To(gomega.BeNumerically(">", 0))
}

// Guards against a shutdown limit that is ignored.
func TestShutdownLimitEndsTheDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, func(o *testcluster.Options) { o.Shutdown = shutdownLimit })
	vm := cluster.VMs()[0]
	answers := startStreams(caller(ctx, g, cluster, vm), 4*longTokens)
	waitForStreams(g, cluster)
	daemon := cluster.Daemon(vm)
	daemon.Signal(syscall.SIGTERM)
	g.Expect(daemon.Wait()).To(gomega.Equal(1))
	cut := 0
	for range longStreams {
		if _, complete := (<-answers).Text(); !complete {
			cut++
		}
	}
	g.Expect(cut).To(gomega.BeNumerically(">", 0))
}
