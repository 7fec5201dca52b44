package frontend

import (
	"sync"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/target"
)

// chunkOverheadBytes is the estimated memory of a buffered chunk without its text.
const chunkOverheadBytes = 96

// pipe buffers chunks between a target and a caller, so that a slow caller does not
// occupy the target. The size of the buffer is limited by maxBytes and by the
// budget of the process.
type pipe struct {
	mu            sync.Mutex
	changed       *sync.Cond
	chunks        []target.Chunk
	bufferedBytes int
	maxBytes      int
	budget        *byteBudget
	ended         bool        // no further chunks follow
	closed        bool        // the reader has left; further chunks are rejected
	failure       *errs.Error // why the pipe ended, nil if the answer is complete
}

func newPipe(maxBytes int, budget *byteBudget) *pipe {
	p := &pipe{maxBytes: maxBytes, budget: budget}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// push appends a chunk. It fails if the reader has closed the pipe or reads so
// slowly that the buffer is full.
func (p *pipe) push(chunk target.Chunk) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := len(chunk.Text) + chunkOverheadBytes
	if p.closed {
		return errs.New(errs.Cancelled, "caller has disconnected")
	}
	if p.bufferedBytes+size > p.maxBytes || !p.budget.tryReserve(int64(size)) {
		return errs.New(errs.Cancelled, "caller reads too slowly")
	}
	p.bufferedBytes += size
	p.chunks = append(p.chunks, chunk)
	p.changed.Broadcast()
	return nil
}

// finish marks the end of the answer. A nil failure means that it is complete.
func (p *pipe) finish(failure *errs.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended, p.failure = true, failure
	p.changed.Broadcast()
}

// waitForFirst waits for the first chunk. If the pipe ends without one, it returns
// the failure.
func (p *pipe) waitForFirst() *errs.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.chunks) == 0 && !p.ended {
		p.changed.Wait()
	}
	if len(p.chunks) == 0 {
		return p.failure
	}
	return nil
}

// next waits until chunks are buffered or the pipe has ended. It removes and returns
// all buffered chunks, and reports whether the pipe has ended and why.
func (p *pipe) next() ([]target.Chunk, bool, *errs.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.chunks) == 0 && !p.ended {
		p.changed.Wait()
	}
	chunks := p.chunks
	p.discardBuffered()
	return chunks, p.ended, p.failure
}

// close discards the buffered chunks. Later chunks are rejected.
func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.discardBuffered()
}

func (p *pipe) discardBuffered() {
	p.budget.release(int64(p.bufferedBytes))
	p.chunks, p.bufferedBytes = nil, 0
}
