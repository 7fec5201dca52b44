package frontend

import (
	"math/rand/v2"
	"sync"
	"time"
)

// budgetCapacity is the initial and the largest balance of an attemptBudget. It
// allows retries of the first requests after a start.
const budgetCapacity = 10

// attemptBudget limits additional attempts (retries or hedges) to a fraction of the
// requests, so that they cannot amplify an overload.
type attemptBudget struct {
	mu      sync.Mutex
	ratio   float64 // additional attempts per request
	balance float64 // additional attempts that may start now
}

func newAttemptBudget(ratio float64) *attemptBudget {
	return &attemptBudget{ratio: ratio, balance: budgetCapacity}
}

// deposit counts a request, which raises the balance by the ratio.
func (b *attemptBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, budgetCapacity)
}

// tryWithdraw takes one additional attempt from the balance. It reports whether
// the balance was sufficient.
func (b *attemptBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// byteBudget limits the memory that request bodies and buffered answers occupy.
type byteBudget struct {
	mu        sync.Mutex
	available int64 // bytes
}

// tryReserve reserves n bytes. It reports whether they were available.
func (b *byteBudget) tryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.available {
		return false
	}
	b.available -= n
	return true
}

// release returns n reserved bytes.
func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}

// jitter randomises delays, so that requests that failed at the same time are not
// retried at the same time.
type jitter struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newJitter(seed uint64) *jitter { return &jitter{rng: rand.New(rand.NewPCG(seed, seed))} }

// randomise returns a uniformly distributed delay from 0.5 d to 1.5 d.
func (j *jitter) randomise(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return d/2 + time.Duration(j.rng.Int64N(int64(d)+1))
}
