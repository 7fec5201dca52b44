package runner

import (
	"sort"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

type jobState int

const (
	stateWaiting jobState = iota
	stateRunning
	stateDone
	stateCancelled
	stateCut
)

// job is one request. Its tokens are kept as a count, because the text is a
// function of adapter, prompt and position.
type job struct {
	id       model.RequestID
	adapter  model.AdapterVersion
	prompt   string
	total    int
	produced int
	priority int
	state    jobState
	readers  int
	idle     time.Time // since when no reader is attached
}

func (j *job) stop(s jobState) {
	if j.state < stateDone {
		j.state = s
	}
}

// submit enters a request. It refuses without running when the adapter is not
// resident or the id is known.
func (r *Runner) submit(j *job) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[j.adapter]; s == nil || !s.loaded {
		r.record(LogEntry{Event: EventRefused, Request: j.id, Adapter: j.adapter, Detail: "not resident"})
		return errs.NotRun(errs.AdapterNotResident, "adapter is not resident")
	}
	if _, found := r.jobs[j.id]; found {
		return errs.New(errs.Conflict, "request id is in use")
	}
	r.jobs[j.id] = j
	j.readers = 1
	r.waiting = append(r.waiting, j)
	sort.SliceStable(r.waiting, func(a, b int) bool { return r.waiting[a].priority < r.waiting[b].priority })
	r.record(LogEntry{Event: EventStarted, Request: j.id, Adapter: j.adapter, Prompt: j.prompt, Tokens: j.total})
	r.startWaiting()
	return nil
}

func (r *Runner) startWaiting() {
	for len(r.waiting) > 0 && r.running < r.cfg.Concurrency {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		if j.state != stateWaiting {
			r.keepFinished(j)
			continue
		}
		j.state = stateRunning
		r.running++
		go r.generate(j, r.instance)
	}
	r.noteLoad()
}

// interval returns the time of one decoding step: it grows with the number of
// running requests.
func (r *Runner) interval() time.Duration {
	factor := 1 + r.cfg.BatchCost*float64(max(0, r.running-1))
	if r.faults.SlowFactor > 0 {
		factor *= r.faults.SlowFactor
	}
	return time.Duration(float64(r.cfg.TokenInterval) * factor)
}

func (r *Runner) generate(j *job, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	uncached := r.cache.enter(j.prompt, r.faults.DropCacheEvents)
	r.sleep(time.Duration(uncached) * r.cfg.PrefillTime)
	for j.state == stateRunning && j.produced < j.total {
		r.sleep(r.interval())
		if r.faults.Freeze || j.state != stateRunning {
			continue
		}
		j.produced++
		r.changed.Broadcast()
		if j.readers == 0 && time.Since(j.idle) > orphanAfter {
			j.stop(stateCancelled)
		}
	}
	if j.state == stateRunning {
		j.state = stateDone
		r.record(LogEntry{Event: EventFinished, Request: j.id, Adapter: j.adapter, Tokens: j.produced})
	}
	r.changed.Broadcast()
	if r.instance != instance {
		return // a restart has reset the counters
	}
	r.running--
	r.keepFinished(j)
	r.startWaiting()
}

// sleep releases the lock for d.
func (r *Runner) sleep(d time.Duration) {
	r.mu.Unlock()
	time.Sleep(d)
	r.mu.Lock()
}

// keepFinished forgets the oldest finished request beyond the limit.
func (r *Runner) keepFinished(j *job) {
	r.finished = append(r.finished, j.id)
	if len(r.finished) > finishedKept {
		delete(r.jobs, r.finished[0])
		r.finished = r.finished[1:]
	}
}

// cancel ends a request. It reports whether the request is known.
func (r *Runner) cancel(id model.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, found := r.jobs[id]
	if found && j.state < stateDone {
		r.record(LogEntry{Event: EventCancelled, Request: id, Adapter: j.adapter, Tokens: j.produced})
		j.stop(stateCancelled)
		r.changed.Broadcast()
	}
	return found
}

// attach returns a known request for resumption.
func (r *Runner) attach(id model.RequestID, offset int) (*job, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, found := r.jobs[id]
	if !found || r.faults.RefuseStreams || offset > j.total {
		return nil, errs.New(errs.NotFound, "stream is not known")
	}
	j.readers++
	return j, nil
}

func (r *Runner) detach(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.readers--
	j.idle = time.Now()
}

// next waits until the request has more than offset tokens or has ended.
func (r *Runner) next(j *job, offset int) (produced int, state jobState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for j.produced <= offset && j.state < stateDone && !r.closed {
		r.changed.Wait()
	}
	if r.closed && j.state < stateDone {
		return j.produced, stateCut
	}
	return j.produced, j.state
}
