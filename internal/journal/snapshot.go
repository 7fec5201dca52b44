package journal

import (
	"bytes"
	"fmt"
	"slices"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/rpcapi"
)

// Limits of snapshots.
const (
	targetSnapshotPartBytes = 700 << 10 // a part gets no further entries once it has this size
	maxSnapshotParts        = 1 << 12
	maxEntriesPerPart       = 1 << 16
	maxSnapshotNameBytes    = maxNameBytes + 64
	snapshotHeaderFields    = 5 // the last one is the array of entries
)

// Floor is the content of a shard's floor object: the last position that
// compaction has replaced, and the snapshot that replaces the positions up to and
// including it. The zero value is the floor of a shard that was never compacted.
type Floor struct {
	Position uint64
	Snapshot string // name of the snapshot
	Parts    int    // number of parts of the snapshot
	Version  int64  // version of the floor object in the store; 0 if there is none
}

// EncodeFloor returns the encoding of a floor object.
func EncodeFloor(f Floor) ([]byte, error) {
	e := newEncoder()
	e.arrayLen(4)
	e.uint(formatVersion)
	e.uint(f.Position)
	e.text(f.Snapshot)
	e.uint(uint64(f.Parts))
	return e.result("floor")
}

// DecodeFloor decodes a floor object. Errors: errs.InvalidMessage.
func DecodeFloor(object objectstore.Object) (Floor, error) {
	d := newDecoder(object.Value)
	d.expectArrayLen(4)
	d.expectUint(formatVersion, "format")
	f := Floor{Position: d.uint(), Snapshot: string(d.bytes(maxSnapshotNameBytes)), Version: object.Version}
	parts := d.uint()
	if parts > maxSnapshotParts {
		d.fail("too many snapshot parts")
	}
	f.Parts = int(parts)
	return f, d.finish()
}

// EncodeSnapshot returns the parts of a snapshot, at least one. The snapshot holds
// the entries of the index that have not expired, sorted by key hash.
func EncodeSnapshot(x *Index, shard int) ([][]byte, error) {
	keys := make([]KeyHash, 0, len(x.entries))
	for key, e := range x.entries {
		if !x.expired(e) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b KeyHash) int { return bytes.Compare(a[:], b[:]) })
	var parts [][]byte
	for first := true; first || len(keys) > 0; first = false {
		part, count, err := encodePart(x, shard, keys)
		if err != nil {
			return nil, err
		}
		parts, keys = append(parts, part), keys[count:]
	}
	if len(parts) > maxSnapshotParts {
		return nil, errs.New(errs.TooLarge, "snapshot has too many parts")
	}
	return parts, nil
}

// encodePart encodes as many of the keys as fit into one part, and returns the
// part and their number.
func encodePart(x *Index, shard int, keys []KeyHash) ([]byte, int, error) {
	body, count := newEncoder(), 0
	for count < len(keys) && count < maxEntriesPerPart && body.buffer.Len() < targetSnapshotPartBytes {
		body.entry(x, keys[count])
		count++
	}
	e := newEncoder()
	e.arrayLen(snapshotHeaderFields)
	e.uint(formatVersion)
	e.uint(uint64(shard))
	e.uint(x.position)
	e.int(x.nowMS)
	e.arrayLen(count)
	e.setErr(body.err)
	_, err := body.buffer.WriteTo(&e.buffer)
	e.setErr(err)
	part, err := e.result("snapshot part")
	return part, count, err
}

func (e *encoder) entry(x *Index, key KeyHash) {
	stored := x.entries[key]
	e.bytes(key[:])
	e.holder(x.holders[stored.holder])
	e.uint(stored.claimNumber)
	e.bytes(stored.bodyHash[:])
	e.int(stored.expiresMS)
	e.uint(uint64(stored.state))
	if stored.state == entryFinished {
		e.response(*stored.response)
	}
}

// DecodeSnapshotPart adds the entries of one part to the index and sets the
// position of the index. Errors: errs.TooLarge, errs.InvalidMessage.
func DecodeSnapshotPart(x *Index, data []byte, shard int, position uint64) error {
	if len(data) > objectstore.MaxValueBytes {
		return errs.New(errs.TooLarge, "snapshot part is too large")
	}
	d := newDecoder(data)
	d.expectArrayLen(snapshotHeaderFields)
	d.expectUint(formatVersion, "format")
	d.expectUint(uint64(shard), "shard")
	d.expectUint(position, "position")
	nowMS := d.millis()
	count := d.arrayLen(maxEntriesPerPart)
	for i := 0; i < count && d.err == nil; i++ {
		d.entry(x)
	}
	x.position, x.nowMS = position, max(x.nowMS, nowMS)
	return d.finish()
}

func (d *decoder) entry(x *Index) {
	key := KeyHash(d.hash())
	id := rpcapi.ClaimID{Holder: d.holder(), Number: d.uint()}
	e := entry{claimNumber: id.Number, bodyHash: d.hash(), expiresMS: d.millis(), state: entryState(d.uint())}
	if e.state < entryRunning || e.state > entryReleased {
		d.fail("unknown entry state")
	}
	if e.state == entryFinished {
		response := d.response()
		e.response = &response
	}
	if d.err == nil {
		e.holder = x.holderIndexOf(id.Holder)
		x.put(key, e)
	}
}

// positionDigits is the number of decimal digits of a position in a store key.
// The fixed width sorts positions by their number, and before the floor and the
// snapshots of the shard.
const positionDigits = 20

func shardPrefix(shard int) string { return fmt.Sprintf("journal/%d/", shard) }

func positionKey(shard int, position uint64) string {
	return shardPrefix(shard) + positionName(position)
}

func positionName(position uint64) string { return fmt.Sprintf("%0*d", positionDigits, position) }

func floorKey(shard int) string { return shardPrefix(shard) + "floor" }

func snapshotPrefix(shard int) string { return shardPrefix(shard) + "snapshot/" }

// snapshotName starts with the position, so that older snapshots sort first.
func snapshotName(position uint64, id WriteID) string {
	return fmt.Sprintf("%s-%s-%d-%d", positionName(position), id.Writer.VM, id.Writer.Incarnation, id.Sequence)
}

func partKey(shard int, name string, part int) string {
	return fmt.Sprintf("%s%s/%06d", snapshotPrefix(shard), name, part)
}
