package timeline

import (
	"strings"
	"sync"
	"time"

	"cicadaslip/internal/model"
)

// MaxDetailBytes bounds the detail of an event, and so the memory of a ring and
// the size of an answer. The rest is cut off.
const MaxDetailBytes = 256

// Ring keeps the newest events of this process. It is safe for concurrent use.
type Ring struct {
	vm    string
	clock *Clock
	mu    sync.Mutex
	slots []Event
	count uint64 // events recorded since the start
}

// NewRing returns a ring of capacity events (at least one) for a VM.
func NewRing(capacity int, vm string, clock *Clock) *Ring {
	return &Ring{vm: vm, clock: clock, slots: make([]Event, max(capacity, 1))}
}

// Record adds an event with a stamp and the name of this VM. The oldest event
// is overwritten when the ring is full.
func (r *Ring) Record(event Event) {
	event.Detail = event.Detail[:min(len(event.Detail), MaxDetailBytes)]
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock, so that the ring is in stamp order.
	event.Stamp, event.VM = r.clock.Now(), r.vm
	r.slots[r.count%uint64(len(r.slots))] = event
	r.count++
}

// Overwritten returns the number of events that the ring has lost since the start.
func (r *Ring) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overwritten()
}

// overwritten is Overwritten under the lock.
func (r *Ring) overwritten() uint64 {
	if size := uint64(len(r.slots)); r.count > size {
		return r.count - size
	}
	return 0
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Request      model.RequestID
	Target       string
	Organisation string
	Group        string
	From         time.Time // not before
	Until        time.Time // before
	Limit        int       // the newest events only, 0: all
}

// matches reports whether the filter selects the event.
func (f Filter) matches(event Event) bool {
	return (f.Request == "" || f.matchesRequest(event.Request)) &&
		(f.Target == "" || f.Target == event.Target) &&
		(f.Organisation == "" || f.Organisation == event.Organisation) &&
		(f.Group == "" || f.Group == event.Group) &&
		(f.From.IsZero() || event.Stamp.Wall >= f.From.UnixNano()) &&
		(f.Until.IsZero() || event.Stamp.Wall < f.Until.UnixNano())
}

// matchesRequest also selects the attempts of a request, whose ids add suffixes
// after a full stop.
func (f Filter) matchesRequest(id model.RequestID) bool {
	return id == f.Request || strings.HasPrefix(string(id), string(f.Request)+".")
}

// Answer is the part of the timeline that one process has.
type Answer struct {
	Process     string // VM, or the address that was asked
	Events      []Event
	Overwritten uint64 // events that the ring has lost since the start
	Omitted     int    // selected events that Filter.Limit left out
	NoAnswer    bool
}

// Select returns the events that a filter selects, the oldest first.
func (r *Ring) Select(filter Filter) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := Answer{Process: r.vm}
	first := r.overwritten()
	answer.Overwritten = first
	for i := first; i < r.count; i++ {
		if event := r.slots[i%uint64(len(r.slots))]; filter.matches(event) {
			answer.Events = append(answer.Events, event)
		}
	}
	answer.Events, answer.Omitted = newest(answer.Events, filter.Limit)
	return answer
}

func newest(events []Event, limit int) ([]Event, int) {
	if limit <= 0 || len(events) <= limit {
		return events, 0
	}
	omitted := len(events) - limit
	return events[omitted:], omitted
}
