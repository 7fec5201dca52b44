package cli

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a list of exit codes in docs/cli.md that differs from exitCodes.
func TestDocsListExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/cli.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var rows strings.Builder
	for _, e := range exitCodes {
		fmt.Fprintf(&rows, "| %d | %s |\n", e.code, e.meaning)
	}
	g.Expect(string(page)).To(gomega.HaveSuffix("|---|---|\n" + rows.String()))
}
