package engine

import (
	"net/http"
	"strconv"
	"time"
)

// Arrival is a request of a caller, an order or a request for a report that has reached the
// target.
type Arrival struct {
	ID          string      // of a request of a caller
	Header      http.Header // likewise
	Order       bool
	At          time.Time
	TurnedAway  bool
	AnsweredAt  time.Time     // if it was turned away
	Pause       time.Duration // stated in Retry-After, 0 if none
	Misdirected bool          // refused with status 421
}

// turnedAway tells which requests the target turns away as not run.
type turnedAway struct {
	until  time.Time // all requests before, with the time that is left as Retry-After
	left   int       // further ones, negative for all
	values []string  // of their Retry-After
}

// PauseCallers makes the target turn away all requests for a time: 503 with the rest of that
// time as Retry-After. A later call replaces it; 0 ends it.
func (t *Target) PauseCallers(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turned = turnedAway{until: time.Now().Add(d)}
}

// TurnAway makes the target turn away a number of requests, all if it is negative: 503 with
// the given values of Retry-After.
func (t *Target) TurnAway(requests int, retryAfter ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turned = turnedAway{left: requests, values: retryAfter}
}

// Arrivals returns all requests of callers that have reached the target, in order.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	arrivals := make([]Arrival, 0, len(t.arrivals))
	for _, a := range t.arrivals {
		arrivals = append(arrivals, *a)
	}
	return arrivals
}

// take returns the values of Retry-After with which the target turns a request away.
func (w *turnedAway) take(now time.Time) (values []string, turned bool) {
	if left := w.until.Sub(now); left > 0 {
		return []string{strconv.FormatFloat(left.Seconds(), 'f', 3, 64)}, true
	}
	if w.left == 0 {
		return nil, false
	}
	if w.left > 0 {
		w.left--
	}
	return w.values, true
}

// TurnAwayCalls is like TurnAway for orders and requests for reports.
func (t *Target) TurnAwayCalls(calls int, retryAfter ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusing = turnedAway{left: calls, values: retryAfter}
}

// Calls returns all orders and requests for reports that have reached the target, in order.
func (t *Target) Calls() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.calls...)
}

// arrive returns the record of what has reached the target, and the values of Retry-After if
// it is turned away.
func (w *turnedAway) arrive() (arrival Arrival, values []string) {
	arrival.At = time.Now()
	if values, arrival.TurnedAway = w.take(arrival.At); !arrival.TurnedAway {
		return arrival, nil
	}
	arrival.AnsweredAt = time.Now()
	if len(values) == 1 {
		if seconds, err := strconv.ParseFloat(values[0], 64); err == nil {
			arrival.Pause = time.Duration(seconds * float64(time.Second))
		}
	}
	return arrival, values
}

// turnAwayCall records the arrival of an order or of a request for a report. It reports whether
// it has turned it away.
func (t *Target) turnAwayCall(w http.ResponseWriter, path string) bool {
	t.mu.Lock()
	arrival, values := t.refusing.arrive()
	arrival.Order = path == orderPath
	t.calls = append(t.calls, arrival)
	t.mu.Unlock()
	if !arrival.TurnedAway {
		return false
	}
	for _, value := range values {
		w.Header().Add("Retry-After", value)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// noteMisdirected records that a request was refused with status 421.
func (t *Target) noteMisdirected(a *Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.Misdirected = true
}

// turnAway records the arrival of a request. It reports whether it has turned the request away.
func (t *Target) turnAway(w http.ResponseWriter, r *http.Request) (*Arrival, bool) {
	t.mu.Lock()
	recorded, values := t.turned.arrive()
	recorded.ID, recorded.Header = r.Header.Get("X-Request-Id"), r.Header.Clone()
	arrival := &recorded
	t.arrivals = append(t.arrivals, arrival)
	t.mu.Unlock()
	if !arrival.TurnedAway {
		return arrival, false
	}
	for _, value := range values {
		w.Header().Add("Retry-After", value)
	}
	notRun(w, r, http.StatusServiceUnavailable)
	return arrival, true
}
