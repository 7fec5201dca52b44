package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Overlap is the time for which two targets may work on one stream. The first one is left then, also
// if the second one has not answered.
const Overlap = 300 * time.Millisecond

const (
	// tailSteps is the resolution of tail, in parts of a median. Its tailSlots reach twice as far as
	// the latest time at which a second attempt usually ends.
	tailSteps, tailSlots = 8, 64
	// minTail is the number of attempts that took longer than one that would be left, from which is
	// judged whether to leave it.
	minTail = 5
)

// latencies are those of requests of similar size, in thousandths of the expected ones.
type latencies struct {
	all, left  *hdrhistogram.WindowedHistogram // left: of the attempts that were left without an answer
	rotatedAt  time.Duration
	derivedAt  time.Duration
	derived    bool
	median     float64 // as of derivedAt, 0 if unknown
	delay      float64 // after which an attempt has taken longer than most, likewise
	allTail    [tailSlots]int64
	leftInTail [tailSlots]int64
}

func newLatencies() *latencies {
	return &latencies{
		all:  hdrhistogram.NewWindowed(sampleWindows, 1, maxRelative, 2),
		left: hdrhistogram.NewWindowed(sampleWindows, 1, maxRelative, 2),
	}
}

// observe records an attempt that has answered after a time, or that was left then.
func (l *latencies) observe(now time.Duration, relative float64, answered bool) {
	l.rotate(now)
	value := int64(min(max(1, relative), maxRelative))
	_ = l.all.Current.RecordValue(value) // cannot fail, as the value is within the range
	if !answered {
		_ = l.left.Current.RecordValue(value) // likewise
	}
}

// rotate forgets the oldest latencies.
func (l *latencies) rotate(now time.Duration) {
	for n := 0; now-l.rotatedAt >= sampleTime; n++ {
		if n == sampleWindows {
			l.rotatedAt = now
			return
		}
		l.all.Rotate()
		l.left.Rotate()
		l.rotatedAt += sampleTime
	}
}

// derive derives the delay from the latencies, at most once in refreshTime.
func (l *latencies) derive(now time.Duration, limit float64) {
	if l.derived && now-l.derivedAt < refreshTime {
		return
	}
	l.rotate(now)
	l.derived, l.derivedAt, l.median, l.delay = true, now, 0, 0
	all := l.all.Merge()
	if all.TotalCount() < minSamples {
		return
	}
	median := all.ValueAtQuantile(50)
	quantile := all.ValueAtQuantile(min(max(100*(1-limit), minQuantile), maxQuantile))
	l.median = float64(median)
	l.delay = float64(min(max(quantile, minMedians*median/medianUnit), maxMedians*median/medianUnit))
	l.allTail, l.leftInTail = l.tail(all), l.tail(l.left.Merge())
}

// tail counts the values of a histogram by the parts of the median that they take. The last slot
// counts all beyond.
func (l *latencies) tail(h *hdrhistogram.Histogram) (counts [tailSlots]int64) {
	for _, bar := range h.Distribution() {
		if bar.Count > 0 {
			counts[l.slot(float64(bar.From))] += bar.Count
		}
	}
	return counts
}

func (l *latencies) slot(relative float64) int {
	return int(min(tailSteps*relative/l.median, tailSlots-1))
}

// leaveDelay returns the delay of a second attempt that makes the first one be left after a further
// overlap, before the second one usually answers. Of the attempts that had not answered by then, at
// least half must have taken longer than the second one usually would. It returns 0 if there is no
// such delay, or if that is not known.
func (l *latencies) leaveDelay(overlap float64) float64 {
	for delay := l.delay; delay <= maxMedians*l.median/medianUnit; delay += l.median / tailSteps {
		var answered, longer int64
		left, usual := l.slot(delay+overlap), l.slot(delay+l.median)
		for i := left + 1; i < tailSlots; i++ {
			if i > usual {
				longer += l.allTail[i]
			} else {
				answered += l.allTail[i] - l.leftInTail[i]
			}
		}
		if longer >= answered && longer+answered >= minTail {
			return delay
		}
	}
	return 0
}
