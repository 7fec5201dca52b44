package frontend

import (
	"context"
	"strconv"
	"sync"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/target"
)

// race runs the attempts of one request. The first attempt that has something
// for the caller wins; the others are cancelled.
type race struct {
	s       *Server
	ctx     context.Context
	job     *inference
	results chan attemptResult
	hedge   chan string // names of slow targets
	// Fields below are used by the goroutine of infer only.
	exclude []string
	started int
	active  int
	ran     errs.Ran
	cause   *errs.Error // of the last attempt that had a target
	// Fields below are guarded by mu.
	mu       sync.Mutex
	winner   *attempt
	attempts []*attempt
}

// attempt is one try to get an answer.
type attempt struct {
	id     model.RequestID
	ctx    context.Context
	cancel context.CancelFunc
	held   []target.Chunk // of a whole answer, until it is complete
	bytes  int64          // of held, taken from the budget of retained bytes
	watch  *watch
}

var errLost = errs.New(errs.Cancelled, "another attempt was first")

func newRace(s *Server, ctx context.Context, j *inference) *race {
	return &race{s: s, ctx: ctx, job: j, ran: errs.RanUnset, results: make(chan attemptResult, s.limits.MaxAttempts), hedge: make(chan string, 1)}
}

// start starts an attempt with a request id of its own, because permits and
// accounts are kept by request id.
func (r *race) start() {
	r.started++
	r.active++
	a := &attempt{id: attemptID(r.job.id, r.started)}
	a.ctx, a.cancel = context.WithCancel(r.ctx)
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
	r.s.mu.Lock()
	r.s.running[a.id] = r
	r.s.mu.Unlock()
	exclude := append([]string(nil), r.exclude...)
	r.s.spawn(func() {
		result := attemptResult{attempt: a}
		defer func() { r.results <- result }()
		defer r.s.recovered(func(e *errs.Error) { result.err = e })
		defer a.cancel()
		defer func() { r.s.retained.give(a.bytes) }()
		result.target, result.err = r.s.runAttempt(r, a, exclude)
	})
}

// rename gives an attempt the request id of its permit, by which the target and
// the group's owner know it.
func (r *race) rename(a *attempt, id model.RequestID) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	delete(r.s.running, a.id)
	a.id = id
	if a.ctx.Err() == nil { // the race may have ended and forgotten its attempts
		r.s.running[id] = r
	}
}

// attemptID returns the id of one attempt of a request, counted from 1.
func attemptID(id model.RequestID, number int) model.RequestID {
	return id + model.RequestID("."+strconv.Itoa(number))
}

// end cancels what still runs and forgets the attempts.
func (r *race) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for _, a := range r.attempts {
		a.cancel()
		delete(r.s.running, a.id)
	}
}

// claim makes an attempt the winner if there is none yet, and cancels the
// others. It reports whether the attempt is the winner.
func (r *race) claim(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil {
		r.winner = a
		for _, other := range r.attempts {
			if other != a {
				other.cancel()
			}
		}
	}
	return r.winner == a
}

// take receives a chunk of an attempt. The chunks of a whole answer are held
// back until it is complete, so that a failed attempt can be repeated.
func (r *race) take(a *attempt, c target.Chunk) error {
	a.watch.note(c)
	if r.job.stream {
		if !r.claim(a) {
			return errLost
		}
		return r.job.emit(c)
	}
	size := int64(len(c.Text) + chunkOverhead)
	if !r.s.retained.take(size) {
		return errs.New(errs.Overloaded, "too many bytes are retained")
	}
	a.bytes += size
	a.held = append(a.held, c)
	if !c.Final() {
		return nil
	}
	if !r.claim(a) {
		return errLost
	}
	for _, held := range a.held {
		if err := r.job.emit(held); err != nil {
			return err
		}
	}
	return nil
}
