package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadaslip/internal/model"
)

// Names of the measures in reports and in files of expected outcomes. Shares
// and ratios have no unit, times are in seconds.
const (
	StallShare         = "stall_share"        // of the measured runner requests, waited for a load
	StallMean          = "stall_mean_s"       // mean wait for a load of those
	StallP99           = "stall_p99_s"        // of those
	BatchEfficiency    = "batch_efficiency"   // tokens per step used against possible
	LoadsStarted       = "loads_started"      // in the whole run
	AnsweredShare      = "answered_share"     // whole and in time, of the measured requests
	PeakRatio          = "peak_worth_ratio"   // worth answered whole and in time against the bound
	PeakOffered        = "peak_offered_ratio" // worth offered against the bound
	PeakLostLate       = "peak_lost_late"     // of the worth offered: answered, but late
	PeakLostLoad       = "peak_lost_load"     // of the worth offered: refused or failed after a wait for a load
	PeakLostOther      = "peak_lost_other"    // of the worth offered: refused or failed otherwise
	WaitP50            = "short_wait_p50_s"   // arrival to the start on the target
	WaitP99            = "short_wait_p99_s"   //
	WaitP50NoLong      = "short_wait_p50_no_long_s"
	WaitP99NoLong      = "short_wait_p99_no_long_s"
	WaitP99Ratio       = "short_wait_p99_ratio"
	HotWaitP99         = "hot_wait_p99_s"         // as short_wait_p99_s, without requests that waited for a load
	HotWaitP99NoLong   = "hot_wait_p99_no_long_s" //
	HotWaitP99Ratio    = "hot_wait_p99_ratio"
	QuietWaitP99       = "quiet_wait_p99_s"         // as hot_wait_p99_s, of arrivals outside of peaks
	QuietWaitP99NoLong = "quiet_wait_p99_no_long_s" //
	QuietWaitP99Ratio  = "quiet_wait_p99_ratio"
	LatencyP99         = "latency_p99_s"  // of short requests, arrival to whole answer at the caller
	LatencyP999        = "latency_p999_s" //
	LatencyP99Slow     = "latency_p99_straggler_s"
	LatencyP999Slow    = "latency_p999_straggler_s"
	LatencyP99Ratio    = "latency_p99_ratio"
	LatencyP999Ratio   = "latency_p999_ratio"
	AnsweredSlow       = "answered_share_straggler"
	ShareDeviation     = "share_deviation" // largest below the share over 10 s, of the share
	ShareWindows       = "share_windows"   // windows in which an organisation demanded its share
	Hedges             = "hedges"          // started, with stragglers
	Violations         = "violations"      // of the invariants in all runs
	EveryRequest       = "requests"        // arrivals in the whole trace
)

// Histograms hold times from 1 us to 10 min with three digits.
const (
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramHighest, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramHighest))
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return (time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond).Seconds()
}

// Figures are the measures of one policy on one trace.
type Figures map[string]float64

// summary is what the measures need of one run.
type summary struct {
	wait, hotWait, quietWait, latency, stall *hdrhistogram.Histogram
	runner, stalled                          int
	measured, answered                       int
	stallTime                                time.Duration
	peakWorth                                float64
	peakOffered                              float64
	lostLate, lostLoad, lostOther            float64
	steps                                    stepCounts
}

// peakEcho is the time after a peak in which its queues still drain.
const peakEcho = 10 * time.Second

// quiet reports whether a time is outside of all peaks and of their echo.
func quiet(peaks []Interval, at time.Duration) bool {
	for _, p := range peaks {
		if at >= p.From && at < p.To+peakEcho {
			return false
		}
	}
	return true
}

// inTime reports whether the caller got its whole answer by the deadline, which
// is counted at the entry VM.
func (r *request) inTime(d *Deployment) bool {
	return r.ok && r.answeredAt-d.ClientDelay <= r.at+r.arrival.Deadline
}

func summarise(w *world) *summary {
	s := &summary{wait: newHistogram(), hotWait: newHistogram(), quietWait: newHistogram(), latency: newHistogram(), stall: newHistogram()}
	peaks := peaksOf(w.trace)
	for _, r := range w.requests {
		if r.at < w.trace.Header.MeasureFrom {
			continue
		}
		s.measured++
		inTime := r.inTime(w.deployment)
		if inTime {
			s.answered++
		}
		if peakOf(peaks, r.at) >= 0 {
			s.peak(r, inTime)
		}
		s.runnerRequest(r, w.deployment, peaks)
	}
	for _, t := range w.order {
		s.steps.tokens += t.steps.tokens
		s.steps.possible += t.steps.possible
	}
	return s
}

// peak enters a request that arrived at peak demand.
func (s *summary) peak(r *request, inTime bool) {
	s.peakOffered += r.arrival.Worth
	switch {
	case inTime:
		s.peakWorth += r.arrival.Worth
	case r.ok:
		s.lostLate += r.arrival.Worth
	case r.stalled:
		s.lostLoad += r.arrival.Worth
	default:
		s.lostOther += r.arrival.Worth
	}
}

func (s *summary) runnerRequest(r *request, d *Deployment, peaks []Interval) {
	if r.arrival.Class != model.ClassRunner {
		return
	}
	s.runner++
	if r.stalled {
		s.stalled++
		s.stallTime += r.stall
		record(s.stall, r.stall)
	}
	if r.ok && !r.arrival.Long {
		record(s.wait, r.wait)
		if !r.stalled {
			record(s.hotWait, r.wait)
			if quiet(peaks, r.at) {
				record(s.quietWait, r.wait)
			}
		}
		record(s.latency, r.answeredAt+d.ClientDelay-r.at)
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// measureRun returns the measures of one run.
func measureRun(w *world, bound float64) Figures {
	s := summarise(w)
	deviation, windows := shareDeviation(w)
	violations := 0
	for _, n := range w.checker.counts {
		violations += n
	}
	return Figures{
		StallShare: ratio(float64(s.stalled), float64(s.runner)), StallP99: quantile(s.stall, 99),
		StallMean:       ratio(s.stallTime.Seconds(), float64(s.stalled)),
		BatchEfficiency: ratio(float64(s.steps.tokens), float64(s.steps.possible)),
		LoadsStarted:    float64(w.loads.started),
		AnsweredShare:   ratio(float64(s.answered), float64(s.measured)),
		PeakRatio:       ratio(s.peakWorth, bound), PeakOffered: ratio(s.peakOffered, bound),
		PeakLostLate: ratio(s.lostLate, s.peakOffered), PeakLostLoad: ratio(s.lostLoad, s.peakOffered),
		PeakLostOther: ratio(s.lostOther, s.peakOffered),
		WaitP50:       quantile(s.wait, 50), WaitP99: quantile(s.wait, 99),
		HotWaitP99: quantile(s.hotWait, 99), QuietWaitP99: quantile(s.quietWait, 99),
		LatencyP99: quantile(s.latency, 99), LatencyP999: quantile(s.latency, 99.9),
		ShareDeviation: deviation, ShareWindows: float64(windows),
		Violations: float64(violations), EveryRequest: float64(len(w.requests)),
	}
}
