package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/explain"
)

const logs = `  0.10 vm1 {"level":"info","vm":"vm1","event":"placed","request":"q1","target":"t1","owner":"vm2","at_ms":30,"stamp":"2000000000.1","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm2","event":"granted","request":"q1/3","target":"t1","waited_ms":25,"stamp":"2000000000.0","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm1","event":"finished","request":"q1","status":502,"reason":"truncated_answer","stamp":"2500000000.0","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm1","event":"config_in_force","config":7,"stamp":"1000000000.0","time":"2026-12-04T09:00:00Z"}
{"level":"info","vm":"vm1","event":"finished","request":"q11","status":200,"stamp":"2500000000.0","time":"2026-12-04T09:00:00Z"}
not a line of ours
`

// Guards against a story in another order than that of its causes, with lines of
// other requests, or without what the VMs believed.
func TestTheStoryIsInCausalOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, err := explain.Read(strings.NewReader(logs), explain.Window{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	story, err := explain.Tell("q1", lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var events []string
	for _, l := range story.Lines {
		events = append(events, l.Event)
	}
	g.Expect(events).To(gomega.Equal([]string{"granted", "placed", "finished"}))
	g.Expect(story.Around).To(gomega.HaveLen(1))
	g.Expect(story.Missing).To(gomega.BeEmpty())
	var b strings.Builder
	g.Expect(explain.Write(&b, story)).To(gomega.Succeed())
	g.Expect(b.String()).To(gomega.ContainSubstring("reason=truncated_answer"))
}

// Guards against missing lines that nobody is told of.
func TestMissingLinesAreSaid(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, err := explain.Read(strings.NewReader(strings.Join(strings.Split(logs, "\n")[:1], "\n")), explain.Window{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	story, err := explain.Tell("q1", lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(story.Missing).To(gomega.ConsistOf(gomega.ContainSubstring("no line of its end"), "no log of vm2"))
	_, err = explain.Tell("q9", lines)
	g.Expect(errs.Is(err, errs.NotFound)).To(gomega.BeTrue())
	none, err := explain.Read(strings.NewReader(logs), explain.Window{Since: time.Unix(100, 0)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(none).To(gomega.BeEmpty())
}
