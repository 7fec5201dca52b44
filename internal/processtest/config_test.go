package processtest

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/admin"
	"cicadaslip/internal/config"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/testcluster"
)

// versions returns the configuration versions in force on VMs.
func versions(g gomega.Gomega, cluster *testcluster.Cluster, vms ...string) map[string]uint64 {
	args := []string{"status", "-o", "json", "--settings", cluster.Settings(cluster.VMs()[0])}
	for _, vm := range vms {
		args = append(args, "--vm", vm)
	}
	output, err := testcluster.Run(binDir, nil, "cicadaslip", args...)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var result struct {
		Daemons []admin.Status `json:"daemons"`
	}
	g.Expect(json.Unmarshal(output, &result)).To(gomega.Succeed())
	found := map[string]uint64{}
	for _, daemon := range result.Daemons {
		found[daemon.VM.Name] = daemon.ConfigVersion
	}
	return found
}

// Guards against a configuration that does not reach a VM, or that reverts on a
// VM that is paused during the change or restarted after it.
func TestConfigurationReachesAllVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	paused, restarted := cluster.VMs()[0], cluster.VMs()[1]
	cluster.Daemon(paused).Signal(syscall.SIGSTOP)
	changed := document()
	changed.Organisations[0].Share = 2
	result, err := config.Publish(ctx, cluster.Store, changed, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted := time.Now()
	others := func() bool {
		v := versions(g, cluster, cluster.VMs()[1:]...)
		return v[cluster.VMs()[1]] == result.Version && v[cluster.VMs()[2]] == result.Version
	}
	g.Eventually(others).WithTimeout(testLimit).Should(gomega.BeTrue())
	t.Logf("in force on the running VMs %v after it was accepted", time.Since(accepted))
	cluster.Daemon(paused).Signal(syscall.SIGCONT)
	cluster.Daemon(restarted).Kill()
	g.Expect(cluster.StartDaemon(restarted)).To(gomega.Succeed())
	g.Expect(cluster.WaitReady(ctx, restarted)).To(gomega.Succeed())
	g.Expect(versions(g, cluster, restarted)[restarted]).To(gomega.Equal(result.Version))
	g.Eventually(func() uint64 { return versions(g, cluster, paused)[paused] }).WithTimeout(testLimit).Should(gomega.Equal(result.Version))
}

// Guards against a VM that takes requests before it knows the newest
// configuration, and against resident adapters that are not served in an outage.
func TestRestartDuringAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	c := caller(ctx, g, cluster, cluster.VMs()[0])
	answer, err := c.Complete(adapterName(0), "before", answerTokens, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Status).To(gomega.Equal(http.StatusOK))
	restarted := cluster.VMs()[2]
	old := caller(ctx, g, cluster, restarted)
	outage(g, cluster, true)
	cluster.Daemon(restarted).Kill()
	g.Expect(cluster.StartDaemon(restarted)).To(gomega.Succeed())
	answer, err = c.Complete(adapterName(0), "during", answerTokens, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Status).To(gomega.Equal(http.StatusOK), string(answer.Body))
	booked, err := c.Post("/v1/services/"+booking, "outage-key", []byte(`{}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, ran := booked.Error()
	g.Expect(ran).To(gomega.Equal("not_run"), string(booked.Body))
	_, err = old.Complete(adapterName(0), "at the old address", answerTokens, false)
	g.Expect(err).To(gomega.HaveOccurred(), "the VM is not back")
	outage(g, cluster, false)
	g.Expect(cluster.WaitReady(ctx, restarted)).To(gomega.Succeed())
	booked, err = c.Post("/v1/services/"+booking, "outage-key", []byte(`{}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(booked.Status).To(gomega.Equal(http.StatusOK), string(booked.Body))
}

// Guards against two processes of one VM: the earlier one counts as gone and
// must not go on when it resumes.
func TestEarlierIncarnationEndsWhenItResumes(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	vm := cluster.VMs()[0]
	earlier := cluster.Daemon(vm)
	earlier.Signal(syscall.SIGSTOP)
	g.Expect(cluster.StartDaemon(vm)).To(gomega.Succeed())
	g.Expect(cluster.WaitReady(ctx, vm)).To(gomega.Succeed())
	earlier.Signal(syscall.SIGCONT)
	g.Eventually(earlier.Done()).WithTimeout(testLimit).Should(gomega.BeClosed())
	g.Expect(earlier.Wait()).To(gomega.Equal(1))
	answer, err := caller(ctx, g, cluster, vm).Complete(adapterName(0), "later", answerTokens, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Status).To(gomega.Equal(http.StatusOK), string(answer.Body))
}

// Limits of the platform for all calls together, from the requirements.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	recoverySeconds = 3
)

// Guards against a stampede on the platform when it comes back.
func TestRecoveryStaysWithinThePlatformsRates(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	l := newLoad(ctx, cluster)
	stop := make(chan struct{})
	l.run(13, 6, maxRequests, stop)
	outage(g, cluster, true)
	time.Sleep(recoverySeconds * time.Second)
	before := counts(g, cluster)
	outage(g, cluster, false)
	time.Sleep(recoverySeconds * time.Second)
	after := counts(g, cluster)
	close(stop)
	l.group.Wait()
	writes, reads := after.Writes()-before.Writes(), after.Reads()-before.Reads()
	t.Logf("%d writes and %d reads in the %d s after an outage", writes, reads, recoverySeconds)
	g.Expect(writes).To(gomega.BeNumerically("<=", writesPerSecond*recoverySeconds))
	g.Expect(reads).To(gomega.BeNumerically("<=", readsPerSecond*recoverySeconds))
	l.checker.verify(t, g, cluster)
}

func counts(g gomega.Gomega, cluster *testcluster.Cluster) memstore.Counts {
	var c memstore.Counts
	get(g, cluster.Platform.Address, "/control/counts", &c)
	return c
}
