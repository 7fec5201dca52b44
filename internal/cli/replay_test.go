package cli_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/cli"
)

const traceDir = "../replay/testdata/"

// Guards against exit code 0 although an expected outcome does not hold, and
// against a replay that writes no results.
func TestReplayExitCodeMatchesOutcomes(t *testing.T) {
	g := gomega.NewWithT(t)
	plots := filepath.Join(t.TempDir(), "plots")
	passed := runCLI("", "replay", traceDir+"faults.trace", "--expect", traceDir+"faults.yaml", "--plots", plots, "-o", "json")
	g.Expect(passed.code).To(gomega.Equal(cli.ExitOK), passed.stderr)
	g.Expect(passed.stdout).To(gomega.ContainSubstring(`"stall_share"`))
	files, err := filepath.Glob(filepath.Join(plots, "*.png"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).NotTo(gomega.BeEmpty())

	failingOutcomesFile := filepath.Join(t.TempDir(), "wrong.yaml")
	g.Expect(os.WriteFile(failingOutcomesFile, []byte("measures: {policy: {requests: {max: 1}}}"), 0o600)).To(gomega.Succeed())
	failed := runCLI("", "replay", traceDir+"faults.trace", "--expect", failingOutcomesFile)
	g.Expect(failed.code).To(gomega.Equal(cli.ExitFailure))
	g.Expect(failed.stderr).To(gomega.ContainSubstring("expected at most 1"))

	g.Expect(runCLI("{}", "replay", "-").code).To(gomega.Equal(cli.ExitFailure))
	g.Expect(runCLI("", "replay").code).To(gomega.Equal(cli.ExitUsage))
	g.Expect(runCLI("", "replay", "absent").code).To(gomega.Equal(cli.ExitNotFound))
}
