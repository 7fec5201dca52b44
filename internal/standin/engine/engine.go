package engine

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cicadaslip/internal/standin/loopback"
	"cicadaslip/internal/standin/metastore"
)

// Fault is how the next answers are spoilt.
type Fault string

// Faults.
const (
	None     Fault = ""
	Failing  Fault = "failing"  // 500 with a signature
	Full     Fault = "full"     // refused as not run
	Reset    Fault = "reset"    // runs, and the connection is reset
	Cut      Fault = "cut"      // the stream or body ends half way
	Mute     Fault = "mute"     // runs and says nothing
	Unsigned Fault = "unsigned" // no signature
	Foreign  Fault = "foreign"  // names another request
	Garbage  Fault = "garbage"  // no HTTP
	Extra    Fault = "extra"    // a second answer behind the first
	Repeated Fault = "repeated" // an earlier refusal once more before the answer
)

// Run is one request that the target has begun to work on.
type Run struct {
	ID      string
	At      time.Time
	Header  http.Header
	Method  string
	URI     string
	Body    string
	Adapter string
	Version int64
	After   int64 // event after which a stream was resumed
	// EventBytes is the length of the data of each event, the usual one if it is 0.
	EventBytes int
	Fault      Fault   // that spoilt the answer
	Limit      float64 // requests per second that the answer names, 0 for none
	Leaving    bool    // the answer says that the target leaves
	Finished   bool
	EndedAt    time.Time // zero while the target works on it
	Dropped    bool      // the connection ended before
}

// Settings of a target.
type Settings struct {
	ID       string
	Service  string
	Zone     string
	Model    string // empty for plain services
	Slots    int
	Adapters int           // places
	Events   int           // of a stream
	Pause    time.Duration // between events, and the work of a plain request
	Load     time.Duration // of an adapter
	NoFences bool          // orders with an older fencing token are carried out
	// HeadFirst sends the heads of streams before the first event.
	HeadFirst bool
	Address   string // default: a free port of loopback
	// Listed is the address in the target's description, Address by default. A proxy listens there.
	Listed string
	// RateLimit is named in each answer, in requests per second, 0 for none.
	RateLimit float64
	// AnswerBytes is the length of the answers to plain requests, their usual one if it is 0.
	AnswerBytes int
	// Unread is how long nothing of a request's body is read. The bodies are then discarded.
	Unread time.Duration
	// DeadlyPart crashes the target when it begins to answer a prompt with this part.
	DeadlyPart string
}

// Target is the stand-in. It is safe for concurrent use.
type Target struct {
	Settings Settings
	store    *metastore.Store
	listener net.Listener
	server   *http.Server
	born     int64
	quiet    silence
	beating  sync.Mutex // keeps descriptions in order

	mu              sync.Mutex
	fault           Fault
	left            int // answers that the fault spoils, negative for all
	runs            []*Run
	held            map[string]*held
	sequence        int64
	fence           int64
	holders         []string // of accepted orders, in order
	received        []ReceivedOrder
	beats           int64
	leaving         bool
	reportedLeaving time.Time // zero while the store has not acknowledged it
	limit           float64   // named in each answer
	ended           time.Time
	overfull        bool
	said            []string // values of Server-Leaving in each answer
	turned          turnedAway
	arrivals        []*Arrival
	refusing        turnedAway // orders and requests for reports
	calls           []Arrival
	newest          map[string]int64
	loseNext        int // orders that get no answer
}

// ReceivedOrder is an order that has arrived, also if it was refused.
type ReceivedOrder struct {
	At     time.Time
	Holder string
	Token  int64
}

type held struct {
	ready   time.Time
	version int64
}

// Start starts a target and enters it into the store.
func Start(s Settings, store *metastore.Store) (*Target, error) {
	if s.Address == "" {
		var err error
		if s.Address, err = loopback.Reserve(); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	t := &Target{
		Settings: s, store: store, listener: l, born: time.Now().UnixMilli(), limit: s.RateLimit, held: map[string]*held{}, newest: map[string]int64{},
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(l) }()
	return t, t.Beat()
}

// Beat writes the description of the target to the store.
func (t *Target) Beat() error {
	t.beating.Lock()
	defer t.beating.Unlock()
	t.mu.Lock()
	t.beats++
	spec := map[string]any{
		"service": t.Settings.Service, "address": cmp.Or(t.Settings.Listed, t.Settings.Address), "zone": t.Settings.Zone, "version": "v1",
		"slots": t.Settings.Slots, "state": "ready", "sequence": t.beats, "cold_remaining_ms": 0, "born": t.born,
	}
	if t.leaving {
		spec["state"] = "draining"
	}
	if t.Settings.Model != "" {
		spec["models"] = []any{t.model()}
	}
	t.mu.Unlock()
	return t.store.Put("servers", t.Settings.ID, spec)
}

// model describes what the target holds. The caller holds the lock.
func (t *Target) model() map[string]any {
	adapters := []string{}
	for name, h := range t.held {
		if !h.ready.After(time.Now()) {
			adapters = append(adapters, fmt.Sprintf("%s@%d", name, h.version))
		}
	}
	return map[string]any{"name": t.Settings.Model, "version": 1, "adapters": adapters}
}

// Hold makes the target hold an adapter without an order.
func (t *Target) Hold(adapter string) error {
	t.mu.Lock()
	t.held[adapter] = &held{ready: time.Now(), version: 1}
	t.mu.Unlock()
	return t.Beat()
}

// Leave makes the target say that it leaves.
func (t *Target) Leave() error {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	if err := t.Beat(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reportedLeaving.IsZero() {
		t.reportedLeaving = time.Now()
	}
	return nil
}

// ReportedLeaving returns the time at which the store had acknowledged that the target leaves,
// zero if it has not.
func (t *Target) ReportedLeaving() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportedLeaving
}

// SayLeaving makes all further answers of the target state that it leaves, without a word to
// the store. Other values than "1" state nothing.
func (t *Target) SayLeaving(values ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.said = values
}

// NameLimit makes all further answers name a limit in requests per second, none if it is 0.
func (t *Target) NameLimit(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = rate
}

// Crash ends the target and all its connections.
func (t *Target) Crash() {
	t.mu.Lock()
	if t.ended.IsZero() {
		t.ended = time.Now()
	}
	t.mu.Unlock()
	_ = t.server.Close()
}

// End ends the target once it has answered what it has, at the latest after a time.
func (t *Target) End(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = t.server.Shutdown(ctx) // what is left then is broken off
	t.Crash()
}

// EndedAt returns the time at which the target broke its connections off, zero if it has not.
func (t *Target) EndedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// SetFault spoils a number of answers, all if it is negative.
func (t *Target) SetFault(f Fault, answers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.left = f, answers
}

// LoseOrders carries a number of orders out without an answer.
func (t *Target) LoseOrders(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseNext = n
}

// Announce tells the newest version of an adapter, which later loads fetch.
func (t *Target) Announce(adapter string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest[adapter] = version
}

// Runs returns the requests that the target has run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Holders returns the holders of the accepted orders, in order.
func (t *Target) Holders() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.holders...)
}

// ReceivedOrders returns all orders that have arrived, in order.
func (t *Target) ReceivedOrders() []ReceivedOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]ReceivedOrder(nil), t.received...)
}

// Overfull reports whether the target was ordered over its places.
func (t *Target) Overfull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overfull
}

// take returns the fault of the next answer.
func (t *Target) take() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left == 0 {
		return None
	}
	if t.left > 0 {
		t.left--
	}
	return t.fault
}
