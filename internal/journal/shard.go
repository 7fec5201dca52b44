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

// Settings configures a shard.
type Settings struct {
	Self                model.Holder
	CommitInterval      time.Duration // minimum time between two batches, default 40 ms
	Retention           time.Duration // how long finished claims are kept, default 24 h
	MaxBatchBytes       int           // estimated bytes of the records in one batch, default 512 KiB
	MaxQueuedCalls      int           // calls that wait for a batch, default 4,096
	MaxResponseBytes    int           // maximum size of a stored response body, default 32 KiB
	MaxIndexBytes       int           // estimated memory of one shard's index, default 24 MiB
	CompactionThreshold int           // positions above the floor that start a compaction, default 2,000
	BackoffMin          time.Duration // maximum wait after the first store failure, default 50 ms
	BackoffMax          time.Duration // maximum wait after repeated store failures, default 2 s
	StoreTimeout        time.Duration // limit of one store call, default 2 s
}

// DefaultSettings returns the default settings for one incarnation of a VM.
func DefaultSettings(self model.Holder) Settings {
	return Settings{
		Self: self, CommitInterval: 40 * time.Millisecond, Retention: 24 * time.Hour,
		MaxBatchBytes: 512 << 10, MaxQueuedCalls: 4096, MaxResponseBytes: 32 << 10, MaxIndexBytes: 24 << 20,
		CompactionThreshold: 2000, BackoffMin: 50 * time.Millisecond, BackoffMax: 2 * time.Second,
		StoreTimeout: 2 * time.Second,
	}
}

// Liveness reports whether a holder is confirmed gone. A holder that is only
// unreachable is not gone.
type Liveness interface {
	Gone(holder model.Holder) bool
}

// Dependencies are the services that a shard uses. Liveness and Recorder are
// called with the shard's lock held: they must not block or call the shard.
type Dependencies struct {
	Store    objectstore.Store
	Liveness Liveness
	Now      func() time.Time
	Rand     *rand.Rand // used under the shard's lock only
	Recorder timeline.Recorder
	Log      zerolog.Logger
	Counters *Counters
}

// mode is the state of a shard on this VM.
type mode uint8

const (
	modeIdle         mode = iota // not assigned to this VM, not owned
	modeAcquiring                // assigned, takeover not finished
	modeOwned                    // assigned and owned
	modeSteppingDown             // no longer assigned; owned until the queue is committed
)

// Shard is one journal shard on one VM, which may own it or take it over. Step
// makes the store calls and must not be called concurrently. The other exported
// methods, except Run, never wait for the store.
type Shard struct {
	number   int
	settings Settings
	deps     Dependencies
	wake     chan struct{}

	mu                  sync.Mutex
	mode                mode
	queue               []*Call
	queueBytes          int // estimated bytes of the queue's records
	index               *Index
	floor               Floor
	pending             *pendingBatch // batch in doubt: the result of its create or of its floor check is not certain yet
	storeDown           bool
	consecutiveFailures int       // failed store operations
	notBefore           time.Time // no store call before this time
	retention           time.Duration

	ownedSince   time.Time // time of the last takeover
	recentLosses int       // consecutive losses of ownership, all but the first within lossWindow of a takeover

	lastSequence     uint64 // WriteID.Sequence of the last write
	activeCompaction *compaction
	maxSeenRevision  int64 // highest store revision seen
}

// NewShard returns a shard that is not assigned to this VM.
func NewShard(number int, settings Settings, deps Dependencies) *Shard {
	return &Shard{
		number: number, settings: settings, deps: deps, retention: settings.Retention,
		wake: make(chan struct{}, 1), index: NewIndex(),
	}
}

// SetAssigned sets whether this VM should own the shard. When it no longer should,
// the shard first commits its queued calls and then becomes idle.
func (s *Shard) SetAssigned(assigned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case assigned && s.mode == modeIdle:
		s.mode, s.notBefore, s.consecutiveFailures = modeAcquiring, time.Time{}, 0
	case assigned && s.mode == modeSteppingDown:
		s.mode = modeOwned
	case !assigned && s.mode == modeAcquiring:
		s.becomeIdle()
	case !assigned && s.mode == modeOwned:
		s.mode = modeSteppingDown
	}
	s.wakeUp()
}

// SetRetention sets the retention of the entries of later batches.
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

// Owned reports whether this VM owns the shard, as far as it knows.
func (s *Shard) Owned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == modeOwned
}

// wakeUp makes Run call Step without waiting any longer.
func (s *Shard) wakeUp() {
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

// idleWait is the time between two steps when there is no work. New work wakes
// the shard earlier.
const idleWait = time.Minute

// Step does the next piece of work and returns how long Run waits before the next
// step, unless wakeUp is called.
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
	if err := s.takeOver(ctx); err != nil && s.isAcquiring() {
		s.handleStoreFailure(err, "takeover")
	}
}

func (s *Shard) stepOwner(ctx context.Context) {
	defer s.finishSteppingDown()
	if s.probeNeeded() {
		if _, err := s.readFloor(ctx, 0); err != nil {
			s.handleStoreFailure(err, "probe")
			return
		}
		s.handleStoreSuccess()
	}
	if s.commit(ctx) {
		s.advanceCompaction(ctx)
	}
}

// finishSteppingDown makes a shard that is stepping down idle once its queue is
// empty and no batch is in doubt. During an outage it gives up a batch in doubt:
// the calls of the batch were refused, and the next owner finds in the store
// whether the batch took effect.
func (s *Shard) finishSteppingDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := s.pending == nil && len(s.queue) == 0
	if s.mode == modeSteppingDown && (settled || s.storeDown) {
		s.becomeIdle()
	}
}

// becomeIdle refuses all waiting calls and frees the index. Callers hold the lock.
func (s *Shard) becomeIdle() {
	s.refuseWaiting(errNotOwner())
	s.mode, s.storeDown, s.activeCompaction, s.index = modeIdle, false, nil, NewIndex()
}

// lossWindow is the duration of ownership after which earlier losses no longer
// increase the wait before the next takeover. The increasing wait prevents two VMs
// that both expect to own the shard from taking it from each other continually.
const lossWindow = 30 * time.Second

// loseOwnership ends the ownership of the shard, which another VM has taken over.
// Waiting calls are refused as not run, so that clients repeat them at the new
// owner. If the shard is still assigned to this VM, it is taken over again after
// a wait.
func (s *Shard) loseOwnership(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deps.Counters.OwnershipLosses.Add(1)
	s.recordEvent(timeline.ShardLost, reason)
	assigned, index := s.mode != modeSteppingDown, s.index
	s.becomeIdle()
	if !assigned {
		return
	}
	s.index = index // holds committed records only; the next takeover continues from its position
	now := s.deps.Now()
	if now.Sub(s.ownedSince) > lossWindow {
		s.recentLosses = 0
	}
	s.recentLosses++
	s.mode, s.notBefore = modeAcquiring, now.Add(s.backoff(s.recentLosses))
}

// refuseWaiting refuses the calls of the batch in doubt and of the queue. Callers
// hold the lock.
func (s *Shard) refuseWaiting(err *errs.Error) {
	if s.pending != nil {
		s.pending.refuse(err)
		s.pending = nil
	}
	s.refuseQueue(err)
}

// refuseQueue refuses the queued calls. Callers hold the lock.
func (s *Shard) refuseQueue(err *errs.Error) {
	for _, call := range s.queue {
		call.refuse(err)
	}
	s.queue, s.queueBytes = nil, 0
}

// nextWait returns the time until the next step.
func (s *Shard) nextWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.mode == modeIdle:
		return idleWait
	case s.mode == modeAcquiring, s.pending != nil, s.storeDown, len(s.queue) > 0, s.activeCompaction != nil:
		return max(s.notBefore.Sub(s.deps.Now()), 0)
	}
	return idleWait
}
