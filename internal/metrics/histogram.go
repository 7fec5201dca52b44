package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Precision, range and windows of latencies.
const (
	// RotateInterval is the time between calls of Registry.Rotate.
	RotateInterval    = 10 * time.Second
	windowCount       = 6 // each of RotateInterval, so that percentiles cover the last minute
	maxLatency        = 10 * time.Minute
	significantDigits = 2 // 1% precision, about 24 KB per window
)

// Percentiles is the value of a latency metric. All fields but Count are in microseconds.
type Percentiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// histogram is a latency metric over the last windowCount windows. It implements
// expvar.Var.
type histogram struct {
	mu      sync.Mutex
	windows *hdrhistogram.WindowedHistogram
}

func newHistogram() *histogram {
	return &histogram{windows: hdrhistogram.NewWindowed(windowCount, 1, maxLatency.Microseconds(), significantDigits)}
}

// record adds a duration. It counts durations below zero as zero and durations above
// maxLatency as maxLatency.
func (h *histogram) record(duration time.Duration) {
	value := min(max(duration, 0), maxLatency).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.windows.Current.RecordValue(value) // cannot fail, as value is within the range of the histogram
}

func (h *histogram) rotate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.windows.Rotate()
}

func (h *histogram) percentiles() Percentiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	merged := h.windows.Merge()
	return Percentiles{
		Count: merged.TotalCount(), P50: merged.ValueAtQuantile(50), P95: merged.ValueAtQuantile(95),
		P99: merged.ValueAtQuantile(99), P999: merged.ValueAtQuantile(99.9), Max: merged.Max(),
	}
}

// String returns the percentiles as JSON, as expvar.Var requires.
func (h *histogram) String() string {
	text, err := json.Marshal(h.percentiles())
	if err != nil {
		return "{}"
	}
	return string(text)
}
