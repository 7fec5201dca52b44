package cli_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/cli"
)

const traces = "../replay/testdata/"

// Guards against an exit code 0 although a stated outcome does not hold, and
// against a replay that writes no results.
func TestReplayExitCodeFollowsTheOutcomes(t *testing.T) {
	g := gomega.NewWithT(t)
	plots := filepath.Join(t.TempDir(), "plots")
	held := run("", "replay", traces+"faults.trace", "--expect", traces+"faults.yaml", "--plots", plots, "-o", "json")
	g.Expect(held.code).To(gomega.Equal(cli.ExitOK), held.err)
	g.Expect(held.out).To(gomega.ContainSubstring(`"stall_share"`))
	files, err := filepath.Glob(filepath.Join(plots, "*.png"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).NotTo(gomega.BeEmpty())

	wrong := filepath.Join(t.TempDir(), "wrong.yaml")
	g.Expect(os.WriteFile(wrong, []byte("measures: {policy: {requests: {max: 1}}}"), 0o600)).To(gomega.Succeed())
	failed := run("", "replay", traces+"faults.trace", "--expect", wrong)
	g.Expect(failed.code).To(gomega.Equal(cli.ExitFailure))
	g.Expect(failed.err).To(gomega.ContainSubstring("expected at most 1"))

	g.Expect(run("{}", "replay", "-").code).To(gomega.Equal(cli.ExitFailure))
	g.Expect(run("", "replay").code).To(gomega.Equal(cli.ExitUsage))
	g.Expect(run("", "replay", "absent").code).To(gomega.Equal(cli.ExitNotFound))
}
