package processtest

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/admin"
	"cicadaslip/internal/testcluster"
)

// runnerOwner returns the VM that owns the runners' group of the only data
// centre, and the group's epoch.
func runnerOwner(g gomega.Gomega, cluster *testcluster.Cluster) (vm string, epoch uint64) {
	output, err := testcluster.Run(binDir, nil, "cicadaslip", "status", "-o", "json", "--settings", cluster.Settings(cluster.VMs()[0]))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var result struct {
		Daemons []admin.Status `json:"daemons"`
	}
	g.Expect(json.Unmarshal(output, &result)).To(gomega.Succeed())
	for _, daemon := range result.Daemons {
		for _, group := range daemon.Groups {
			if strings.Contains(group.Group, ".runner.") && uint64(group.Epoch) > epoch {
				vm, epoch = daemon.VM.Name, uint64(group.Epoch)
			}
		}
	}
	return vm, epoch
}

// Guards against a paused owner that resumes after a takeover and acts on its
// old view: orders to targets that ignore fencing tokens, and permits. The slots
// are few, so that adapters are exchanged all the time.
func TestPausedOwnerResumesAfterATakeover(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, func(o *testcluster.Options) {
		o.DataCentres = []testcluster.DataCentre{{Name: "riga", Region: "riga", VMs: 3, Runners: 2, Services: 1}}
		o.IgnoreFencing = true
		o.Slots = 2
	})
	l := newLoad(ctx, cluster)
	stop := make(chan struct{})
	l.run(23, 8, maxRequests, stop)
	g.Eventually(l.checker.count).WithTimeout(testLimit).Should(gomega.BeNumerically(">", 20))
	for round := range 2 {
		paused, before := runnerOwner(g, cluster)
		t.Logf("round %d: pause %s, which owns the runners at epoch %d", round, paused, before)
		cluster.Daemon(paused).Signal(syscall.SIGSTOP)
		time.Sleep(pauseTime)
		cluster.Daemon(paused).Signal(syscall.SIGCONT)
		g.Eventually(func() uint64 { _, epoch := runnerOwner(g, cluster); return epoch }).
			WithTimeout(testLimit).Should(gomega.BeNumerically(">", before), "another VM has taken over")
		answered := l.checker.count()
		g.Eventually(l.checker.count).WithTimeout(testLimit).Should(gomega.BeNumerically(">", answered+20))
	}
	close(stop)
	l.group.Wait()
	l.checker.verify(t, g, cluster)
}

// pauseTime is longer than the silence after which a VM counts as unreachable
// and the time of a takeover.
const pauseTime = 5 * time.Second
