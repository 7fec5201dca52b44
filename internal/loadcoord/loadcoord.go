package loadcoord

import (
	"math"
	"sort"
	"time"

	"cicadaslip/internal/model"
)

// Key identifies a load by its target group and adapter version.
type Key struct {
	Group   string
	Adapter model.AdapterVersion
}

// LoadRequest is a load that waits for its permit.
type LoadRequest struct {
	Key         Key
	Worth       float64       // total worth of the requests that wait for the adapter
	Due         time.Duration // earliest deadline of these requests, on the clock of now
	requestedAt time.Duration // when the load was first added
}

// Params configure the rate limit of a Coordinator.
type Params struct {
	LoadsPerSecond float64 // sustained rate of load starts, limited by the weights store
	Burst          float64 // loads that may start at once after an idle period
}

// Coordinator holds the waiting loads and limits the rate of starts with a token
// bucket. Times are durations since a fixed zero that the caller chooses.
type Coordinator struct {
	params     Params
	waiting    map[Key]LoadRequest
	tokens     float64       // loads that may start now
	refilledAt time.Duration // when tokens was last updated
}

// New returns a coordinator without waiting loads whose token bucket is full.
func New(params Params) *Coordinator {
	return &Coordinator{params: params, waiting: map[Key]LoadRequest{}, tokens: params.Burst}
}

// Add adds a load request. If the load is waiting already, Add replaces its worth
// and deadline but keeps the time of the first request.
func (c *Coordinator) Add(now time.Duration, request LoadRequest) {
	request.requestedAt = now
	if previous, ok := c.waiting[request.Key]; ok {
		request.requestedAt = previous.requestedAt
	}
	c.waiting[request.Key] = request
}

// Remove removes a waiting load.
func (c *Coordinator) Remove(key Key) { delete(c.waiting, key) }

// Len returns the number of waiting loads.
func (c *Coordinator) Len() int { return len(c.waiting) }

// SetRate changes the rate and burst. Accumulated tokens are kept up to the new
// burst.
func (c *Coordinator) SetRate(now time.Duration, params Params) {
	c.refill(now)
	c.params = params
	c.tokens = math.Min(c.tokens, params.Burst)
}

// Tick returns the loads that may start now, the most urgent one first, and
// removes them from the waiting loads.
func (c *Coordinator) Tick(now time.Duration) []Key {
	c.refill(now)
	if c.tokens < 1 || len(c.waiting) == 0 {
		return nil
	}
	requests := c.byUrgency(now)
	var started []Key
	for _, request := range requests {
		if c.tokens < 1 {
			break
		}
		c.tokens--
		delete(c.waiting, request.Key)
		started = append(started, request.Key)
	}
	return started
}

// NextTick returns the time at which the next load may start. It returns ok false
// if no load waits.
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

// refill adds the tokens that have accumulated since the last refill.
func (c *Coordinator) refill(now time.Duration) {
	elapsed := now - c.refilledAt
	c.refilledAt = now
	c.tokens = math.Min(c.params.Burst, c.tokens+elapsed.Seconds()*c.params.LoadsPerSecond)
}

// agingPerSecond is the relative increase of a load's urgency per second of
// waiting. It prevents starvation of loads of low worth.
const agingPerSecond = 0.1

// byUrgency returns the waiting loads, the most urgent one first. Loads whose
// waiting work is overdue come last, because they can only help future requests.
func (c *Coordinator) byUrgency(now time.Duration) []LoadRequest {
	requests := make([]LoadRequest, 0, len(c.waiting))
	for _, request := range c.waiting {
		requests = append(requests, request)
	}
	sort.Slice(requests, func(i, j int) bool {
		a, b := urgency(requests[i], now), urgency(requests[j], now)
		if a != b {
			return a > b
		}
		if requests[i].Key.Group != requests[j].Key.Group {
			return requests[i].Key.Group < requests[j].Key.Group
		}
		return requests[i].Key.Adapter.String() < requests[j].Key.Adapter.String()
	})
	return requests
}

// urgency returns the worth of a load, increased by agingPerSecond, divided by the
// time to its deadline plus one second. It returns 0 after the deadline.
func urgency(request LoadRequest, now time.Duration) float64 {
	remaining := (request.Due - now).Seconds()
	if remaining <= 0 {
		return 0
	}
	agingFactor := 1 + agingPerSecond*(now-request.requestedAt).Seconds()
	return request.Worth * agingFactor / (1 + remaining)
}
