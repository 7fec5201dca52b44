package journal

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/timeline"
)

// Settings of a shard's owner.
type Settings struct {
	Self             model.Holder
	CommitInterval   time.Duration // least time between two batches, default 40 ms
	Retention        time.Duration // of finished claims, default 24 h
	MaxBatchBytes    int           // of records in one batch, default 512 KiB
	MaxQueue         int           // calls that wait for a batch, default 4,096
	ResponseLimit    int           // bytes of a stored response body, default 32 KiB
	IndexLimit       int           // bytes of one shard's index, default 24 MiB
	CompactPositions int           // positions above the floor that start a compaction, default 2,000
	BackoffMin       time.Duration // first wait after a failure of the store, default 50 ms
	BackoffMax       time.Duration // longest wait, default 2 s
	StoreTimeout     time.Duration // of one store call, default 2 s
}

// DefaultSettings returns the defaults for a VM's incarnation.
func DefaultSettings(self model.Holder) Settings {
	return Settings{
		Self: self, CommitInterval: 40 * time.Millisecond, Retention: 24 * time.Hour,
		MaxBatchBytes: 512 << 10, MaxQueue: 4096, ResponseLimit: 32 << 10, IndexLimit: 24 << 20,
		CompactPositions: 2000, BackoffMin: 50 * time.Millisecond, BackoffMax: 2 * time.Second,
		StoreTimeout: 2 * time.Second,
	}
}

// Liveness tells whether a holder is confirmed gone. A holder that is merely
// unreachable is not gone.
type Liveness interface {
	Gone(holder model.Holder) bool
}

// Dependencies of a shard's owner. Liveness and Recorder are called with the
// shard's lock held: they must not block or call the shard.
type Dependencies struct {
	Store    objectstore.Store
	Liveness Liveness
	Now      func() time.Time
	Rand     *rand.Rand // used under the shard's lock only
	Recorder timeline.Recorder
	Log      zerolog.Logger
	Counters *Counters
}

type mode uint8

const (
	modeIdle         mode = iota // not wanted here
	modeAcquiring                // wanted, takeover not finished
	modeOwned                    // owner
	modeSteppingDown             // owner until the queue is committed
)

// Shard is one shard's owner, or a VM that may become it. Step does the store
// calls and must not be called concurrently; the other methods never block.
type Shard struct {
	number   int
	settings Settings
	deps     Dependencies
	wake     chan struct{}

	mu        sync.Mutex
	mode      mode
	queue     []*Call
	queueSize int // estimated bytes of the queue's records
	index     *Index
	floor     Floor
	inDoubt   *pendingBatch // batch whose create or floor check is not certain yet
	storeDown bool
	failures  int       // in a row
	notBefore time.Time // no store call before this time
	retention time.Duration

	ownedSince time.Time // of the last takeover
	losses     int       // of ownership, each soon after a takeover

	write   uint64 // number of the last write
	compact *compaction
	known   int64 // highest store revision seen
}

// NewShard returns a shard that is not wanted on this VM.
func NewShard(number int, settings Settings, deps Dependencies) *Shard {
	return &Shard{
		number: number, settings: settings, deps: deps, retention: settings.Retention,
		wake: make(chan struct{}, 1), index: NewIndex(),
	}
}

// SetWanted says whether this VM should own the shard. When it no longer
// should, waiting calls are committed first, then the shard is idle.
func (s *Shard) SetWanted(wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case wanted && s.mode == modeIdle:
		s.mode, s.notBefore, s.failures = modeAcquiring, time.Time{}, 0
	case wanted && s.mode == modeSteppingDown:
		s.mode = modeOwned
	case !wanted && s.mode == modeAcquiring:
		s.becomeIdle()
	case !wanted && s.mode == modeOwned:
		s.mode = modeSteppingDown
	}
	s.signal()
}

// SetRetention sets how long the claims of later batches are kept.
func (s *Shard) SetRetention(retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = retention
}

// Idle reports whether this VM neither owns the shard nor tries to.
func (s *Shard) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == modeIdle
}

// Owned reports whether this VM holds the shard, as far as it knows.
func (s *Shard) Owned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == modeOwned
}

func (s *Shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run calls Step until ctx ends.
func (s *Shard) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.Step(ctx))
	}
}

// idleWait is the time between two steps without work. Work wakes the shard.
const idleWait = time.Minute

// Step does the next piece of work and returns how long to wait before the next
// call, unless the shard is woken.
func (s *Shard) Step(ctx context.Context) time.Duration {
	s.mu.Lock()
	mode, wait := s.mode, s.notBefore.Sub(s.deps.Now())
	s.mu.Unlock()
	switch {
	case mode == modeIdle:
		return idleWait
	case wait > 0:
		return wait
	case mode == modeAcquiring:
		s.stepTakeover(ctx)
	default:
		s.stepOwner(ctx)
	}
	return s.nextWait()
}

func (s *Shard) stepTakeover(ctx context.Context) {
	if err := s.takeOver(ctx); err != nil && s.acquiring() {
		s.fail(err, "takeover")
	}
}

func (s *Shard) stepOwner(ctx context.Context) {
	defer s.finishSteppingDown()
	if s.probeNeeded() {
		if _, err := s.readFloor(ctx, 0); err != nil {
			s.fail(err, "probe")
			return
		}
		s.succeed()
	}
	if s.commit(ctx) {
		s.compactStep(ctx)
	}
}

// finishSteppingDown makes the shard idle when nothing waits any more. During an
// outage a batch in doubt is given up: its calls were told that they were not
// granted, and the next owner sees whether it took effect.
func (s *Shard) finishSteppingDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := s.inDoubt == nil && len(s.queue) == 0
	if s.mode == modeSteppingDown && (settled || s.storeDown) {
		s.becomeIdle()
	}
}

// becomeIdle ends every waiting call and frees the index. Callers hold the lock.
func (s *Shard) becomeIdle() {
	s.dropWaiting(errNotOwner())
	s.mode, s.storeDown, s.compact, s.index = modeIdle, false, nil, NewIndex()
}

// lossWindow is the time of ownership after which earlier losses no longer
// lengthen the wait before the next takeover. The growing wait keeps two VMs that
// both expect to own the shard from taking it from each other continually.
const lossWindow = 30 * time.Second

// lose ends ownership: waiting calls did not run here and may be asked again at
// the new owner.
func (s *Shard) lose(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deps.Counters.Lost.Add(1)
	s.record(timeline.ShardLost, reason)
	wanted, index := s.mode != modeSteppingDown, s.index
	s.becomeIdle()
	if !wanted {
		return
	}
	s.index = index // committed records only; the next takeover reads on from here
	now := s.deps.Now()
	if now.Sub(s.ownedSince) > lossWindow {
		s.losses = 0
	}
	s.losses++
	s.mode, s.notBefore = modeAcquiring, now.Add(s.backoff(s.losses))
}

// dropWaiting ends the calls of the batch in doubt and of the queue. Callers
// hold the lock.
func (s *Shard) dropWaiting(err *errs.Error) {
	if s.inDoubt != nil {
		s.inDoubt.refuse(err)
		s.inDoubt = nil
	}
	s.refuseQueue(err)
}

func (s *Shard) refuseQueue(err *errs.Error) {
	for _, call := range s.queue {
		call.refuse(err)
	}
	s.queue, s.queueSize = nil, 0
}

func (s *Shard) nextWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.mode == modeIdle:
		return idleWait
	case s.mode == modeAcquiring, s.inDoubt != nil, s.storeDown, len(s.queue) > 0, s.compact != nil:
		return max(s.notBefore.Sub(s.deps.Now()), 0)
	}
	return idleWait
}
