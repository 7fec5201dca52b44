package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Goals of design section 1.3.
const (
	goalStalls   = 0.5  // of the baseline's share of stalled requests
	goalPeak     = 0.9  // of the bound
	goalWait     = 1.2  // p99 with long jobs against without
	goalLatency  = 1.5  // p99 with stragglers against without
	goalShare    = 0.05 // below the share
	medianColumn = "median"
)

// Spread is the median and the worst value of a measure over the seeds.
type Spread struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// Goal is the state of one goal.
type Goal struct {
	Measure string  `json:"measure"`
	Goal    string  `json:"goal"`
	Median  float64 `json:"median"`
	Worst   float64 `json:"worst"`
	// Measured is false if the trace shows nothing of the goal.
	Measured bool `json:"measured"`
	// Met says whether the worst seed meets the goal, MetMedian the median.
	Met       bool `json:"met"`
	MetMedian bool `json:"met_median"`
}

// DeploymentReport sums up all seeds of one deployment.
type DeploymentReport struct {
	Deployment string                       `json:"deployment"`
	Origin     string                       `json:"origin"`
	Seeds      []uint64                     `json:"seeds"`
	Spreads    map[string]map[string]Spread `json:"spreads"` // by variant and measure
	Goals      []Goal                       `json:"goals"`
	Results    []*Compared                  `json:"results"`
}

// higherIsBetter names the measures whose worst value is the least.
var higherIsBetter = map[string]bool{
	BatchEfficiency: true, AnsweredShare: true, AnsweredSlow: true, PeakRatio: true, ShareWindows: true,
}

// Report groups results by deployment, in the order of the results.
func Report(results []*Compared) []*DeploymentReport {
	var reports []*DeploymentReport
	for _, c := range results {
		at := slices.IndexFunc(reports, func(r *DeploymentReport) bool { return r.Deployment == c.Deployment })
		if at < 0 {
			at = len(reports)
			reports = append(reports, &DeploymentReport{
				Deployment: c.Deployment, Origin: c.Origin, Spreads: map[string]map[string]Spread{},
			})
		}
		reports[at].Results = append(reports[at].Results, c)
		reports[at].Seeds = append(reports[at].Seeds, c.Seed)
	}
	for _, r := range reports {
		r.summarise()
	}
	return reports
}

func (r *DeploymentReport) summarise() {
	for _, variant := range Variants() {
		r.Spreads[variant] = map[string]Spread{}
		for _, measure := range measures {
			r.Spreads[variant][measure] = spread(r.values(variant, measure), higherIsBetter[measure])
		}
	}
	var stalls, waits []float64
	for _, c := range r.Results {
		p, b := c.Figures[VariantPolicy], c.Figures[VariantBaseline]
		stalls = append(stalls, ratio(p[StallShare], b[StallShare]))
		waits = append(waits, ratio(p[StallShare]*p[StallMean], b[StallShare]*b[StallMean]))
	}
	shares := goal("deviation below the share over 10 s", r.Spreads[VariantPolicy][ShareDeviation], goalShare, false)
	shares.Measured = r.Spreads[VariantPolicy][ShareWindows].Median > 0
	r.Goals = []Goal{
		goal("requests that waited for a load, against the baseline", spread(stalls, false), goalStalls, false),
		goal("time waited for loads, against the baseline", spread(waits, false), goalStalls, false),
		goal("worth at peak demand against the bound", r.Spreads[VariantPolicy][PeakRatio], goalPeak, true),
		goal("p99 wait of short requests with long jobs", r.Spreads[VariantPolicy][WaitP99Ratio], goalWait, false),
		goal("the same of those that need no load", r.Spreads[VariantPolicy][HotWaitP99Ratio], goalWait, false),
		goal("the same outside of peaks", r.Spreads[VariantPolicy][QuietWaitP99Ratio], goalWait, false),
		goal("p99 latency with stragglers", r.Spreads[VariantPolicy][LatencyP99Ratio], goalLatency, false),
		shares,
	}
}

func (r *DeploymentReport) values(variant, measure string) []float64 {
	var values []float64
	for _, c := range r.Results {
		values = append(values, c.Figures[variant][measure])
	}
	return values
}

// spread returns the median, of an even number the worse of the middle two, and
// the worst value.
func spread(values []float64, higher bool) Spread {
	sorted := slices.Sorted(slices.Values(values))
	if higher {
		return Spread{Median: sorted[(len(sorted)-1)/2], Worst: sorted[0]}
	}
	return Spread{Median: sorted[len(sorted)/2], Worst: sorted[len(sorted)-1]}
}

func goal(measure string, s Spread, limit float64, higher bool) Goal {
	g := Goal{Measure: measure, Median: s.Median, Worst: s.Worst, Measured: s.Worst > 0}
	if higher {
		g.Goal = fmt.Sprintf("at least %.2f", limit)
		g.Met, g.MetMedian = s.Worst >= limit, s.Median >= limit
	} else {
		g.Goal = fmt.Sprintf("at most %.2f", limit)
		g.Met, g.MetMedian = s.Worst <= limit, s.Median <= limit
	}
	return g
}

// measures in the order of the table.
var measures = []string{
	StallShare, StallMean, StallP99, LoadsStarted, BatchEfficiency,
	PeakRatio, PeakOffered, PeakLostLate, PeakLostLoad, PeakLostOther, AnsweredShare,
	WaitP50, WaitP99, WaitP50NoLong, WaitP99NoLong, WaitP99Ratio, HotWaitP99, HotWaitP99NoLong, HotWaitP99Ratio,
	QuietWaitP99, QuietWaitP99NoLong, QuietWaitP99Ratio,
	LatencyP99, LatencyP999, LatencyP99Slow, LatencyP999Slow, LatencyP99Ratio, LatencyP999Ratio, AnsweredSlow, Hedges,
	ShareDeviation, ShareWindows, Violations, EveryRequest,
}

// WriteTable writes the reports as text.
func WriteTable(w io.Writer, reports []*DeploymentReport) error {
	for _, r := range reports {
		if _, err := fmt.Fprintf(w, "%s (%s trace, seeds %v)\n", r.Deployment, r.Origin, r.Seeds); err != nil {
			return err
		}
		if err := r.writeMeasures(w); err != nil {
			return err
		}
		if err := r.writeGoals(w); err != nil {
			return err
		}
	}
	return nil
}

func (r *DeploymentReport) writeMeasures(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "measure\tpolicy %s\tworst\tbaseline %s\tworst\n", medianColumn, medianColumn)
	for _, m := range measures {
		p, b := r.Spreads[VariantPolicy][m], r.Spreads[VariantBaseline][m]
		_, _ = fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%.4g\n", m, p.Median, p.Worst, b.Median, b.Worst)
	}
	return t.Flush()
}

func (r *DeploymentReport) writeGoals(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "goal\tlimit\tmedian\tworst\tmedian meets it\tevery seed meets it")
	for _, g := range r.Goals {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%s\t%s\n", g.Measure, g.Goal, g.Median, g.Worst, g.verdict(g.MetMedian), g.verdict(g.Met))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, "violations of invariants:", r.violations())
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return err
}

func (r *DeploymentReport) violations() string {
	var found []string
	for _, c := range r.Results {
		for _, variant := range Variants() {
			for _, invariant := range slices.Sorted(maps.Keys(c.Violations[variant])) {
				found = append(found, fmt.Sprintf("seed %d %s %s: %d", c.Seed, variant, invariant, c.Violations[variant][invariant]))
			}
		}
	}
	if len(found) == 0 {
		return "none"
	}
	return strings.Join(found, "; ")
}

func (g Goal) verdict(met bool) string {
	switch {
	case !g.Measured:
		return "not measured"
	case met:
		return "yes"
	}
	return "no"
}
