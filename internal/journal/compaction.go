package journal

import (
	"context"
	"strings"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// Limits of the work of one compaction step.
const (
	compactionStepsPerBatch = 2  // runs of the current stage after each batch, most of them one store call
	sweepPageSize           = 8  // objects listed under each prefix in one sweep
	maxOverduePerCompaction = 64 // claims without an outcome that one compaction closes
)

// compactionStage is the next kind of work of a compaction.
type compactionStage uint8

const (
	stageParts       compactionStage = iota // create the parts of the snapshot
	stageFloor                              // raise the floor
	stagePositions                          // delete the positions up to the new floor
	stageOldSnapshot                        // delete the previous snapshot
	stageSweep                              // delete objects that former owners left behind
	stageDone
)

// compaction replaces the positions up to one position by a snapshot. It works in
// small steps between batches.
//
// Invariant: nothing is deleted before the floor is certainly raised.
type compaction struct {
	stage    compactionStage
	oldFloor Floor
	floor    Floor
	parts    [][]byte
	nextPart int
	position uint64 // next position to delete
}

// advanceCompaction runs the current stage of the compaction up to
// compactionStepsPerBatch times.
func (s *Shard) advanceCompaction(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	for range compactionStepsPerBatch {
		c := s.currentCompaction()
		if c == nil {
			return
		}
		err := s.runCompactionStage(ctx, c)
		if errs.Is(err, errs.Conflict) {
			s.abandonCompaction(ctx, c)
			return
		}
		if err != nil {
			s.handleStoreFailure(err, "compaction")
			return
		}
		if c.stage == stageDone {
			s.setCompaction(nil)
		}
	}
	s.throttleCompaction()
}

// throttleCompaction delays the next step by the commit interval when no calls
// are queued, so that compaction proceeds at the rate of batches.
func (s *Shard) throttleCompaction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next := s.deps.Now().Add(s.settings.CommitInterval); s.notBefore.Before(next) && len(s.queue) == 0 {
		s.notBefore = next
	}
}

func (s *Shard) setCompaction(c *compaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCompaction = c
}

// currentCompaction returns the compaction in progress. If there is none, it
// starts one when enough positions are above the floor, and else returns nil.
func (s *Shard) currentCompaction() *compaction {
	index, oldFloor, current := s.prepareCompaction()
	if index == nil {
		return current
	}
	// Only Step changes the index, so it can be read here without the lock.
	parts, err := EncodeSnapshot(index, s.number)
	if err != nil {
		s.deps.Log.Error().Err(err).Int("shard", s.number).Msg("cannot encode journal snapshot")
		return nil
	}
	s.lastSequence++
	position := index.Position()
	name := snapshotName(position, WriteID{Writer: s.settings.Self, Sequence: s.lastSequence})
	c := &compaction{
		oldFloor: oldFloor, parts: parts, position: oldFloor.Position + 1,
		floor: Floor{Position: position, Snapshot: name, Parts: len(parts)},
	}
	s.setCompaction(c)
	return c
}

// prepareCompaction returns the index, without its expired entries, and the floor
// if a new compaction is due. Otherwise the index is nil, and the third result is
// the compaction in progress, or nil.
func (s *Shard) prepareCompaction() (*Index, Floor, *compaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeCompaction != nil || s.mode != modeOwned || s.pending != nil {
		return nil, Floor{}, s.activeCompaction
	}
	if s.index.Position()-s.floor.Position < uint64(s.settings.CompactionThreshold) {
		return nil, Floor{}, s.activeCompaction
	}
	s.closeOverdueClaims()
	s.index.RemoveExpired()
	return s.index, s.floor, nil
}

// closeOverdueClaims queues an unknown outcome for claims whose retention has ended
// and whose holder is gone, so that they expire. Claims of holders that are not
// gone never expire, because the holder may still send the call. Callers hold the
// lock.
func (s *Shard) closeOverdueClaims() {
	for _, record := range s.index.overdueClaims(maxOverduePerCompaction) {
		if s.deps.Liveness.Gone(record.ID.Holder) {
			s.queue = append(s.queue, &Call{record: record, done: make(chan struct{})})
		}
	}
}

// runCompactionStage runs the current stage once.
func (s *Shard) runCompactionStage(ctx context.Context, c *compaction) error {
	switch c.stage {
	case stageParts:
		return s.writePart(ctx, c)
	case stageFloor:
		return s.raiseFloor(ctx, c)
	case stagePositions:
		return s.deletePosition(ctx, c)
	case stageOldSnapshot:
		return s.deleteOldPart(ctx, c)
	}
	return s.sweep(ctx, c)
}

func (s *Shard) writePart(ctx context.Context, c *compaction) error {
	key := partKey(s.number, c.floor.Snapshot, c.nextPart)
	_, err := s.deps.Store.Create(ctx, key, c.parts[c.nextPart])
	// The name of the snapshot is unique to this compaction, so a conflict means
	// that an earlier attempt took effect.
	if err != nil && !errs.Is(err, errs.Conflict) {
		return err
	}
	c.nextPart++
	if c.nextPart == len(c.parts) {
		c.parts, c.stage = nil, stageFloor
	}
	return nil
}

func (s *Shard) raiseFloor(ctx context.Context, c *compaction) error {
	data, err := EncodeFloor(c.floor)
	if err != nil {
		return err
	}
	var object objectstore.Object
	if c.oldFloor.Version == 0 {
		object, err = s.deps.Store.Create(ctx, floorKey(s.number), data)
	} else {
		object, err = s.deps.Store.Update(ctx, floorKey(s.number), data, c.oldFloor.Version)
	}
	if err == nil {
		s.applyRaisedFloor(c, object.Version)
		return nil
	}
	if !errs.Is(err, errs.Conflict) {
		return err
	}
	return s.resolveFloorConflict(ctx, c)
}

// resolveFloorConflict reads the floor after a conflict. Either an earlier attempt to
// raise the floor took effect, or another VM has raised it.
func (s *Shard) resolveFloorConflict(ctx context.Context, c *compaction) error {
	floor, err := s.readFloor(ctx, 0)
	switch {
	case err != nil:
		return errs.As(err)
	case floor.Snapshot == c.floor.Snapshot:
		s.applyRaisedFloor(c, floor.Version)
		return nil
	case floor.Version > c.oldFloor.Version:
		s.adoptFloor(floor)
		return errs.New(errs.Conflict, "another VM raised the floor")
	}
	return errs.New(errs.StoreStale, "the floor that was read is older than the one that caused the conflict")
}

// adoptFloor accepts a floor that another VM raised. If that floor is above the
// position of the index, ownership is lost, because only a later owner can raise
// it so far.
func (s *Shard) adoptFloor(floor Floor) {
	s.mu.Lock()
	above := floor.Position > s.index.Position()
	if !above {
		s.floor = floor
	}
	s.mu.Unlock()
	if above {
		s.loseOwnership("the floor is above the position")
	}
}

// applyRaisedFloor records that the compaction has raised the floor.
func (s *Shard) applyRaisedFloor(c *compaction, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.floor.Version, c.nextPart, c.stage = version, 0, stagePositions
	s.floor = c.floor
	s.deps.Counters.Compactions.Add(1)
}

func (s *Shard) deletePosition(ctx context.Context, c *compaction) error {
	if err := s.deleteObject(ctx, positionKey(s.number, c.position)); err != nil {
		return err
	}
	c.position++
	if c.position > c.floor.Position {
		c.stage = stageOldSnapshot
	}
	return nil
}

func (s *Shard) deleteOldPart(ctx context.Context, c *compaction) error {
	if c.nextPart >= c.oldFloor.Parts {
		c.stage = stageSweep
		return nil
	}
	err := s.deleteObject(ctx, partKey(s.number, c.oldFloor.Snapshot, c.nextPart))
	c.nextPart++
	return err
}

// deleteObject deletes an object that is never updated, and so has version 1. Only
// an unavailable store is an error: after any other result, a later sweep deletes
// what is left.
func (s *Shard) deleteObject(ctx context.Context, key string) error {
	err := s.deps.Store.Delete(ctx, key, 1)
	if errs.Is(err, errs.StoreUnavailable) {
		return err
	}
	return nil
}

// sweep deletes objects at or below the floor that former owners left behind
// through interrupted compactions and delayed writes. The conditional floor
// updates of these compactions can no longer succeed, because this VM has raised
// the floor since.
func (s *Shard) sweep(ctx context.Context, c *compaction) error {
	c.stage = stageDone
	for _, prefix := range [...]string{shardPrefix(s.number), snapshotPrefix(s.number)} {
		page, err := s.deps.Store.List(ctx, prefix, "", sweepPageSize, s.maxSeenRevision)
		if err != nil {
			return err
		}
		for _, object := range page.Objects {
			if !s.isGarbage(object.Key, c.floor) {
				break
			}
			if err := s.deleteObject(ctx, object.Key); err != nil {
				return err
			}
		}
	}
	return nil
}

// isGarbage reports whether the object is a position at or below the floor, or
// part of another snapshot at or below the floor than the floor's own.
func (s *Shard) isGarbage(key string, floor Floor) bool {
	if position, ok := parsePosition(s.number, key); ok {
		return position <= floor.Position
	}
	name, found := strings.CutPrefix(key, snapshotPrefix(s.number))
	current := strings.HasPrefix(name, floor.Snapshot+"/")
	return found && !current && name < positionName(floor.Position+1)
}

// abandonCompaction ends a compaction after another VM has raised the floor, and
// deletes its snapshot. Nothing refers to the snapshot, because the conditional
// update of the floor can no longer succeed.
func (s *Shard) abandonCompaction(ctx context.Context, c *compaction) {
	for part := range c.floor.Parts {
		if err := s.deleteObject(ctx, partKey(s.number, c.floor.Snapshot, part)); err != nil {
			break
		}
	}
	s.setCompaction(nil)
}
