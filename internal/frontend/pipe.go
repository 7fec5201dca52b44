package frontend

import (
	"sync"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/target"
)

// chunkOverhead is the memory of a buffered chunk besides its text, in bytes.
const chunkOverhead = 96

// pipe buffers the chunks between a target and a caller, so that a slow caller
// does not hold the target. Its size is bounded.
type pipe struct {
	mu       sync.Mutex
	changed  *sync.Cond
	chunks   []target.Chunk
	bytes    int
	limit    int
	retained *byteBudget
	ended    bool
	closed   bool
	failure  *errs.Error
}

func newPipe(limit int, retained *byteBudget) *pipe {
	p := &pipe{limit: limit, retained: retained}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// push buffers a chunk. It fails when the caller is too far behind or gone.
func (p *pipe) push(c target.Chunk) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := len(c.Text) + chunkOverhead
	if p.closed {
		return errs.New(errs.Cancelled, "caller is gone")
	}
	if p.bytes+size > p.limit || !p.retained.take(int64(size)) {
		return errs.New(errs.Cancelled, "caller reads too slowly")
	}
	p.bytes += size
	p.chunks = append(p.chunks, c)
	p.changed.Broadcast()
	return nil
}

// finish ends the pipe. A nil failure means that the answer is complete.
func (p *pipe) finish(failure *errs.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended, p.failure = true, failure
	p.changed.Broadcast()
}

// first waits for the first chunk. It returns the failure if there is none.
func (p *pipe) first() *errs.Error {
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

// next waits for chunks or the end and takes all chunks.
func (p *pipe) next() ([]target.Chunk, bool, *errs.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.chunks) == 0 && !p.ended {
		p.changed.Wait()
	}
	chunks := p.chunks
	p.empty()
	return chunks, p.ended, p.failure
}

// close drops what is buffered. Later chunks are refused.
func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.empty()
}

func (p *pipe) empty() {
	p.retained.give(int64(p.bytes))
	p.chunks, p.bytes = nil, 0
}
