package timeline

import (
	"strings"
	"sync"
	"time"

	"cicadaslip/internal/model"
)

// MaxDetailBytes limits the length of Event.Detail, and so the memory of a ring and the
// size of an answer. Record truncates longer details.
const MaxDetailBytes = 256

// Ring keeps the newest events of this process. It is safe for concurrent use.
type Ring struct {
	vm    string
	clock *Clock
	mu    sync.Mutex
	slots []Event
	count uint64 // events recorded since the process started
}

// NewRing returns a ring that keeps up to capacity events, at least one, of a VM.
func NewRing(capacity int, vm string, clock *Clock) *Ring {
	return &Ring{vm: vm, clock: clock, slots: make([]Event, max(capacity, 1))}
}

// Record sets the stamp and the VM of an event and adds it to the ring. A full ring
// overwrites its oldest event.
func (r *Ring) Record(event Event) {
	event.Detail = event.Detail[:min(len(event.Detail), MaxDetailBytes)]
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock, so that the ring is in stamp order.
	event.Stamp, event.VM = r.clock.Now(), r.vm
	r.slots[r.count%uint64(len(r.slots))] = event
	r.count++
}

// Overwritten returns the number of events overwritten since the process started.
func (r *Ring) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overwrittenLocked()
}

// overwrittenLocked is Overwritten for callers that hold r.mu.
func (r *Ring) overwrittenLocked() uint64 {
	if size := uint64(len(r.slots)); r.count > size {
		return r.count - size
	}
	return 0
}

// Filter selects events. An empty field matches all events.
type Filter struct {
	Request      model.RequestID
	Target       string
	Organisation string
	Group        string
	From         time.Time // inclusive
	Until        time.Time // exclusive
	Limit        int       // maximum number of events, the newest ones; no limit if not positive
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

// matchesRequest reports whether id is the filter's request or one of its attempts, whose
// ids are the id of the request followed by a full stop and a suffix.
func (f Filter) matchesRequest(id model.RequestID) bool {
	return id == f.Request || strings.HasPrefix(string(id), string(f.Request)+".")
}

// Answer is the answer of one process to a query of the timeline.
type Answer struct {
	Process     string // VM name, or the address of a process that did not answer
	Events      []Event
	Overwritten uint64 // events overwritten in the ring since the process started
	Omitted     int    // matching events left out because of Filter.Limit
	NoAnswer    bool   // the process did not answer
}

// Select returns the events that match a filter, the oldest first.
func (r *Ring) Select(filter Filter) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := Answer{Process: r.vm}
	first := r.overwrittenLocked()
	answer.Overwritten = first
	for i := first; i < r.count; i++ {
		if event := r.slots[i%uint64(len(r.slots))]; filter.matches(event) {
			answer.Events = append(answer.Events, event)
		}
	}
	answer.Events, answer.Omitted = newestEvents(answer.Events, filter.Limit)
	return answer
}

// newestEvents returns the last limit events and the number of events left out. It
// returns all events if limit is not positive.
func newestEvents(events []Event, limit int) ([]Event, int) {
	if limit <= 0 || len(events) <= limit {
		return events, 0
	}
	omitted := len(events) - limit
	return events[omitted:], omitted
}
