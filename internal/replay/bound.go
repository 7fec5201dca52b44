package replay

import (
	"math"
	"slices"
	"time"

	"cicadaslip/internal/model"
)

// Constants of the search for a low bound. They influence how tight the bound
// is, never its validity.
const (
	boundSlot       = 500 * time.Millisecond
	boundIterations = 800
	boundStep       = 0.1
)

// loadBoundDeadline is the longest deadline of the requests whose adapters the
// bound counts: with longer ones the time in which loads may happen is so long
// that the count bounds nothing.
const loadBoundDeadline = 10 * time.Second

// bound is a relaxation of the problem to answer the requests of the peaks:
//
//	maximise   sum of worth_i x_i
//	subject to sum over slots of work_it = work_i x_i, work only in slots that
//	           touch the time from arrival to deadline      (one request)
//	           sum over requests of work_it <= capacity_t   (one slot of time)
//	           x_i <= y_a,p for requests of adapter a, peak p
//	           sum over adapters of y_a,p <= adapters_p, 0 <= x, y <= 1
//
// Every real schedule is a solution, so that its worth is at most the optimum:
//   - work_i is the least engine time of the request: each token of it shares
//     the step's base time with at most Concurrency others (tokenWork), and its
//     prompt needs at least the tokens outside of all its prefix blocks. The
//     steps of a runner do not overlap, so capacity_t is the slot's length times
//     the number of runners; slow spells, restarts and waits only reduce it.
//   - an adapter that serves a request of a peak was in a slot at the start of
//     the peak (at most all slots of all runners, because a load takes its slot
//     from the order on) or the store started its load by the last deadline (at
//     most the burst plus the rate times that time).
//   - all other work, delays, batch limits and where an adapter is are ignored;
//     calls of plain services count as answered.
//
// By weak duality, for any prices p_t >= 0 of slots and q_p >= 0 of adapters the
// value
//
//	sum capacity_t p_t + sum adapters_p q_p
//	  + sum over (a,p) of max(0, sum over its requests of max(0, worth_i - work_i min p_t) - q_p)
//	  + sum over uncounted requests of max(0, worth_i - work_i min p_t)
//
// is at least that optimum. The search below only looks for prices with a low
// value; the least value that it saw is the bound.
type bound struct {
	items    []boundItem
	sets     [][]int // items by adapter and peak
	setPeak  []int
	free     float64 // worth of service calls
	capacity float64 // of a slot, seconds
	slots    int
	adapters []float64 // by peak
	prices   []float64 // of slots
	fees     []float64 // of adapters, by peak
}

type boundItem struct {
	worth, work float64
	from, to    int // slots
	best        int
	surplus     float64
}

// upperBound returns the bound for the requests that arrive in the peaks.
func upperBound(trace *Trace) float64 {
	b := newBound(trace)
	best := b.free
	for _, item := range b.items {
		best += item.worth
	}
	for k := 1; k <= boundIterations; k++ {
		best = math.Min(best, b.improve(boundStep/math.Sqrt(float64(k))))
	}
	return best
}

// leastWork is the least engine time of a request.
func leastWork(d *Deployment, a *Arrival) time.Duration {
	concurrency := 1
	for _, t := range d.Targets {
		if t.Class == model.ClassRunner {
			concurrency = max(concurrency, t.Concurrency)
		}
	}
	prompt := max(1, a.PromptTokens-len(a.Prefix)*d.Engine.BlockTokens)
	return time.Duration(a.OutputTokens)*tokenWork(d.Engine, concurrency) + time.Duration(prompt)*d.Engine.PerPrompt
}

func newBound(trace *Trace) *bound {
	d := &trace.Header.Deployment
	b := &bound{}
	runnerSlots := 0
	for _, t := range d.Targets {
		if t.Class == model.ClassRunner {
			b.capacity += boundSlot.Seconds()
			runnerSlots += t.Slots
		}
	}
	rate := d.LoadRate
	for _, r := range trace.Records {
		if r.Configuration != nil {
			rate = max(rate, r.Configuration.LoadRate)
		}
	}
	peaks := peaksOf(trace)
	for _, p := range peaks {
		seconds := (p.To - p.From + loadBoundDeadline).Seconds()
		b.adapters = append(b.adapters, float64(runnerSlots+loadBurst)+rate*seconds)
	}
	b.fill(trace, peaks)
	b.prices, b.fees = make([]float64, b.slots), make([]float64, len(peaks))
	return b
}

// peaksOf returns the peaks, or the whole measured time if there are none.
func peaksOf(trace *Trace) []Interval {
	if len(trace.Header.Peaks) > 0 {
		return trace.Header.Peaks
	}
	return []Interval{{From: trace.Header.MeasureFrom, To: trace.end() + 1}}
}

func peakOf(peaks []Interval, at time.Duration) int {
	return slices.IndexFunc(peaks, func(p Interval) bool { return p.contains(at) })
}

func (b *bound) fill(trace *Trace, peaks []Interval) {
	type setKey struct {
		adapter model.AdapterVersion
		peak    int
	}
	index := map[setKey]int{}
	for _, r := range trace.Records {
		if r.Arrival == nil {
			continue
		}
		peak := peakOf(peaks, r.At)
		switch {
		case peak < 0:
			continue
		case r.Arrival.Class == model.ClassService:
			b.free += r.Arrival.Worth
			continue
		}
		item := boundItem{
			worth: r.Arrival.Worth, work: leastWork(&trace.Header.Deployment, r.Arrival).Seconds(),
			from: int(r.At / boundSlot), to: int((r.At + r.Arrival.Deadline) / boundSlot),
		}
		b.slots = max(b.slots, item.to+1)
		b.items = append(b.items, item)
		key := setKey{r.Arrival.adapter(), peak}
		if r.Arrival.Deadline > loadBoundDeadline {
			b.addSet(-1, len(b.items)-1)
			continue
		}
		at, known := index[key]
		if !known {
			at = b.addSet(peak)
			index[key] = at
		}
		b.sets[at] = append(b.sets[at], len(b.items)-1)
	}
}

// addSet adds a set; peak -1 says that its adapter is not counted.
func (b *bound) addSet(peak int, items ...int) int {
	b.sets, b.setPeak = append(b.sets, items), append(b.setPeak, peak)
	return len(b.sets) - 1
}

// improve returns the value at the present prices and moves the prices along
// the subgradient.
func (b *bound) improve(step float64) float64 {
	value := b.free
	for _, price := range b.prices {
		value += b.capacity * price
	}
	used, counted := make([]float64, b.slots), make([]float64, len(b.fees))
	for p, fee := range b.fees {
		value += b.adapters[p] * fee
	}
	var worth, work float64
	for s, items := range b.sets {
		sum, fee := 0.0, 0.0
		for _, i := range items {
			sum += b.price(&b.items[i])
			worth, work = worth+b.items[i].worth, work+b.items[i].work
		}
		if b.setPeak[s] >= 0 {
			fee = b.fees[b.setPeak[s]]
		}
		if sum <= fee {
			continue
		}
		value += sum - fee
		if b.setPeak[s] >= 0 {
			counted[b.setPeak[s]]++
		}
		b.use(items, used)
	}
	b.move(step, used, counted, worth/math.Max(work, 1e-9))
	return value
}

// price finds the cheapest slot of an item and returns its surplus. Among equal
// prices the slots take turns by the item's start, which spreads the use.
func (b *bound) price(item *boundItem) float64 {
	item.best = item.from
	for t := item.from + 1; t <= item.to; t++ {
		if b.prices[t] < b.prices[item.best] {
			item.best = t
		}
	}
	item.surplus = math.Max(0, item.worth-item.work*b.prices[item.best])
	return item.surplus
}

// use enters the work of the items with a surplus, spread over the slots of
// the least price.
func (b *bound) use(items []int, used []float64) {
	for _, i := range items {
		item := &b.items[i]
		if item.surplus <= 0 {
			continue
		}
		limit, ties := b.prices[item.best]+1e-9, 0
		for t := item.from; t <= item.to; t++ {
			if b.prices[t] <= limit {
				ties++
			}
		}
		for t := item.from; t <= item.to; t++ {
			if b.prices[t] <= limit {
				used[t] += item.work / float64(ties)
			}
		}
	}
}

func (b *bound) move(step float64, used, counted []float64, density float64) {
	for t := range b.prices {
		b.prices[t] = math.Max(0, b.prices[t]+step*density*(used[t]/b.capacity-1))
	}
	for p := range b.fees {
		b.fees[p] = math.Max(0, b.fees[p]+step*(counted[p]/b.adapters[p]-1))
	}
}
