package loadcoord

import (
	"math"
	"sort"
	"time"

	"cicadaslip/internal/model"
)

// Key identifies a waiting load.
type Key struct {
	Group   string
	Adapter model.AdapterVersion
}

// Ask is a load that waits for its permit.
type Ask struct {
	Key   Key
	Worth float64       // of the requests that wait for the adapter
	Due   time.Duration // when the earliest of them is due, same clock as now
	asked time.Duration
}

// Params set the rate.
type Params struct {
	LoadsPerSecond float64 // rate of the weights store
	Burst          float64 // loads that may start at once after a quiet time
}

// Coordinator is the table of waiting loads and the rate's token bucket.
type Coordinator struct {
	params  Params
	waiting map[Key]Ask
	tokens  float64
	updated time.Duration
}

// New returns an empty coordinator whose bucket is full.
func New(params Params) *Coordinator {
	return &Coordinator{params: params, waiting: map[Key]Ask{}, tokens: params.Burst}
}

// Add enters a load or replaces its worth and deadline.
func (c *Coordinator) Add(now time.Duration, ask Ask) {
	ask.asked = now
	if former, ok := c.waiting[ask.Key]; ok {
		ask.asked = former.asked
	}
	c.waiting[ask.Key] = ask
}

// Remove withdraws a load.
func (c *Coordinator) Remove(key Key) { delete(c.waiting, key) }

// Len returns the number of waiting loads.
func (c *Coordinator) Len() int { return len(c.waiting) }

// SetRate changes the rate. Saved tokens are kept up to the new burst.
func (c *Coordinator) SetRate(now time.Duration, params Params) {
	c.refill(now)
	c.params = params
	c.tokens = math.Min(c.tokens, params.Burst)
}

// Tick returns the loads that may start now, the most urgent first.
func (c *Coordinator) Tick(now time.Duration) []Key {
	c.refill(now)
	if c.tokens < 1 || len(c.waiting) == 0 {
		return nil
	}
	order := c.ordered(now)
	var started []Key
	for _, ask := range order {
		if c.tokens < 1 {
			break
		}
		c.tokens--
		delete(c.waiting, ask.Key)
		started = append(started, ask.Key)
	}
	return started
}

// NextTick returns when the next load may start, or ok false if none waits.
func (c *Coordinator) NextTick(now time.Duration) (next time.Duration, ok bool) {
	if len(c.waiting) == 0 {
		return 0, false
	}
	c.refill(now)
	if c.tokens >= 1 {
		return now, true
	}
	return now + time.Duration((1-c.tokens)/c.params.LoadsPerSecond*float64(time.Second)) + time.Microsecond, true
}

func (c *Coordinator) refill(now time.Duration) {
	elapsed := now - c.updated
	c.updated = now
	c.tokens = math.Min(c.params.Burst, c.tokens+elapsed.Seconds()*c.params.LoadsPerSecond)
}

// agingPerSecond raises the urgency of a waiting load, so that a load of low
// worth is not passed over without end.
const agingPerSecond = 0.1

// ordered returns the waiting loads by worth per remaining time. A load whose
// waiting work is overdue comes last: it can only help requests of the future.
func (c *Coordinator) ordered(now time.Duration) []Ask {
	asks := make([]Ask, 0, len(c.waiting))
	for _, ask := range c.waiting {
		asks = append(asks, ask)
	}
	sort.Slice(asks, func(i, j int) bool {
		a, b := urgency(asks[i], now), urgency(asks[j], now)
		if a != b {
			return a > b
		}
		if asks[i].Key.Group != asks[j].Key.Group {
			return asks[i].Key.Group < asks[j].Key.Group
		}
		return asks[i].Key.Adapter.String() < asks[j].Key.Adapter.String()
	})
	return asks
}

func urgency(ask Ask, now time.Duration) float64 {
	left := (ask.Due - now).Seconds()
	if left <= 0 {
		return 0
	}
	aged := 1 + agingPerSecond*(now-ask.asked).Seconds()
	return ask.Worth * aged / (1 + left)
}
