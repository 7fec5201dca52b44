package runner

import (
	"encoding/json"
	"time"

	"cicadaslip/internal/model"
)

// Faults are the faults in force. Control replaces them as a whole.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"`       // multiplies the token interval; 0 is 1
	Freeze          bool    `json:"freeze"`            // no token is generated
	FailLoads       bool    `json:"fail_loads"`        // loads end with an error
	HangLoads       bool    `json:"hang_loads"`        // loads never end
	CutAtToken      int     `json:"cut_at_token"`      // cuts streams after this many tokens of the answer
	CutTimes        int     `json:"cut_times"`         // streams to cut; 0 cuts all
	CutCleanly      bool    `json:"cut_cleanly"`       // a cut stream ends as valid HTTP without its last chunk
	SilentAtToken   int     `json:"silent_at_token"`   // connections go silent after this many tokens
	SilentTimes     int     `json:"silent_times"`      // streams that go silent; 0 makes all silent
	CrossedRequest  bool    `json:"crossed_request"`   // answers name another request
	CrossedAdapter  bool    `json:"crossed_adapter"`   // answers come from another adapter
	WrongVersion    bool    `json:"wrong_version"`     // answers come from another version
	DuplicateChunks bool    `json:"duplicate_chunks"`  // each chunk is sent twice
	LateMS          int     `json:"late_ms"`           // whole answers and last chunks are held back
	DropCacheEvents bool    `json:"drop_cache_events"` // prefix cache events have gaps
	RefuseStreams   bool    `json:"refuse_streams"`    // resumption is refused
}

// LogEntry is one thing that the runner did.
type LogEntry struct {
	At      time.Time            `json:"at"`
	Event   string               `json:"event"` // started, finished, cancelled, refused, load, evict, ...
	Request model.RequestID      `json:"request,omitempty"`
	Adapter model.AdapterVersion `json:"adapter"`
	Prompt  string               `json:"prompt,omitempty"`
	Tokens  int                  `json:"tokens,omitempty"`
	Token   uint64               `json:"fencing_token,omitempty"`
	Detail  string               `json:"detail,omitempty"`
}

// Events of LogEntry.
const (
	EventStarted   = "started"
	EventFinished  = "finished"
	EventCancelled = "cancelled"
	EventRefused   = "refused"
	EventLoaded    = "loaded"
	EventEvicted   = "evicted"
	EventViolation = "violation" // an adapter was evicted while it served a request
	EventRestart   = "restart"
)

// SetFaults replaces the faults in force.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	r.changed.Broadcast()
}

// Log returns everything that the runner did, oldest first.
func (r *Runner) Log() []LogEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]LogEntry(nil), r.log...)
}

// Violations returns the log entries of evictions under a running request.
func (r *Runner) Violations() []LogEntry {
	var found []LogEntry
	for _, e := range r.Log() {
		if e.Event == EventViolation {
			found = append(found, e)
		}
	}
	return found
}

// Restart empties the runner as a crash does: streams are cut, slots are empty
// and the instance id changes.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		j.stop(stateCut)
	}
	r.jobs = map[model.RequestID]*job{}
	r.waiting = nil
	r.finished = nil
	r.running = 0
	r.slots = map[model.AdapterVersion]*slot{}
	r.cache.reset()
	r.newInstance()
	r.record(LogEntry{Event: EventRestart, Detail: r.instance})
	r.changed.Broadcast()
}

// Silence makes all open connections silent for ever. New ones work.
func (r *Runner) Silence() { r.conns.SilenceAll() }

func (r *Runner) record(e LogEntry) {
	e.At = time.Now()
	if len(r.log) < logLimit {
		r.log = append(r.log, e)
	}
}

func decodeFaults(body []byte) (Faults, error) {
	var f Faults
	err := json.Unmarshal(body, &f)
	return f, err
}
