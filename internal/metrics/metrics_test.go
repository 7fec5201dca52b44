package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
)

// Guards against a page whose metrics, kinds, units or descriptions differ from the code.
func TestDocsMatchDefinitions(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var rows, want []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, line)
		}
	}
	for _, d := range append(append([]Definition{}, Definitions...), EdgeDefinitions...) {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", d.Name, d.Kind, d.Unit, d.Help))
	}
	g.Expect(rows).To(gomega.Equal(want))
}

// Guards against wrong percentiles and windows that never expire.
func TestPercentilesCoverRecentWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	for i := 1; i <= 1000; i++ {
		r.Observe(QueueWait, time.Duration(i)*time.Millisecond)
	}
	r.Observe(QueueWait, -time.Second)
	r.Observe(QueueWait, time.Hour)
	p := r.latencies[QueueWait].percentiles()
	g.Expect(p.Count).To(gomega.BeNumerically("==", 1002))
	g.Expect(p.P50).To(gomega.BeNumerically("~", 500_000, 5_000))
	g.Expect(p.P99).To(gomega.BeNumerically("~", 990_000, 9_900))
	for range windowCount {
		r.Rotate()
	}
	g.Expect(r.latencies[QueueWait].percentiles().Count).To(gomega.BeZero())
}

// Guards against errors that are not counted by code and metrics without a limit on labels.
func TestErrorsAreCountedByCode(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	g.Expect(r.CountError(PeerCallsByOutcome, nil)).To(gomega.Succeed())
	g.Expect(r.CountError(PeerCallsByOutcome, io.EOF)).To(gomega.Equal(io.EOF))
	_ = r.CountError(PeerCallsByOutcome, errs.New(errs.Timeout, "late"))
	r.Add(GroupsOwned, 2)
	r.Add(GroupsOwned, -1)
	r.SetLabel(PeersByState, "alive", 6)
	for i := range 2 * maxLabels {
		r.Count(HeartbeatsRefused, fmt.Sprint(i))
	}
	var all map[string]any
	g.Expect(json.Unmarshal([]byte(r.Var().String()), &all)).To(gomega.Succeed())
	g.Expect(all).To(gomega.HaveLen(len(Definitions)))
	g.Expect(all[string(PeerCallsByOutcome)]).To(gomega.Equal(map[string]any{"ok": 1.0, "internal": 1.0, "timeout": 1.0}))
	g.Expect(all[string(GroupsOwned)]).To(gomega.Equal(1.0))
	g.Expect(all[string(PeersByState)]).To(gomega.HaveKeyWithValue("alive", 6.0))
	g.Expect(all[string(HeartbeatsRefused)]).To(gomega.HaveKeyWithValue(otherLabel, float64(maxLabels)))
}
