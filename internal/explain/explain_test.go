package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/explain"
)

const sampleLogs = `  0.10 vm1 {"level":"info","vm":"vm1","event":"placed","request":"q1","target":"t1","owner":"vm2","at_ms":30,"stamp":"2000000000.1","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm2","event":"granted","request":"q1/3","target":"t1","waited_ms":25,"stamp":"2000000000.0","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm1","event":"finished","request":"q1","status":502,"reason":"truncated_answer","stamp":"2500000000.0","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm1","event":"config_in_force","config":7,"stamp":"1000000000.0","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm1","event":"finished","request":"q11","status":200,"stamp":"2500000000.0","time":"2026-12-04T09:00:00Z"}
plain text without JSON
`

// Guards against a report whose lines are not in causal order, that holds lines of
// other requests, or that lacks the state changes of the VMs involved.
func TestReportLinesAreInCausalOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, err := explain.Read(strings.NewReader(sampleLogs), explain.Window{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	report, err := explain.BuildReport("q1", lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var events []string
	for _, l := range report.Lines {
		events = append(events, l.Event)
	}
	g.Expect(events).To(gomega.Equal([]string{"granted", "placed", "finished"}))
	g.Expect(report.StateChanges).To(gomega.HaveLen(1))
	g.Expect(report.Missing).To(gomega.BeEmpty())
	var b strings.Builder
	g.Expect(explain.Write(&b, report)).To(gomega.Succeed())
	g.Expect(b.String()).To(gomega.ContainSubstring("reason=truncated_answer"))
}

// Guards against a report that hides that log lines or whole logs are missing.
func TestReportListsMissingLogs(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, err := explain.Read(strings.NewReader(strings.Join(strings.Split(sampleLogs, "\n")[:1], "\n")), explain.Window{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	report, err := explain.BuildReport("q1", lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(report.Missing).To(gomega.ConsistOf(gomega.ContainSubstring("no line for the end of the request"), "no log lines from vm2"))
	_, err = explain.BuildReport("q9", lines)
	g.Expect(errs.Is(err, errs.NotFound)).To(gomega.BeTrue())
	outside, err := explain.Read(strings.NewReader(sampleLogs), explain.Window{Since: time.Unix(100, 0)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outside).To(gomega.BeEmpty())
}
