package frontend

import (
	"context"
	"strconv"
	"sync"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/target"
)

// attemptGroup runs the attempts of one request: the first one, retries and a
// hedge. The first attempt that can send output to the caller wins, and all
// other attempts are cancelled.
type attemptGroup struct {
	s           *Server
	ctx         context.Context
	inference   *inferenceRequest
	results     chan attemptResult
	slowTargets chan string // targets to hedge against, by name
	// The fields below belong to the goroutine that executes runInference.
	exclude         []string // targets that further attempts avoid, by name
	attemptsStarted int
	attemptsRunning int
	ran             errs.Ran    // strongest value of the failed attempts
	lastTargetError *errs.Error // error of the last failed attempt that was granted a permit
	// The fields below are guarded by mu.
	mu       sync.Mutex
	winner   *attempt
	attempts []*attempt
}

// attempt is one execution of a request on one target.
type attempt struct {
	id              model.RequestID
	ctx             context.Context
	cancel          context.CancelFunc
	buffered        []target.Chunk // chunks of an answer that is not streamed, kept until it is complete
	bufferedBytes   int64          // size of buffered, reserved in Server.retainedBytes
	progressMonitor *progressMonitor
}

// errNotFirst ends an attempt that lost to another attempt of the same request.
var errNotFirst = errs.New(errs.Cancelled, "another attempt was first")

func newAttemptGroup(s *Server, ctx context.Context, req *inferenceRequest) *attemptGroup {
	return &attemptGroup{s: s, ctx: ctx, inference: req, ran: errs.RanUnset, results: make(chan attemptResult, s.limits.MaxAttempts), slowTargets: make(chan string, 1)}
}

// startAttempt starts an attempt in the background. Each attempt has a request id
// of its own, because permits and usage records are keyed by request id.
func (g *attemptGroup) startAttempt() {
	g.attemptsStarted++
	g.attemptsRunning++
	a := &attempt{id: attemptID(g.inference.id, g.attemptsStarted)}
	a.ctx, a.cancel = context.WithCancel(g.ctx)
	g.mu.Lock()
	g.attempts = append(g.attempts, a)
	g.mu.Unlock()
	g.s.mu.Lock()
	g.s.groupsByAttempt[a.id] = g
	g.s.mu.Unlock()
	exclude := append([]string(nil), g.exclude...)
	g.s.runInBackground(func() {
		result := attemptResult{attempt: a}
		defer func() { g.results <- result }()
		defer g.s.recoverPanic(func(e *errs.Error) { result.err = e })
		defer a.cancel()
		defer func() { g.s.retainedBytes.release(a.bufferedBytes) }()
		result.target, result.err = g.s.runAttempt(g, a, exclude)
	})
}

// setAttemptID changes the id of an attempt to the request id of its permit, which
// the target and the owner of the target group use.
func (g *attemptGroup) setAttemptID(a *attempt, id model.RequestID) {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	delete(g.s.groupsByAttempt, a.id)
	a.id = id
	if a.ctx.Err() == nil { // cancelAll may have removed the attempt already
		g.s.groupsByAttempt[id] = g
	}
}

// attemptID returns the id of an attempt of a request. Attempts are numbered from 1.
func attemptID(id model.RequestID, number int) model.RequestID {
	return id + model.RequestID("."+strconv.Itoa(number))
}

// cancelAll cancels all attempts and removes them from Server.groupsByAttempt.
func (g *attemptGroup) cancelAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	for _, a := range g.attempts {
		a.cancel()
		delete(g.s.groupsByAttempt, a.id)
	}
}

// tryWin makes an attempt the winner if there is no winner yet, and then cancels
// all other attempts. It reports whether the attempt is the winner.
func (g *attemptGroup) tryWin(a *attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.winner == nil {
		g.winner = a
		for _, other := range g.attempts {
			if other != a {
				other.cancel()
			}
		}
	}
	return g.winner == a
}

// handleChunk delivers a chunk of a streamed answer to the caller. The chunks of an
// answer that is not streamed are buffered until it is complete, so that another
// attempt can replace a failed one.
func (g *attemptGroup) handleChunk(a *attempt, chunk target.Chunk) error {
	a.progressMonitor.recordChunk(chunk)
	if g.inference.stream {
		if !g.tryWin(a) {
			return errNotFirst
		}
		return g.inference.deliver(chunk)
	}
	size := int64(len(chunk.Text) + chunkOverheadBytes)
	if !g.s.retainedBytes.tryReserve(size) {
		return errs.New(errs.Overloaded, "memory limit for request bodies and buffered answers reached")
	}
	a.bufferedBytes += size
	a.buffered = append(a.buffered, chunk)
	if !chunk.Final() {
		return nil
	}
	if !g.tryWin(a) {
		return errNotFirst
	}
	for _, buffered := range a.buffered {
		if err := g.inference.deliver(buffered); err != nil {
			return err
		}
	}
	return nil
}
