package journal

import (
	"context"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// pendingBatch is a batch whose commit has started and is not certain yet. A
// shard has at most one.
type pendingBatch struct {
	batch     *Batch
	data      []byte
	calls     []*Call
	ambiguous bool  // an attempt to create the object may have taken effect
	revision  int64 // store revision of the create; 0 while its result is not certain
}

// detailMayBeRecorded is the detail of a refusal whose claim may be in the store.
// Clients compare it and release such a claim, so it must not change.
const detailMayBeRecorded = "the claim may be recorded"

// refuse refuses the batch's calls. The batch itself may still be in doubt.
func (p *pendingBatch) refuse(err *errs.Error) {
	err = err.WithDetails(detailMayBeRecorded)
	for _, call := range p.calls {
		call.refuse(err)
	}
	p.calls = nil
}

// attemptsBeforeRefusal is the number of consecutive failed attempts after which
// waiting calls are refused. The front end then releases the claim, because the
// batch may be in the store.
const attemptsBeforeRefusal = 3

// commit continues the batch in doubt or starts the next one. It returns false if
// the batch could not be committed or ownership was lost.
func (s *Shard) commit(ctx context.Context) bool {
	p, err := s.currentBatch()
	if err != nil {
		s.handleStoreFailure(err, "encode")
		return false
	}
	if p == nil {
		return true
	}
	if p.revision == 0 && !s.createPending(ctx, p) {
		return false
	}
	return s.checkFloor(ctx, p)
}

// currentBatch returns the batch in doubt, or a new batch of queued calls, or nil
// if there is nothing to commit.
func (s *Shard) currentBatch() (*pendingBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		return s.pending, nil
	}
	calls, records := s.takeBatchCalls()
	if len(calls) == 0 {
		return nil, nil
	}
	p := &pendingBatch{batch: s.newBatch(), calls: calls}
	p.batch.Records = records
	data, err := EncodeBatch(p.batch)
	if err != nil {
		p.refuse(errs.As(err).WithRan(errs.RanNo))
		return nil, err
	}
	p.data, s.pending = data, p
	return p, nil
}

// takeBatchCalls removes the calls of the next batch from the queue and returns them
// with their records. A second call for the same key is left for a later batch,
// when the index shows the effect of the first call. Callers hold the lock.
func (s *Shard) takeBatchCalls() (taken []*Call, records []Record) {
	var rest []*Call
	seenKeys := make(map[KeyHash]bool)
	size := 0
	for _, call := range s.queue {
		full := size > 0 && (size+call.size() > s.settings.MaxBatchBytes || len(taken) >= maxHoldersPerBatch)
		if full || seenKeys[call.record.Key] {
			rest = append(rest, call)
			seenKeys[call.record.Key] = true
			continue
		}
		decision := s.decide(call)
		if decision == decisionAnswered {
			continue
		}
		if decision == decisionWrite {
			records = append(records, call.record)
		}
		seenKeys[call.record.Key] = true
		size += call.size()
		taken = append(taken, call)
	}
	s.queue, s.queueBytes = rest, 0
	for _, call := range rest {
		s.queueBytes += call.size()
	}
	return taken, records
}

// newBatch returns a batch without records for the next position. Callers hold
// the lock.
func (s *Shard) newBatch() *Batch {
	s.lastSequence++
	return &Batch{
		Shard: s.number, Position: s.index.Position() + 1,
		WriteID:     WriteID{Writer: s.settings.Self, Sequence: s.lastSequence},
		TimeMS:      max(s.deps.Now().UnixMilli(), 0),
		RetentionMS: s.retention.Milliseconds(),
	}
}

// createPending makes one attempt to create the batch's object. It returns true and
// sets the batch's revision if the object is certainly in the store.
func (s *Shard) createPending(ctx context.Context, p *pendingBatch) bool {
	revision, err := s.createObject(ctx, p.batch, p.data)
	switch {
	case err == nil:
		p.revision = revision
		return true
	case errs.Is(err, errs.Conflict):
		s.loseOwnership("position is taken")
	case errs.Is(err, errs.StoreUnavailable) && !p.ambiguous:
		s.dropPending()
		s.handleStoreFailure(err, "commit")
	default:
		p.ambiguous = true
		s.retryLater(p, err)
	}
	return false
}

// createObject makes one attempt to create the object of a batch and returns its
// revision. Errors: errs.Conflict when another batch is certainly at the position,
// errs.StoreUnavailable when this attempt had no effect, any other code when the
// result is not certain.
func (s *Shard) createObject(ctx context.Context, b *Batch, data []byte) (int64, error) {
	key := positionKey(s.number, b.Position)
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	object, err := s.deps.Store.Create(ctx, key, data)
	if err == nil {
		s.maxSeenRevision = max(s.maxSeenRevision, object.Revision)
		return object.Revision, nil
	}
	if !errs.Is(err, errs.Conflict) {
		return 0, err
	}
	object, err = s.deps.Store.Get(ctx, key, s.maxSeenRevision)
	if err != nil {
		// The read may be stale, or the position was deleted in the meantime.
		return 0, errs.Wrap(err, errs.StoreAmbiguous, "cannot read the journal object after a conflict")
	}
	s.maxSeenRevision = max(s.maxSeenRevision, object.Revision)
	found, err := s.decode(object, b.Position)
	if err != nil {
		return 0, err
	}
	if found.WriteID != b.WriteID {
		return 0, errs.New(errs.Conflict, "another batch is at the journal position")
	}
	return object.Revision, nil
}

func (s *Shard) decode(object objectstore.Object, position uint64) (*Batch, error) {
	b, err := DecodeBatch(object.Value, s.number, position)
	if err != nil {
		s.deps.Counters.BadObjects.Add(1)
	}
	return b, err
}

// checkFloor reads the floor at the revision of the create or later, and finishes
// the commit if the batch is above it. A batch at or below the floor is void,
// because a later owner has compacted the journal beyond its position.
func (s *Shard) checkFloor(ctx context.Context, p *pendingBatch) bool {
	floor, err := s.readFloor(ctx, p.revision)
	if err != nil {
		s.retryLater(p, err)
		return false
	}
	if floor.Position >= p.batch.Position {
		s.loseOwnership("position is below the floor")
		return false
	}
	s.handleStoreSuccess()
	return s.finishCommit(p, floor)
}

// finishCommit applies a committed batch to the index and answers its calls.
func (s *Shard) finishCommit(p *pendingBatch, floor Floor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.index.Apply(p.batch); err != nil {
		// This cannot happen while at most one batch is pending. If it does, a new
		// takeover rebuilds the index from the store.
		s.deps.Log.Error().Err(err).Int("shard", s.number).Msg("journal index does not match the committed batch, taking the shard over again")
		s.refuseWaiting(errNotOwner())
		s.mode, s.index = modeAcquiring, NewIndex()
		return false
	}
	s.floor = floor
	s.pending = nil
	s.notBefore = s.deps.Now().Add(s.settings.CommitInterval)
	s.deps.Counters.Batches.Add(1)
	s.deps.Counters.Records.Add(int64(len(p.batch.Records)))
	for _, call := range p.calls {
		s.answerCommitted(call)
	}
	return true
}

// dropPending refuses the calls of a pending batch that certainly had no effect,
// and drops it.
func (s *Shard) dropPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		s.pending.refuse(s.errStoreDown())
		s.pending = nil
	}
}

// retryLater counts the failure and leaves the batch in doubt. No other batch is
// written before its result is certain. During an outage the waiting calls are
// refused.
func (s *Shard) retryLater(p *pendingBatch, err error) {
	s.handleStoreFailure(err, "commit")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		p.refuse(s.errStoreDown())
		s.refuseQueue(s.errStoreDown())
	}
}

// readFloor returns the floor as of the given revision or a later one. It returns
// the zero value if the shard was never compacted.
func (s *Shard) readFloor(ctx context.Context, revision int64) (Floor, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	object, err := s.deps.Store.Get(ctx, floorKey(s.number), max(revision, s.maxSeenRevision))
	if errs.Is(err, errs.NotFound) {
		return Floor{}, nil
	}
	if err != nil {
		return Floor{}, err
	}
	floor, err := DecodeFloor(object)
	if err != nil {
		s.deps.Counters.BadObjects.Add(1)
	}
	return floor, err
}
