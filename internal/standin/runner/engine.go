package runner

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/standin/faultnet"
)

// Runner is a stand-in model engine.
type Runner struct {
	cfg      Config
	mu       sync.Mutex
	changed  *sync.Cond
	instance string
	faults   Faults
	slots    map[model.AdapterVersion]*slot
	jobs     map[model.RequestID]*job
	waiting  []*job
	finished []model.RequestID // oldest first
	running  int
	fence    uint64 // highest fencing token seen
	log      []LogEntry
	reports  []report
	cache    prefixCache
	conns    *faultnet.Listener
	closed   bool
}

type slot struct {
	loaded bool
	failed bool
}

type report struct {
	at               time.Time
	running, waiting int
}

// New returns a runner with empty slots.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:   cfg.withDefaults(),
		slots: map[model.AdapterVersion]*slot{},
		jobs:  map[model.RequestID]*job{},
	}
	r.changed = sync.NewCond(&r.mu)
	r.cache.reset()
	r.newInstance()
	return r
}

func (r *Runner) newInstance() {
	var id [8]byte
	_, _ = rand.Read(id[:])
	r.instance = hex.EncodeToString(id[:])
}

// checkFence refuses an order with an old token if the runner checks tokens.
func (r *Runner) checkFence(token uint64) error {
	if r.cfg.CheckFencing && token < r.fence {
		return errs.New(errs.StaleEpoch, "fencing token is older than one seen before")
	}
	r.fence = max(r.fence, token)
	return nil
}

// observeFence checks the token of a question.
func (r *Runner) observeFence(token uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkFence(token)
}

// Load makes an adapter resident. It waits for the load to end.
func (r *Runner) Load(a model.AdapterVersion, token uint64) error {
	r.mu.Lock()
	if err := r.checkFence(token); err != nil {
		r.mu.Unlock()
		return err
	}
	s, found := r.slots[a]
	if !found {
		if len(r.slots) >= r.cfg.Slots {
			r.mu.Unlock()
			return errs.New(errs.Conflict, "no free adapter slot")
		}
		s = &slot{}
		r.slots[a] = s
		go r.transfer(a, s, token)
	}
	for !s.loaded && !s.failed && !r.closed {
		r.changed.Wait()
	}
	defer r.mu.Unlock()
	if !s.loaded {
		return errs.New(errs.AdapterLoadFailed, "adapter was not loaded")
	}
	return nil
}

// transfer loads an adapter. Its speed falls in proportion while more loads
// than the limit are in transit.
func (r *Runner) transfer(a model.AdapterVersion, s *slot, token uint64) {
	r.cfg.Transit.Start()
	defer r.cfg.Transit.End()
	var done time.Duration
	step := min(pollInterval, r.cfg.LoadTime)
	for done < r.cfg.LoadTime || r.holdLoad() {
		time.Sleep(step)
		crowd := float64(r.cfg.Transit.InTransit()) / float64(r.cfg.TransitLimit)
		done += time.Duration(float64(step) / max(1, crowd))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots[a] != s || r.faults.FailLoads {
		s.failed = true
		if r.slots[a] == s {
			delete(r.slots, a)
		}
	} else {
		s.loaded = true
		r.record(LogEntry{Event: EventLoaded, Adapter: a, Token: token})
	}
	r.changed.Broadcast()
}

func (r *Runner) holdLoad() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults.HangLoads && !r.closed
}

// Unload evicts an adapter. An eviction under a running request cuts its
// stream and is recorded as a violation.
func (r *Runner) Unload(a model.AdapterVersion, token uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkFence(token); err != nil {
		return err
	}
	if _, found := r.slots[a]; !found {
		return nil
	}
	for _, j := range r.jobs {
		if j.adapter == a && j.state < stateDone {
			r.record(LogEntry{Event: EventViolation, Request: j.id, Adapter: a, Token: token, Detail: "evicted while serving"})
			j.stop(stateCut)
		}
	}
	delete(r.slots, a)
	r.record(LogEntry{Event: EventEvicted, Adapter: a, Token: token})
	r.changed.Broadcast()
	return nil
}

// State is the runner's statement about itself.
type State struct {
	Instance string                 `json:"instance"`
	Resident []model.AdapterVersion `json:"resident"`
	Running  []model.RequestID      `json:"running"`
}

// State returns the resident adapters and the running requests.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{Instance: r.instance, Resident: []model.AdapterVersion{}, Running: []model.RequestID{}}
	for a, slot := range r.slots {
		if slot.loaded {
			s.Resident = append(s.Resident, a)
		}
	}
	for id, j := range r.jobs {
		if j.state < stateDone {
			s.Running = append(s.Running, id)
		}
	}
	return s
}

// Report is the lagging load report.
type Report struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Load report entries older than the lag are kept only as the current answer.
func (r *Runner) noteLoad() {
	r.reports = append(r.reports, report{at: time.Now(), running: r.running, waiting: len(r.waiting)})
	for len(r.reports) > 1 && time.Since(r.reports[1].at) >= r.cfg.ReportLag {
		r.reports = r.reports[1:]
	}
}

// LoadReport returns the load as it was one report lag ago.
func (r *Runner) LoadReport() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Report
	for _, e := range r.reports {
		if time.Since(e.at) >= r.cfg.ReportLag {
			out = Report{Running: e.running, Waiting: e.waiting}
		}
	}
	return out
}
