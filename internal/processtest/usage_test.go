package processtest

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/account"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/testcluster"
)

func usage(g gomega.Gomega, cluster *testcluster.Cluster) account.Report {
	output, err := testcluster.Run(binDir, nil, "cicadaslip", "usage", "-o", "json", "--settings", cluster.Settings(cluster.VMs()[0]))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var report account.Report
	g.Expect(json.Unmarshal(output, &report)).To(gomega.Succeed())
	return report
}

// generated counts the tokens that the runners generated.
func generated(g gomega.Gomega, cluster *testcluster.Cluster) uint64 {
	total := uint64(0)
	for _, target := range cluster.Runners() {
		var log []runner.LogEntry
		get(g, target.Address, "/control/log", &log)
		for _, entry := range log {
			if entry.Event == runner.EventFinished {
				total += uint64(entry.Tokens)
			}
		}
	}
	return total
}

// Guards against an account in which used and given differ from each other or
// from what the runners generated.
func TestAccountEqualsWhatTheRunnersGenerated(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	l := newLoad(ctx, cluster)
	l.run(11, 6, 60, make(chan struct{}))
	l.group.Wait()
	l.checker.verify(t, g, cluster)
	var settled account.OrganisationUsage
	g.Eventually(func() bool {
		report := usage(g, cluster)
		g.Expect(report.Unclean).To(gomega.BeEmpty())
		if len(report.Organisations) != 1 {
			return false
		}
		settled = report.Organisations[0]
		return settled.Settling == 0 && settled.Used.GeneratedTokens == settled.Given.GeneratedTokens
	}).WithTimeout(testLimit).Should(gomega.BeTrue())
	g.Expect(settled.Differences).To(gomega.BeEmpty())
	g.Expect(settled.Dropped).To(gomega.BeZero())
	g.Expect(settled.Used.GeneratedTokens).To(gomega.Equal(generated(g, cluster)))
	t.Logf("%d generated tokens on both sides and at the runners", settled.Used.GeneratedTokens)
}
