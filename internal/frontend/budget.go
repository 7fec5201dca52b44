package frontend

import (
	"math/rand/v2"
	"sync"
	"time"
)

// budgetReserve is the number of retries allowed before any request was
// counted, so that the first requests after a start can be retried.
const budgetReserve = 10

// budget allows retries as a share of requests, so that retries cannot
// multiply an overload.
type budget struct {
	mu    sync.Mutex
	share float64
	left  float64
}

func newBudget(share float64) *budget { return &budget{share: share, left: budgetReserve} }

// earn counts a request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.share, budgetReserve)
}

// take uses one retry if the budget allows it.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// byteBudget bounds the bytes retained for callers.
type byteBudget struct {
	mu   sync.Mutex
	left int64
}

func (b *byteBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *byteBudget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// jitter spreads delays so that callers that failed together do not retry
// together.
type jitter struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newJitter(seed uint64) *jitter { return &jitter{rng: rand.New(rand.NewPCG(seed, seed))} }

// spread returns a delay between half and one and a half times d.
func (j *jitter) spread(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return d/2 + time.Duration(j.rng.Int64N(int64(d)+1))
}
