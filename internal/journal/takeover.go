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

// chainPage is the number of objects read at once. A page holds at most
// chainPage batches of MaxBatchBytes, 16 MiB.
const chainPage = 32

// takeoverTimeout bounds a takeover, which makes many store calls.
const takeoverTimeout = time.Minute

// takeOver builds the index from the store and becomes owner. Errors leave the
// shard not owned.
func (s *Shard) takeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	floor, err := s.readFloor(ctx, 0)
	if err != nil {
		return err
	}
	index, err := s.startIndex(ctx, floor)
	if err != nil {
		return err
	}
	if err := s.readChain(ctx, index); err != nil {
		return err
	}
	revision, err := s.createTakeover(ctx, index)
	if err != nil {
		return err
	}
	// Positions are deleted only after the floor was raised above them. An
	// unchanged floor shows that no position was deleted before the takeover
	// record was created, so the chain read above is complete.
	again, err := s.readFloor(ctx, revision)
	if err != nil {
		return err
	}
	if again.Version != floor.Version {
		return errs.New(errs.StoreStale, "the floor was raised during the takeover")
	}
	s.own(index, again)
	return nil
}

// startIndex returns the index of a lost ownership when the positions after it
// are still in the log, else the snapshot. The former index is used for one
// attempt only: an attempt that fails may have applied positions that a newer
// floor makes void.
func (s *Shard) startIndex(ctx context.Context, floor Floor) (*Index, error) {
	s.mu.Lock()
	former := s.index
	s.index = NewIndex()
	s.mu.Unlock()
	if former.Position() > 0 && former.Position() >= floor.Position {
		return former, nil
	}
	return s.loadSnapshot(ctx, floor)
}

func (s *Shard) loadSnapshot(ctx context.Context, floor Floor) (*Index, error) {
	index := NewIndex()
	for part := range floor.Parts {
		object, err := s.deps.Store.Get(ctx, partKey(s.number, floor.Snapshot, part), s.known)
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

// readChain applies all positions above the index's position without a gap.
func (s *Shard) readChain(ctx context.Context, index *Index) error {
	after, revision := positionKey(s.number, index.Position()), s.known
	for {
		page, err := s.deps.Store.List(ctx, shardPrefix(s.number), after, chainPage, revision)
		if err != nil {
			return err
		}
		revision = max(revision, page.Revision)
		for _, object := range page.Objects {
			position, ok := parsePosition(s.number, object.Key)
			if !ok {
				return nil // floor and snapshots sort after the positions
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

func parsePosition(shard int, key string) (uint64, bool) {
	text := strings.TrimPrefix(key, shardPrefix(shard))
	position, err := strconv.ParseUint(text, 10, 64)
	return position, err == nil && len(text) == positionDigits
}

// applyObject adds the next position. A gap shows that positions were deleted
// while they were read.
func (s *Shard) applyObject(index *Index, object objectstore.Object, position uint64) error {
	if position != index.Position()+1 {
		return errs.New(errs.StoreStale, "the chain of journal positions has a gap")
	}
	batch, err := s.decode(object, position)
	if err != nil {
		return err
	}
	return index.Apply(batch)
}

// maxChase bounds how often one takeover attempt loses the next position to a
// former owner that still writes, or to a list that is behind.
const maxChase = 50

// createTakeover writes the takeover record at the first free position and
// returns its revision. Positions found taken are read and applied.
func (s *Shard) createTakeover(ctx context.Context, index *Index) (int64, error) {
	for range maxChase {
		if !s.acquiring() {
			return 0, errNotOwner()
		}
		batch := s.takeoverBatch(index)
		data, err := EncodeBatch(batch)
		if err != nil {
			return 0, err
		}
		revision, err := s.createCertain(ctx, batch, data)
		if err == nil {
			return revision, index.Apply(batch)
		}
		if !errs.Is(err, errs.Conflict) {
			return 0, err
		}
		if err := s.followChain(ctx, index); err != nil {
			return 0, err
		}
		if err := s.readChain(ctx, index); err != nil {
			return 0, err
		}
	}
	return 0, errs.New(errs.StoreStale, "the former owner writes faster than its journal can be read")
}

// acquiring reports whether this VM still should own the shard. A takeover record
// of a VM that no longer should would only interrupt the owner.
func (s *Shard) acquiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == modeAcquiring
}

func (s *Shard) takeoverBatch(index *Index) *Batch {
	s.write++
	return &Batch{
		Shard: s.number, Position: index.Position() + 1,
		Identity: Identity{Writer: s.settings.Self, Write: s.write},
		TimeMS:   index.nowMS, Records: []Record{{Kind: RecordTakeover}},
	}
}

// createCertain repeats an uncertain create a few times. A takeover record
// without a certain result is harmless: it holds no claim.
func (s *Shard) createCertain(ctx context.Context, batch *Batch, data []byte) (int64, error) {
	var err error
	for range attemptsBeforeRefusal {
		var revision int64
		revision, err = s.create(ctx, batch, data)
		if err == nil || errs.Is(err, errs.Conflict) || errs.Is(err, errs.StoreUnavailable) {
			return revision, err
		}
	}
	return 0, err
}

func (s *Shard) followChain(ctx context.Context, index *Index) error {
	position := index.Position() + 1
	object, err := s.deps.Store.Get(ctx, positionKey(s.number, position), s.known)
	if err != nil {
		return err
	}
	return s.applyObject(index, object, position)
}

func (s *Shard) own(index *Index, floor Floor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != modeAcquiring {
		return // no longer wanted
	}
	s.index, s.floor, s.mode = index, floor, modeOwned
	s.storeDown, s.failures, s.compact = false, 0, nil
	s.ownedSince = s.deps.Now()
	s.deps.Counters.Takeovers.Add(1)
	detail := "position " + strconv.FormatUint(index.Position(), 10)
	s.record(timeline.ShardTakenOver, detail)
	s.deps.Log.Info().Int("shard", s.number).Uint64("position", index.Position()).Msg("journal shard taken over")
}
