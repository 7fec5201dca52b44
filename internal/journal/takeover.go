package journal

import (
	"context"
	"strconv"
	"strings"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/timeline"
)

// replayPageSize is the number of objects read in one list call. With the default
// MaxBatchBytes of 512 KiB, a page holds at most 16 MiB.
const replayPageSize = 32

// takeoverTimeout bounds a takeover, which makes many store calls.
const takeoverTimeout = time.Minute

// takeOver builds the index from the store and makes this VM the owner. After an
// error the shard is not owned.
func (s *Shard) takeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	floor, err := s.readFloor(ctx, 0)
	if err != nil {
		return err
	}
	index, err := s.initialIndex(ctx, floor)
	if err != nil {
		return err
	}
	if err := s.replayJournal(ctx, index); err != nil {
		return err
	}
	revision, err := s.createTakeover(ctx, index)
	if err != nil {
		return err
	}
	// Positions are deleted only after the floor has been raised to or above them.
	// An unchanged floor shows that no position was deleted before the takeover
	// record was created, so the positions replayed above are complete.
	floorAfter, err := s.readFloor(ctx, revision)
	if err != nil {
		return err
	}
	if floorAfter.Version != floor.Version {
		return errs.New(errs.StoreStale, "the floor was raised during the takeover")
	}
	s.becomeOwner(index, floorAfter)
	return nil
}

// initialIndex returns the index that a takeover starts from. If this VM owned the
// shard before and the positions after its previous index have not been compacted,
// it returns that index, and else the index of the snapshot. The previous index is
// used for one attempt only: an attempt that fails may have applied positions that
// a newer floor makes void.
func (s *Shard) initialIndex(ctx context.Context, floor Floor) (*Index, error) {
	s.mu.Lock()
	previous := s.index
	s.index = NewIndex()
	s.mu.Unlock()
	if previous.Position() > 0 && previous.Position() >= floor.Position {
		return previous, nil
	}
	return s.loadSnapshot(ctx, floor)
}

// loadSnapshot returns the index of the floor's snapshot. It returns an empty index
// if the shard was never compacted.
func (s *Shard) loadSnapshot(ctx context.Context, floor Floor) (*Index, error) {
	index := NewIndex()
	for part := range floor.Parts {
		object, err := s.deps.Store.Get(ctx, partKey(s.number, floor.Snapshot, part), s.maxSeenRevision)
		if err != nil {
			return nil, err
		}
		if err := DecodeSnapshotPart(index, object.Value, s.number, floor.Position); err != nil {
			s.deps.Counters.BadObjects.Add(1)
			return nil, err
		}
	}
	return index, nil
}

// replayJournal applies all positions after that of the index. A gap is an error.
func (s *Shard) replayJournal(ctx context.Context, index *Index) error {
	after, revision := positionKey(s.number, index.Position()), s.maxSeenRevision
	for {
		page, err := s.deps.Store.List(ctx, shardPrefix(s.number), after, replayPageSize, revision)
		if err != nil {
			return err
		}
		revision = max(revision, page.Revision)
		for _, object := range page.Objects {
			position, ok := parsePosition(s.number, object.Key)
			if !ok {
				return nil // the floor and the snapshots sort after the positions
			}
			if err := s.applyObject(index, object, position); err != nil {
				return err
			}
			after = object.Key
		}
		if !page.More || len(page.Objects) == 0 {
			return nil
		}
	}
}

// parsePosition returns the position in a store key of the shard, or false if the
// key is not that of a position.
func parsePosition(shard int, key string) (uint64, bool) {
	text := strings.TrimPrefix(key, shardPrefix(shard))
	position, err := strconv.ParseUint(text, 10, 64)
	return position, err == nil && len(text) == positionDigits
}

// applyObject applies the object at the next position to the index. A gap shows
// that positions were deleted while they were read.
func (s *Shard) applyObject(index *Index, object objectstore.Object, position uint64) error {
	if position != index.Position()+1 {
		return errs.New(errs.StoreStale, "the journal has a gap: positions were deleted while they were read")
	}
	batch, err := s.decode(object, position)
	if err != nil {
		return err
	}
	return index.Apply(batch)
}

// maxTakeoverConflicts bounds the number of times that one takeover finds the next
// position taken, by a former owner that still writes or because a list was stale.
const maxTakeoverConflicts = 50

// createTakeover writes the takeover record at the first free position and
// returns its revision. It reads and applies the positions that are already taken.
func (s *Shard) createTakeover(ctx context.Context, index *Index) (int64, error) {
	for range maxTakeoverConflicts {
		if !s.isAcquiring() {
			return 0, errNotOwner()
		}
		batch := s.newTakeoverBatch(index)
		data, err := EncodeBatch(batch)
		if err != nil {
			return 0, err
		}
		revision, err := s.createWithRetries(ctx, batch, data)
		if err == nil {
			return revision, index.Apply(batch)
		}
		if !errs.Is(err, errs.Conflict) {
			return 0, err
		}
		if err := s.replayNextPosition(ctx, index); err != nil {
			return 0, err
		}
		if err := s.replayJournal(ctx, index); err != nil {
			return 0, err
		}
	}
	return 0, errs.New(errs.StoreStale, "the takeover found the next journal position taken too often")
}

// isAcquiring reports whether the shard is still assigned to this VM and not owned
// yet. A takeover record of a VM that should no longer own the shard would only
// interrupt the owner.
func (s *Shard) isAcquiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == modeAcquiring
}

func (s *Shard) newTakeoverBatch(index *Index) *Batch {
	s.lastSequence++
	return &Batch{
		Shard: s.number, Position: index.Position() + 1,
		WriteID: WriteID{Writer: s.settings.Self, Sequence: s.lastSequence},
		TimeMS:  index.nowMS, Records: []Record{{Kind: RecordTakeover}},
	}
}

// createWithRetries creates the object of a takeover batch and repeats the create if
// its result is uncertain, up to attemptsBeforeRefusal attempts. A takeover record
// whose result stays uncertain is harmless, because it contains no claim.
func (s *Shard) createWithRetries(ctx context.Context, batch *Batch, data []byte) (int64, error) {
	var err error
	for range attemptsBeforeRefusal {
		var revision int64
		revision, err = s.createObject(ctx, batch, data)
		if err == nil || errs.Is(err, errs.Conflict) || errs.Is(err, errs.StoreUnavailable) {
			return revision, err
		}
	}
	return 0, err
}

// replayNextPosition reads the position after that of the index and applies it.
func (s *Shard) replayNextPosition(ctx context.Context, index *Index) error {
	position := index.Position() + 1
	object, err := s.deps.Store.Get(ctx, positionKey(s.number, position), s.maxSeenRevision)
	if err != nil {
		return err
	}
	return s.applyObject(index, object, position)
}

// becomeOwner completes a takeover.
func (s *Shard) becomeOwner(index *Index, floor Floor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != modeAcquiring {
		return // no longer assigned to this VM
	}
	s.index, s.floor, s.mode = index, floor, modeOwned
	s.storeDown, s.consecutiveFailures, s.activeCompaction = false, 0, nil
	s.ownedSince = s.deps.Now()
	s.deps.Counters.Takeovers.Add(1)
	detail := "position " + strconv.FormatUint(index.Position(), 10)
	s.recordEvent(timeline.ShardTakenOver, detail)
	s.deps.Log.Info().Int("shard", s.number).Uint64("position", index.Position()).Msg("journal shard taken over")
}
