package journal

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// releaseRetention is how long a released claim id is remembered, so that a
// delayed duplicate of its claim request cannot occupy the key again.
const releaseRetention = 10 * time.Minute

// Sizes for the accounting of the index's memory, from
// BenchmarkIndexMemory.
const (
	entryBytes    = 150 // map slot with key and entry
	responseBytes = 80  // stored response without content type and body
)

type entryState uint8

const (
	entryRunning entryState = iota + 1
	entryFinished
	entryUnknown  // the holder reported that it cannot tell whether the call ran
	entryReleased // free for every claim id but the released one
)

type entry struct {
	body      BodyID
	number    uint64
	expiresMS int64
	response  *rpcapi.StoredResponse
	holder    uint32 // index into Index.holders
	state     entryState
}

// Index is the state of a shard's keys. It is a pure function of the batches
// applied in order: time advances only with the batches' times.
//
// Invariants: an entry without an outcome never expires; the other entries
// expire at the end of the retention that the batch carried.
type Index struct {
	entries  map[KeyID]entry
	holders  []model.Holder
	numbers  map[model.Holder]uint32
	position uint64
	nowMS    int64
	bytes    int
}

// NewIndex returns the empty index before the first position.
func NewIndex() *Index {
	return &Index{entries: make(map[KeyID]entry), numbers: make(map[model.Holder]uint32)}
}

// Position returns the position of the last batch applied.
func (x *Index) Position() uint64 { return x.position }

// Bytes returns the estimated memory of the entries.
func (x *Index) Bytes() int { return x.bytes }

// Len returns the number of entries, including expired ones not yet removed.
func (x *Index) Len() int { return len(x.entries) }

// Apply adds the batch of the next position. Errors: errs.Internal when the
// batch is not the next one; the index is unchanged then.
func (x *Index) Apply(b *Batch) error {
	if b.Position != x.position+1 {
		return errs.New(errs.Internal, "batch does not follow the index")
	}
	x.position = b.Position
	x.nowMS = max(x.nowMS, b.TimeMS)
	for i := range b.Records {
		x.applyRecord(&b.Records[i], b.Retention)
	}
	return nil
}

func (x *Index) applyRecord(r *Record, retentionMS int64) {
	e, live := x.live(r.Key)
	owns := live && x.idOf(e) == r.ID
	free := !live || (e.state == entryReleased && !owns)
	switch r.Kind {
	case RecordClaim:
		if free {
			x.set(r.Key, x.newEntry(r, entryRunning, retentionMS))
		}
	case RecordOutcome:
		if owns && (e.state == entryRunning || e.state == entryUnknown) {
			x.set(r.Key, x.withOutcome(e, r, retentionMS))
		}
	case RecordRelease:
		if !live || (owns && e.state == entryRunning) {
			x.set(r.Key, x.newEntry(r, entryReleased, min(retentionMS, releaseRetention.Milliseconds())))
		}
	}
}

func (x *Index) newEntry(r *Record, state entryState, retentionMS int64) entry {
	return entry{
		body: r.Body, holder: x.holderNumber(r.ID.Holder), number: r.ID.Number,
		state: state, expiresMS: x.nowMS + retentionMS,
	}
}

func (x *Index) withOutcome(e entry, r *Record, retentionMS int64) entry {
	e.expiresMS = x.nowMS + retentionMS
	if r.Unknown {
		e.state = entryUnknown
		return e
	}
	e.state = entryFinished
	response := r.Response
	e.response = &response
	return e
}

func (x *Index) holderNumber(holder model.Holder) uint32 {
	number, found := x.numbers[holder]
	if !found {
		number = uint32(len(x.holders))
		x.holders = append(x.holders, holder)
		x.numbers[holder] = number
	}
	return number
}

func (x *Index) idOf(e entry) rpcapi.ClaimID {
	return rpcapi.ClaimID{Holder: x.holders[e.holder], Number: e.number}
}

func (x *Index) live(key KeyID) (entry, bool) {
	e, found := x.entries[key]
	return e, found && !x.expired(e)
}

func (x *Index) expired(e entry) bool {
	return e.state != entryRunning && e.expiresMS <= x.nowMS
}

func (x *Index) set(key KeyID, e entry) {
	if old, found := x.entries[key]; found {
		x.bytes -= old.size()
	}
	x.entries[key] = e
	x.bytes += e.size()
}

func (e entry) size() int {
	if e.response == nil {
		return entryBytes
	}
	return entryBytes + responseBytes + len(e.response.ContentType) + len(e.response.Body)
}

// RemoveExpired frees the memory of expired entries. It does not change the
// state of any key.
func (x *Index) RemoveExpired() {
	for key, e := range x.entries {
		if x.expired(e) {
			x.bytes -= e.size()
			delete(x.entries, key)
		}
	}
}

// overdue returns up to limit claims that have had no outcome for the whole
// retention.
func (x *Index) overdue(limit int) []Record {
	var records []Record
	for key, e := range x.entries {
		if e.state == entryRunning && e.expiresMS <= x.nowMS && len(records) < limit {
			records = append(records, Record{Kind: RecordOutcome, Key: key, ID: x.idOf(e), Unknown: true})
		}
	}
	return records
}

// KeyState is what the index knows about a key.
type KeyState struct {
	State    rpcapi.ClaimState
	Holder   model.Holder // of the claim, unless the key is absent
	Released bool         // the asking claim id was released and must not be used again
	Response rpcapi.StoredResponse
}

// Ask returns the state of a key for a claim id. Gone holders are the caller's
// business: the state of a claim without an outcome is ClaimRunning.
func (x *Index) Ask(key KeyID, id rpcapi.ClaimID, body BodyID) KeyState {
	e, live := x.live(key)
	if !live || e.state == entryReleased {
		return KeyState{State: rpcapi.ClaimAbsent, Released: live && x.idOf(e) == id}
	}
	if e.body != body {
		return KeyState{State: rpcapi.ClaimReused, Holder: x.holders[e.holder]}
	}
	return x.describe(e, id)
}

// Lookup returns the state of a key without a claim id.
func (x *Index) Lookup(key KeyID) KeyState {
	e, live := x.live(key)
	if !live || e.state == entryReleased {
		return KeyState{State: rpcapi.ClaimAbsent}
	}
	return x.describe(e, rpcapi.ClaimID{})
}

func (x *Index) describe(e entry, id rpcapi.ClaimID) KeyState {
	state := KeyState{Holder: x.holders[e.holder]}
	switch {
	case e.state == entryFinished:
		state.State, state.Response = rpcapi.ClaimFinished, *e.response
	case e.state == entryUnknown:
		state.State = rpcapi.ClaimUnknown
	case x.idOf(e) == id:
		state.State = rpcapi.ClaimGranted
	default:
		state.State = rpcapi.ClaimRunning
	}
	return state
}
