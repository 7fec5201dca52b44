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
	snapshotPartBytes  = 700 << 10 // a part is closed when it reaches this size
	maxSnapshotParts   = 1 << 12
	maxEntriesPerPart  = 1 << 16
	maxSnapshotName    = maxNameBytes + 64
	snapshotHeaderSize = 5
)

// Floor is the content of a shard's floor object. Positions up to and including
// Position are replaced by the snapshot. The zero value is the floor of a shard
// that was never compacted.
type Floor struct {
	Position uint64
	Snapshot string
	Parts    int
	Version  int64 // of the floor object in the store; 0 when there is none
}

// EncodeFloor returns the bytes of a floor object.
func EncodeFloor(f Floor) ([]byte, error) {
	e := newEncoder()
	e.array(4)
	e.uint(formatVersion)
	e.uint(f.Position)
	e.text(f.Snapshot)
	e.uint(uint64(f.Parts))
	return e.result("floor")
}

// DecodeFloor reads a floor object. Errors: errs.InvalidMessage.
func DecodeFloor(object objectstore.Object) (Floor, error) {
	d := newDecoder(object.Value)
	d.arrayOf(4)
	d.expect(formatVersion, "format")
	f := Floor{Position: d.uint(), Snapshot: string(d.bytes(maxSnapshotName)), Version: object.Version}
	parts := d.uint()
	if parts > maxSnapshotParts {
		d.fail("too many snapshot parts")
	}
	f.Parts = int(parts)
	return f, d.finish()
}

// EncodeSnapshot returns the parts of a snapshot of the entries that have not
// expired, in key order.
func EncodeSnapshot(x *Index, shard int) ([][]byte, error) {
	keys := make([]KeyID, 0, len(x.entries))
	for key, e := range x.entries {
		if !x.expired(e) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b KeyID) int { return bytes.Compare(a[:], b[:]) })
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

func encodePart(x *Index, shard int, keys []KeyID) ([]byte, int, error) {
	body, count := newEncoder(), 0
	for count < len(keys) && count < maxEntriesPerPart && body.buffer.Len() < snapshotPartBytes {
		body.entry(x, keys[count])
		count++
	}
	e := newEncoder()
	e.array(snapshotHeaderSize)
	e.uint(formatVersion)
	e.uint(uint64(shard))
	e.uint(x.position)
	e.int(x.nowMS)
	e.array(count)
	e.keep(body.err)
	_, err := body.buffer.WriteTo(&e.buffer)
	e.keep(err)
	part, err := e.result("snapshot part")
	return part, count, err
}

func (e *encoder) entry(x *Index, key KeyID) {
	v := x.entries[key]
	e.bytes(key[:])
	e.holder(x.holders[v.holder])
	e.uint(v.number)
	e.bytes(v.body[:])
	e.int(v.expiresMS)
	e.uint(uint64(v.state))
	if v.state == entryFinished {
		e.response(*v.response)
	}
}

// DecodeSnapshotPart adds the entries of one part to the index and sets its
// position. Errors: errs.TooLarge, errs.InvalidMessage.
func DecodeSnapshotPart(x *Index, data []byte, shard int, position uint64) error {
	if len(data) > objectstore.MaxValueBytes {
		return errs.New(errs.TooLarge, "snapshot part is too large")
	}
	d := newDecoder(data)
	d.arrayOf(snapshotHeaderSize)
	d.expect(formatVersion, "format")
	d.expect(uint64(shard), "shard")
	d.expect(position, "position")
	nowMS := d.time()
	count := d.array(maxEntriesPerPart)
	for i := 0; i < count && d.err == nil; i++ {
		d.entry(x)
	}
	x.position, x.nowMS = position, max(x.nowMS, nowMS)
	return d.finish()
}

func (d *decoder) entry(x *Index) {
	key := KeyID(d.hash())
	id := rpcapi.ClaimID{Holder: d.holder(), Number: d.uint()}
	e := entry{number: id.Number, body: d.hash(), expiresMS: d.time(), state: entryState(d.uint())}
	if e.state < entryRunning || e.state > entryReleased {
		d.fail("unknown entry state")
	}
	if e.state == entryFinished {
		response := d.response()
		e.response = &response
	}
	if d.err == nil {
		e.holder = x.holderNumber(id.Holder)
		x.set(key, e)
	}
}

// Store keys of a shard. Positions sort before the floor and the snapshots.
const positionDigits = 20

func shardPrefix(shard int) string { return fmt.Sprintf("journal/%d/", shard) }

func positionKey(shard int, position uint64) string {
	return shardPrefix(shard) + positionName(position)
}

func positionName(position uint64) string { return fmt.Sprintf("%0*d", positionDigits, position) }

func floorKey(shard int) string { return shardPrefix(shard) + "floor" }

func snapshotPrefix(shard int) string { return shardPrefix(shard) + "snapshot/" }

// snapshotName starts with the position, so that older snapshots sort first.
func snapshotName(position uint64, id Identity) string {
	return fmt.Sprintf("%s-%s-%d-%d", positionName(position), id.Writer.VM, id.Writer.Incarnation, id.Write)
}

func partKey(shard int, name string, part int) string {
	return fmt.Sprintf("%s%s/%06d", snapshotPrefix(shard), name, part)
}
