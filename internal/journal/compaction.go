package journal

import (
	"context"
	"strings"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// Pace of a compaction.
const (
	compactionCalls = 2  // store calls after each batch
	sweepPage       = 8  // objects of former owners read at once
	overduePerRound = 64 // claims without outcome closed by one compaction
)

type compactionStage uint8

const (
	stageParts compactionStage = iota // create the snapshot's parts
	stageFloor                        // raise the floor
	stageLog                          // delete the positions below the floor
	stageOld                          // delete the former snapshot
	stageSweep                        // delete what former owners left behind
	stageDone
)

// compaction replaces the positions up to one position by a snapshot, in small
// steps between batches.
//
// Invariant: nothing is deleted before the floor is certainly raised.
type compaction struct {
	stage    compactionStage
	old      Floor
	floor    Floor
	parts    [][]byte
	part     int
	position uint64 // next to delete
}

// compactStep makes up to compactionCalls store calls.
func (s *Shard) compactStep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	for range compactionCalls {
		c := s.currentCompaction()
		if c == nil {
			return
		}
		err := s.compactCall(ctx, c)
		if errs.Is(err, errs.Conflict) {
			s.abandonCompaction(ctx, c)
			return
		}
		if err != nil {
			s.fail(err, "compaction")
			return
		}
		if c.stage == stageDone {
			s.setCompaction(nil)
		}
	}
	s.pace()
}

// pace keeps compaction calls at the rate of batches.
func (s *Shard) pace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next := s.deps.Now().Add(s.settings.CommitInterval); s.notBefore.Before(next) && len(s.queue) == 0 {
		s.notBefore = next
	}
}

func (s *Shard) setCompaction(c *compaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact = c
}

// currentCompaction returns the compaction in progress, starts one when enough
// positions are above the floor, or returns nil.
func (s *Shard) currentCompaction() *compaction {
	index, old, current := s.prepareCompaction()
	if index == nil {
		return current
	}
	// Only Step changes the index, so that it can be read here without the lock.
	parts, err := EncodeSnapshot(index, s.number)
	if err != nil {
		s.deps.Log.Error().Err(err).Int("shard", s.number).Msg("cannot encode journal snapshot")
		return nil
	}
	s.write++
	position := index.Position()
	name := snapshotName(position, Identity{Writer: s.settings.Self, Write: s.write})
	c := &compaction{
		old: old, parts: parts, position: old.Position + 1,
		floor: Floor{Position: position, Snapshot: name, Parts: len(parts)},
	}
	s.setCompaction(c)
	return c
}

// prepareCompaction returns the index and the floor to compact from, without what
// has expired. Without a due compaction it returns the one in progress, or nil.
func (s *Shard) prepareCompaction() (*Index, Floor, *compaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compact != nil || s.mode != modeOwned || s.inDoubt != nil {
		return nil, Floor{}, s.compact
	}
	if s.index.Position()-s.floor.Position < uint64(s.settings.CompactPositions) {
		return nil, Floor{}, s.compact
	}
	s.closeOverdue()
	s.index.RemoveExpired()
	return s.index, s.floor, nil
}

// closeOverdue records an unknown outcome for old claims whose holder is gone,
// so that they expire. Claims of holders that are not gone never expire, because
// the holder may still send the call. Callers hold the lock.
func (s *Shard) closeOverdue() {
	for _, record := range s.index.overdue(overduePerRound) {
		if s.deps.Liveness.Gone(record.ID.Holder) {
			s.queue = append(s.queue, &Call{record: record, done: make(chan struct{})})
		}
	}
}

func (s *Shard) compactCall(ctx context.Context, c *compaction) error {
	switch c.stage {
	case stageParts:
		return s.writePart(ctx, c)
	case stageFloor:
		return s.raiseFloor(ctx, c)
	case stageLog:
		return s.deletePosition(ctx, c)
	case stageOld:
		return s.deleteOldPart(ctx, c)
	}
	return s.sweep(ctx, c)
}

func (s *Shard) writePart(ctx context.Context, c *compaction) error {
	key := partKey(s.number, c.floor.Snapshot, c.part)
	_, err := s.deps.Store.Create(ctx, key, c.parts[c.part])
	// The name is unique to this compaction: a conflict means that an earlier
	// attempt took effect.
	if err != nil && !errs.Is(err, errs.Conflict) {
		return err
	}
	c.part++
	if c.part == len(c.parts) {
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
	if c.old.Version == 0 {
		object, err = s.deps.Store.Create(ctx, floorKey(s.number), data)
	} else {
		object, err = s.deps.Store.Update(ctx, floorKey(s.number), data, c.old.Version)
	}
	if err == nil {
		s.floorRaised(c, object.Version)
		return nil
	}
	if !errs.Is(err, errs.Conflict) {
		return err
	}
	return s.resolveFloor(ctx, c)
}

// resolveFloor reads the floor after a conflict: either an earlier attempt took
// effect, or another VM raised it.
func (s *Shard) resolveFloor(ctx context.Context, c *compaction) error {
	floor, err := s.readFloor(ctx, 0)
	switch {
	case err != nil:
		return errs.As(err)
	case floor.Snapshot == c.floor.Snapshot:
		s.floorRaised(c, floor.Version)
		return nil
	case floor.Version > c.old.Version:
		s.adoptFloor(floor)
		return errs.New(errs.Conflict, "another VM raised the floor")
	}
	return errs.New(errs.StoreStale, "the floor read is older than the conflict")
}

// adoptFloor takes over a floor that another VM raised. Above the own position
// only a later owner can raise it.
func (s *Shard) adoptFloor(floor Floor) {
	s.mu.Lock()
	above := floor.Position > s.index.Position()
	if !above {
		s.floor = floor
	}
	s.mu.Unlock()
	if above {
		s.lose("the floor is above the position")
	}
}

func (s *Shard) floorRaised(c *compaction, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.floor.Version, c.part, c.stage = version, 0, stageLog
	s.floor = c.floor
	s.deps.Counters.Compactions.Add(1)
}

func (s *Shard) deletePosition(ctx context.Context, c *compaction) error {
	if err := s.remove(ctx, positionKey(s.number, c.position)); err != nil {
		return err
	}
	c.position++
	if c.position > c.floor.Position {
		c.stage = stageOld
	}
	return nil
}

func (s *Shard) deleteOldPart(ctx context.Context, c *compaction) error {
	if c.part >= c.old.Parts {
		c.stage = stageSweep
		return nil
	}
	err := s.remove(ctx, partKey(s.number, c.old.Snapshot, c.part))
	c.part++
	return err
}

// remove deletes an object that is written only once. Uncertain results do not
// matter: a later sweep finds what is left.
func (s *Shard) remove(ctx context.Context, key string) error {
	err := s.deps.Store.Delete(ctx, key, 1)
	if errs.Is(err, errs.StoreUnavailable) {
		return err
	}
	return nil
}

// sweep deletes objects that interrupted compactions and delayed writes of
// former owners left at or below the floor. Their conditional updates of the
// floor can no longer succeed, because this VM has raised it since.
func (s *Shard) sweep(ctx context.Context, c *compaction) error {
	c.stage = stageDone
	for _, prefix := range [...]string{shardPrefix(s.number), snapshotPrefix(s.number)} {
		page, err := s.deps.Store.List(ctx, prefix, "", sweepPage, s.known)
		if err != nil {
			return err
		}
		for _, object := range page.Objects {
			if !s.garbage(object.Key, c.floor) {
				break
			}
			if err := s.remove(ctx, object.Key); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Shard) garbage(key string, floor Floor) bool {
	if position, ok := parsePosition(s.number, key); ok {
		return position <= floor.Position
	}
	name, found := strings.CutPrefix(key, snapshotPrefix(s.number))
	live := strings.HasPrefix(name, floor.Snapshot+"/")
	return found && !live && name < positionName(floor.Position+1)
}

// abandonCompaction ends a compaction whose floor another VM has raised. The
// parts are unused, because the conditional update can no longer succeed.
func (s *Shard) abandonCompaction(ctx context.Context, c *compaction) {
	for part := range c.floor.Parts {
		if err := s.remove(ctx, partKey(s.number, c.floor.Snapshot, part)); err != nil {
			break
		}
	}
	s.setCompaction(nil)
}
