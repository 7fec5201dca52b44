package journal

import (
	"context"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// pendingBatch is the one batch in flight.
type pendingBatch struct {
	batch     *Batch
	data      []byte
	calls     []*Call
	ambiguous bool  // an attempt may have taken effect
	revision  int64 // of the create; 0 while it is not certain
}

// detailInDoubt marks the refusal of a claim that may be in the store. The
// client releases such a claim.
const detailInDoubt = "the claim may be recorded"

// refuse ends the batch's calls. The batch itself may still be in doubt.
func (p *pendingBatch) refuse(err *errs.Error) {
	err = err.WithDetails(detailInDoubt)
	for _, call := range p.calls {
		call.refuse(err)
	}
	p.calls = nil
}

// attemptsBeforeRefusal is the number of failed attempts in a row after which
// waiting calls are told that their claim was not granted here. The front end
// then releases the claim, in case the batch is in the store.
const attemptsBeforeRefusal = 3

// commit makes progress with the batch in flight or starts the next one. It
// reports whether the store answered and the shard is still owned.
func (s *Shard) commit(ctx context.Context) bool {
	p, err := s.currentBatch()
	if err != nil {
		s.fail(err, "encode")
		return false
	}
	if p == nil {
		return true
	}
	if p.revision == 0 && !s.createBatch(ctx, p) {
		return false
	}
	return s.checkFloor(ctx, p)
}

func (s *Shard) currentBatch() (*pendingBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inDoubt != nil {
		return s.inDoubt, nil
	}
	calls, records := s.takeCalls()
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
	p.data, s.inDoubt = data, p
	return p, nil
}

// takeCalls removes from the queue what the next batch holds. A second call for
// the same key waits for the batch after, when the index shows the first one's
// effect. Callers hold the lock.
func (s *Shard) takeCalls() (taken []*Call, records []Record) {
	var rest []*Call
	touched := make(map[KeyID]bool)
	size := 0
	for _, call := range s.queue {
		full := size > 0 && (size+call.size() > s.settings.MaxBatchBytes || len(taken) >= maxHoldersPerBatch)
		if full || touched[call.record.Key] {
			rest = append(rest, call)
			touched[call.record.Key] = true
			continue
		}
		need := s.decide(call)
		if need == stepAnswered {
			continue
		}
		if need == stepWrite {
			records = append(records, call.record)
		}
		touched[call.record.Key] = true
		size += call.size()
		taken = append(taken, call)
	}
	s.queue, s.queueSize = rest, 0
	for _, call := range rest {
		s.queueSize += call.size()
	}
	return taken, records
}

func (s *Shard) newBatch() *Batch {
	s.write++
	return &Batch{
		Shard: s.number, Position: s.index.Position() + 1,
		Identity:  Identity{Writer: s.settings.Self, Write: s.write},
		TimeMS:    max(s.deps.Now().UnixMilli(), 0),
		Retention: s.retention.Milliseconds(),
	}
}

// createBatch attempts the create once and sets the batch's revision when its
// result is certain.
func (s *Shard) createBatch(ctx context.Context, p *pendingBatch) bool {
	revision, err := s.create(ctx, p.batch, p.data)
	switch {
	case err == nil:
		p.revision = revision
		return true
	case errs.Is(err, errs.Conflict):
		s.lose("position is taken")
	case errs.Is(err, errs.StoreUnavailable) && !p.ambiguous:
		s.dropBatch()
		s.fail(err, "commit")
	default:
		p.ambiguous = true
		s.retryLater(p, err)
	}
	return false
}

// create writes a batch. Errors: errs.Conflict when another identity certainly
// has the position, errs.StoreUnavailable when this attempt had no effect, any
// other code when the result is not certain.
func (s *Shard) create(ctx context.Context, b *Batch, data []byte) (int64, error) {
	key := positionKey(s.number, b.Position)
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	object, err := s.deps.Store.Create(ctx, key, data)
	if err == nil {
		s.known = max(s.known, object.Revision)
		return object.Revision, nil
	}
	if !errs.Is(err, errs.Conflict) {
		return 0, err
	}
	object, err = s.deps.Store.Get(ctx, key, s.known)
	if err != nil {
		// The reader may be behind, or the position was deleted meanwhile.
		return 0, errs.Wrap(err, errs.StoreAmbiguous, "cannot read the object at the position")
	}
	s.known = max(s.known, object.Revision)
	found, err := s.decode(object, b.Position)
	if err != nil {
		return 0, err
	}
	if found.Identity != b.Identity {
		return 0, errs.New(errs.Conflict, "another writer has the position")
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

// checkFloor reads the floor at the revision of the create. At or below the
// floor the batch is void: a later owner has compacted past it.
func (s *Shard) checkFloor(ctx context.Context, p *pendingBatch) bool {
	floor, err := s.readFloor(ctx, p.revision)
	if err != nil {
		s.retryLater(p, err)
		return false
	}
	if floor.Position >= p.batch.Position {
		s.lose("position is below the floor")
		return false
	}
	s.succeed()
	return s.complete(p, floor)
}

func (s *Shard) complete(p *pendingBatch, floor Floor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.index.Apply(p.batch); err != nil {
		// Cannot happen while one batch is in flight; the log is read again then.
		s.deps.Log.Error().Err(err).Int("shard", s.number).Msg("index is out of step")
		s.dropWaiting(errNotOwner())
		s.mode, s.index = modeAcquiring, NewIndex()
		return false
	}
	s.floor = floor
	s.inDoubt = nil
	s.notBefore = s.deps.Now().Add(s.settings.CommitInterval)
	s.deps.Counters.Batches.Add(1)
	s.deps.Counters.Records.Add(int64(len(p.batch.Records)))
	for _, call := range p.calls {
		s.afterCommit(call)
	}
	return true
}

func (s *Shard) dropBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inDoubt != nil {
		s.inDoubt.refuse(s.errStoreDown())
		s.inDoubt = nil
	}
}

// retryLater keeps the batch in doubt. Nothing else is written before its
// result is certain.
func (s *Shard) retryLater(p *pendingBatch, err error) {
	s.fail(err, "commit")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		p.refuse(s.errStoreDown())
		s.refuseQueue(s.errStoreDown())
	}
}

func (s *Shard) readFloor(ctx context.Context, revision int64) (Floor, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	object, err := s.deps.Store.Get(ctx, floorKey(s.number), max(revision, s.known))
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
