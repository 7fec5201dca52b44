package journal

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// releaseRetention is the maximum time for which a released claim id is kept, so
// that a delayed duplicate of its claim request cannot claim the key again.
const releaseRetention = 10 * time.Minute

// Sizes in bytes for estimating the memory of the index. BenchmarkIndexMemory
// compares the estimate with the heap.
const (
	entryBytes            = 150 // one slot of the map, with key and entry
	responseOverheadBytes = 80  // a stored response without content type and body
)

type entryState uint8

const (
	entryRunning entryState = iota + 1
	entryFinished
	entryUnknown  // the holder does not know whether the call ran
	entryReleased // free for every claim id except the released one
)

type entry struct {
	bodyHash    BodyHash
	claimNumber uint64
	expiresMS   int64
	response    *rpcapi.StoredResponse
	holder      uint32 // index into Index.holders
	state       entryState
}

// Index is the state of a shard's keys. It is a pure function of the batches
// applied in order: its clock advances only with the times in the batches.
//
// Invariants: a claim without an outcome never expires. Other entries expire at
// the end of the retention of the batch that set them; released entries after
// releaseRetention if that is shorter.
type Index struct {
	entries       map[KeyHash]entry
	holders       []model.Holder
	holderIndexes map[model.Holder]uint32
	position      uint64
	nowMS         int64
	bytes         int
}

// NewIndex returns an empty index at position 0, before the first batch.
func NewIndex() *Index {
	return &Index{entries: make(map[KeyHash]entry), holderIndexes: make(map[model.Holder]uint32)}
}

// Position returns the position of the last applied batch.
func (x *Index) Position() uint64 { return x.position }

// Bytes returns the estimated memory of the entries in bytes.
func (x *Index) Bytes() int { return x.bytes }

// Len returns the number of entries, including expired ones that are not removed
// yet.
func (x *Index) Len() int { return len(x.entries) }

// Apply applies the batch at the next position. If the batch has another position,
// Apply returns errs.Internal and leaves the index unchanged.
func (x *Index) Apply(b *Batch) error {
	if b.Position != x.position+1 {
		return errs.New(errs.Internal, "the journal batch is not at the position after that of the index")
	}
	x.position = b.Position
	x.nowMS = max(x.nowMS, b.TimeMS)
	for i := range b.Records {
		x.applyRecord(&b.Records[i], b.RetentionMS)
	}
	return nil
}

func (x *Index) applyRecord(r *Record, retentionMS int64) {
	e, live := x.live(r.Key)
	holdsKey := live && x.claimID(e) == r.ID
	free := !live || (e.state == entryReleased && !holdsKey)
	switch r.Kind {
	case RecordClaim:
		if free {
			x.put(r.Key, x.newEntry(r, entryRunning, retentionMS))
		}
	case RecordOutcome:
		if holdsKey && (e.state == entryRunning || e.state == entryUnknown) {
			x.put(r.Key, x.withOutcome(e, r, retentionMS))
		}
	case RecordRelease:
		if !live || (holdsKey && e.state == entryRunning) {
			x.put(r.Key, x.newEntry(r, entryReleased, min(retentionMS, releaseRetention.Milliseconds())))
		}
	}
}

func (x *Index) newEntry(r *Record, state entryState, retentionMS int64) entry {
	return entry{
		bodyHash: r.Body, holder: x.holderIndexOf(r.ID.Holder), claimNumber: r.ID.Number,
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

// holderIndexOf returns the index of the holder in x.holders and adds the holder
// if it is new.
func (x *Index) holderIndexOf(holder model.Holder) uint32 {
	number, found := x.holderIndexes[holder]
	if !found {
		number = uint32(len(x.holders))
		x.holders = append(x.holders, holder)
		x.holderIndexes[holder] = number
	}
	return number
}

func (x *Index) claimID(e entry) rpcapi.ClaimID {
	return rpcapi.ClaimID{Holder: x.holders[e.holder], Number: e.claimNumber}
}

// live returns the entry of a key, and whether there is one that has not
// expired.
func (x *Index) live(key KeyHash) (entry, bool) {
	e, found := x.entries[key]
	return e, found && !x.expired(e)
}

func (x *Index) expired(e entry) bool {
	return e.state != entryRunning && e.expiresMS <= x.nowMS
}

func (x *Index) put(key KeyHash, e entry) {
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
	return entryBytes + responseOverheadBytes + len(e.response.ContentType) + len(e.response.Body)
}

// RemoveExpired removes expired entries to free their memory. It does not change
// the state of any key.
func (x *Index) RemoveExpired() {
	for key, e := range x.entries {
		if x.expired(e) {
			x.bytes -= e.size()
			delete(x.entries, key)
		}
	}
}

// overdueClaims returns a record with an unknown outcome for each of up to limit
// claims that have had no outcome for the whole retention.
func (x *Index) overdueClaims(limit int) []Record {
	var records []Record
	for key, e := range x.entries {
		if e.state == entryRunning && e.expiresMS <= x.nowMS && len(records) < limit {
			records = append(records, Record{Kind: RecordOutcome, Key: key, ID: x.claimID(e), Unknown: true})
		}
	}
	return records
}

// KeyState is the state of a key in the index.
type KeyState struct {
	State    rpcapi.ClaimState
	Holder   model.Holder // holder of the claim; empty if the key is absent
	Released bool         // the requesting claim id was released and must not be used again
	Response rpcapi.StoredResponse
}

// LookupClaim returns the state of a key for the claim id that requests it. The
// index does not check whether the holder of another claim is gone: a claim
// without an outcome is ClaimRunning. Callers check the holder.
func (x *Index) LookupClaim(key KeyHash, id rpcapi.ClaimID, bodyHash BodyHash) KeyState {
	e, live := x.live(key)
	if !live || e.state == entryReleased {
		return KeyState{State: rpcapi.ClaimAbsent, Released: live && x.claimID(e) == id}
	}
	if e.bodyHash != bodyHash {
		return KeyState{State: rpcapi.ClaimReused, Holder: x.holders[e.holder]}
	}
	return x.keyState(e, id)
}

// Lookup returns the state of a key for a caller without a claim id.
func (x *Index) Lookup(key KeyHash) KeyState {
	e, live := x.live(key)
	if !live || e.state == entryReleased {
		return KeyState{State: rpcapi.ClaimAbsent}
	}
	return x.keyState(e, rpcapi.ClaimID{})
}

func (x *Index) keyState(e entry, id rpcapi.ClaimID) KeyState {
	state := KeyState{Holder: x.holders[e.holder]}
	switch {
	case e.state == entryFinished:
		state.State, state.Response = rpcapi.ClaimFinished, *e.response
	case e.state == entryUnknown:
		state.State = rpcapi.ClaimUnknown
	case x.claimID(e) == id:
		state.State = rpcapi.ClaimGranted
	default:
		state.State = rpcapi.ClaimRunning
	}
	return state
}
