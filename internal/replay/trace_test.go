package replay

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
)

func testTrace(t testing.TB, name string) *Trace {
	t.Helper()
	file, err := os.Open("testdata/" + name + ".trace")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	trace, err := ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// Guards against a writer and a reader that disagree on the format.
func TestWrittenTraceReadsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	trace := testTrace(t, "faults")
	var out bytes.Buffer
	g.Expect(WriteAll(&out, trace)).To(gomega.Succeed())
	again, err := ReadAll(&out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	trace.Header.Peaks = nil // an empty list is not written
	g.Expect(again).To(gomega.Equal(trace))
}

// Guards against a daemon's concurrent requests that make an unreadable trace.
func TestConcurrentRecordingIsReadable(t *testing.T) {
	g := gomega.NewWithT(t)
	trace := testTrace(t, "peak")
	var out bytes.Buffer
	recorder, err := NewRecorder(&out, trace.Header)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var running sync.WaitGroup
	for i := range trace.Records {
		r := trace.Records[len(trace.Records)-1-i]
		running.Go(func() {
			if err := recorder.Arrival(r.At, *r.Arrival); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	again, err := ReadAll(&out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Records).To(gomega.HaveLen(len(trace.Records)))
}

// Guards against a damaged trace that is accepted, or an error without its line.
func TestFaultNamesItsLine(t *testing.T) {
	data, err := os.ReadFile("testdata/peak.trace")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(data), "\n")
	head, first := lines[0], lines[1]
	cases := map[string]struct {
		text, line string
		code       errs.Code
	}{
		"empty":            {"", "line 1:", errs.InvalidMessage},
		"unknown version":  {strings.Replace(head, `"version": 1`, `"version": 2`, 1), "line 1:", errs.InvalidMessage},
		"unknown field":    {strings.Replace(head, `"origin"`, `"source"`, 1), "line 1:", errs.InvalidMessage},
		"no engine time":   {strings.Replace(head, `"base_ns": 20000000`, `"base_ns": 0`, 1), "line 1:", errs.InvalidMessage},
		"not JSON":         {head + first + "{", "line 3:", errs.InvalidMessage},
		"two objects":      {head + strings.TrimSpace(first) + "{}\n", "line 2:", errs.InvalidMessage},
		"no part":          {head + `{"at_ns": 1}`, "line 2:", errs.InvalidMessage},
		"repeated id":      {head + first + first, "line 3:", errs.InvalidMessage},
		"time goes back":   {head + first + `{"at_ns": 0, "configuration": {}}`, "line 3:", errs.InvalidMessage},
		"unknown target":   {head + `{"at_ns": 1, "restart": {"target": "x"}}`, "line 2:", errs.InvalidMessage},
		"endless slowness": {head + `{"at_ns": 1, "slow": {"target": "riga-runner-0", "factor": 1e300, "length_ns": 1}}`, "line 2:", errs.InvalidMessage},
		"long line":        {head + strings.Repeat(" ", MaxLineBytes+1), "line 2:", errs.TooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := ReadAll(strings.NewReader(c.text))
			g.Expect(errs.Is(err, c.code)).To(gomega.BeTrue(), "%v", err)
			g.Expect(err.Error()).To(gomega.ContainSubstring(c.line))
		})
	}
}

// Guards against a panic or an untyped error on a damaged trace, and against an
// accepted trace that cannot be written again.
func FuzzReader(f *testing.F) {
	data, err := os.ReadFile("testdata/faults.trace")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data[:4096])
	f.Add(bytes.Replace(data[:4096], []byte("riga"), []byte("x"), 2))
	f.Add([]byte(`{"version":1,"origin":"recorded"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := ReadAll(bytes.NewReader(data))
		if err == nil {
			err = WriteAll(&bytes.Buffer{}, trace)
		}
		if err != nil && !errs.Is(err, errs.InvalidMessage) && !errs.Is(err, errs.TooLarge) {
			t.Fatal(err)
		}
	})
}

// Guards against a generator that depends on more than its seed, and against a
// trace outside of what docs/trace.md says of its load.
func TestGeneratedTraceFollowsItsSeed(t *testing.T) {
	for _, deployment := range Deployments() {
		g := gomega.NewWithT(t)
		one, failure := Generate(deployment, 1)
		g.Expect(failure).To(gomega.BeNil())
		same, _ := Generate(deployment, 1)
		other, _ := Generate(deployment, 2)
		g.Expect(same).To(gomega.Equal(one))
		g.Expect(other.Records).NotTo(gomega.Equal(one.Records))
		var out bytes.Buffer
		g.Expect(WriteAll(&out, one)).To(gomega.Succeed())
		mean, peak := loadOf(one)
		g.Expect(mean).To(gomega.BeNumerically("<", 0.75))
		g.Expect(peak).To(gomega.BeNumerically(">", 1.3))
	}
}

// loadOf returns the least engine time of all arrivals, and of those in peaks,
// against the time of the runners.
func loadOf(trace *Trace) (mean, peak float64) {
	var peakTime time.Duration
	for _, p := range trace.Header.Peaks {
		peakTime += p.To - p.From
	}
	for _, r := range trace.Records {
		if r.Arrival == nil || r.Arrival.Class != "runner" {
			continue
		}
		work := leastWork(&trace.Header.Deployment, r.Arrival).Seconds()
		mean += work
		if peakOf(trace.Header.Peaks, r.At) >= 0 {
			peak += work
		}
	}
	runners := newBound(trace).capacity / boundSlot.Seconds()
	return mean / runners / trace.end().Seconds(), peak / runners / peakTime.Seconds()
}
