package replay

import (
	"context"
	"slices"
	"sync"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// Names of the compared variants.
const (
	VariantPolicy   = "policy"
	VariantBaseline = "baseline"
)

// Variants lists the compared variants.
func Variants() []string { return []string{VariantPolicy, VariantBaseline} }

func optionsOf(variant string, policies core.Policies, seed uint64) Options {
	if variant == VariantBaseline {
		return Options{Baseline: true, Seed: seed}
	}
	return Options{Params: core.Params{Policies: policies}, Seed: seed}
}

// Compared is the result of one trace: the figures by variant, and what the
// checker found.
type Compared struct {
	Deployment string             `json:"deployment"`
	Seed       uint64             `json:"seed"`
	Origin     string             `json:"origin"`
	Figures    map[string]Figures `json:"figures"`
	// Violations counts by variant and invariant; only violated ones are present.
	Violations map[string]map[string]int `json:"violations"`
	Details    []string                  `json:"details,omitempty"`
}

// Compare runs all variants on one trace: as it is, without its long jobs and
// with stragglers.
func Compare(trace *Trace, policies core.Policies, seed uint64) *Compared {
	c := &Compared{
		Deployment: trace.Header.Deployment.Name, Seed: seed, Origin: trace.Header.Origin,
		Figures: map[string]Figures{}, Violations: map[string]map[string]int{},
	}
	bound := upperBound(trace)
	noLong, slow := trace.withoutLong(), trace.withStragglers(seed)
	for _, variant := range Variants() {
		options := optionsOf(variant, policies, seed)
		whole, short, straggling := run(trace, options), run(noLong, options), run(slow, options)
		f := measureRun(whole, bound)
		f.addNoLong(summarise(short))
		f.addStraggler(summarise(straggling))
		f[Hedges] = float64(straggling.hedges)
		c.Violations[variant] = map[string]int{}
		f[Violations] = 0
		for _, w := range []*world{whole, short, straggling} {
			for invariant, n := range w.checker.counts {
				c.Violations[variant][invariant] += n
				f[Violations] += float64(n)
			}
			for _, detail := range w.checker.details {
				c.Details = append(c.Details, variant+": "+detail)
			}
		}
		c.Figures[variant] = f
	}
	return c
}

func (f Figures) addNoLong(s *summary) {
	f[WaitP50NoLong], f[WaitP99NoLong] = quantile(s.wait, 50), quantile(s.wait, 99)
	f[WaitP99Ratio] = ratio(f[WaitP99], f[WaitP99NoLong])
	f[HotWaitP99NoLong] = quantile(s.hotWait, 99)
	f[QuietWaitP99NoLong] = quantile(s.quietWait, 99)
	f[QuietWaitP99Ratio] = ratio(f[QuietWaitP99], f[QuietWaitP99NoLong])
	f[HotWaitP99Ratio] = ratio(f[HotWaitP99], f[HotWaitP99NoLong])
}

func (f Figures) addStraggler(s *summary) {
	f[LatencyP99Slow], f[LatencyP999Slow] = quantile(s.latency, 99), quantile(s.latency, 99.9)
	f[LatencyP99Ratio] = ratio(f[LatencyP99Slow], f[LatencyP99])
	f[LatencyP999Ratio] = ratio(f[LatencyP999Slow], f[LatencyP999])
	f[AnsweredSlow] = ratio(float64(s.answered), float64(s.measured))
}

// MaxWorkers bounds the runs at the same time.
const MaxWorkers = 6

// task is one trace with one seed of the runs.
type task struct {
	trace func() (*Trace, *errs.Error)
	seed  uint64
}

// MeasureSynthetic compares the variants on generated traces of the deployments,
// several seeds at the same time. The order of the results and the figures do
// not depend on the number of workers. Error codes: invalid_request for an
// unknown deployment, cancelled when ctx ends.
func MeasureSynthetic(ctx context.Context, deployments []string, policies core.Policies, seeds []uint64, workers int) ([]*Compared, error) {
	var tasks []task
	for _, d := range deployments {
		if _, err := profileOf(d); err != nil {
			return nil, err
		}
		for _, s := range seeds {
			tasks = append(tasks, task{trace: func() (*Trace, *errs.Error) { return Generate(d, s) }, seed: s})
		}
	}
	return compareAll(ctx, tasks, policies, workers)
}

// MeasureTrace compares the variants on one trace with several seeds. Error
// code: cancelled when ctx ends.
func MeasureTrace(ctx context.Context, trace *Trace, policies core.Policies, seeds []uint64, workers int) ([]*Compared, error) {
	var tasks []task
	for _, s := range seeds {
		tasks = append(tasks, task{trace: func() (*Trace, *errs.Error) { return trace, nil }, seed: s})
	}
	return compareAll(ctx, tasks, policies, workers)
}

func compareAll(ctx context.Context, tasks []task, policies core.Policies, workers int) ([]*Compared, error) {
	results := make([]*Compared, len(tasks))
	next := make(chan int)
	var running sync.WaitGroup
	for range min(max(1, workers), MaxWorkers) {
		running.Go(func() {
			for i := range next {
				if trace, err := tasks[i].trace(); err == nil {
					results[i] = Compare(trace, policies, tasks[i].seed)
				}
			}
		})
	}
	for i := range tasks {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	running.Wait()
	if slices.Contains(results, nil) {
		return nil, errs.New(errs.Cancelled, "the measurement was stopped")
	}
	return results, nil
}
