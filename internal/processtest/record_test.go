package processtest

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/testcluster"
)

// Guards against a recorded trace that misses requests, counts attempts, or that
// replay refuses.
func TestRecordedTraceCanBeReplayed(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	l := newLoad(ctx, cluster)
	l.run(17, 4, 30, make(chan struct{}))
	l.group.Wait()
	trace, err := testcluster.Run(binDir, nil, "cicadaslip", "record", "--settings", cluster.Settings(cluster.VMs()[0]))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	completions := bytes.Count(trace, []byte(`"class":"runner","served":"base"`))
	g.Expect(completions).To(gomega.Equal(l.checker.answered + l.checker.refused))
	path := filepath.Join(t.TempDir(), "recorded.trace")
	g.Expect(os.WriteFile(path, trace, 0o600)).To(gomega.Succeed())
	output, err := testcluster.Run(binDir, nil, "cicadaslip", "replay", path, "-o", "json")
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
}
