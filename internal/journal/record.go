package journal

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// hashBytes is the length of the truncated SHA-256 values in records. 128 bits
// keep the index small; no one can find a second input for a given value.
const hashBytes = 16

// KeyID is the truncated SHA-256 of a claim key. Records and index hold it
// instead of the key.
type KeyID [hashBytes]byte

// String returns the value in hexadecimal.
func (k KeyID) String() string { return hex.EncodeToString(k[:]) }

// BodyID is the truncated hash of a call's body.
type BodyID [hashBytes]byte

// RecordKind is the type of a record.
type RecordKind uint8

// Kinds of records.
const (
	RecordClaim    RecordKind = 1 // the claim id owns the key
	RecordOutcome  RecordKind = 2 // first answer, or that the outcome is unknown
	RecordRelease  RecordKind = 3 // the call was certainly not sent; the key is free
	RecordTakeover RecordKind = 4 // the batch's writer owns the shard from here on
)

// Record is one entry of a batch. Fields that do not apply to the kind are zero.
type Record struct {
	Kind     RecordKind
	Key      KeyID
	ID       rpcapi.ClaimID
	Body     BodyID                // claims only
	Unknown  bool                  // outcomes only: the holder cannot tell whether the call ran
	Response rpcapi.StoredResponse // outcomes only
}

// Identity tells the writer of a batch and which of its writes it is.
type Identity struct {
	Writer model.Holder
	Write  uint64
}

// Batch is the content of one journal object.
type Batch struct {
	Shard     int
	Position  uint64
	Identity  Identity
	TimeMS    int64 // writer's clock, milliseconds since 1970
	Retention int64 // how long the entries of this batch are kept, milliseconds
	Records   []Record
}

// KeyIDOf returns the identifier of a claim key. Parts are length-prefixed, so
// that different keys cannot have the same input.
func KeyIDOf(key rpcapi.ClaimKey) KeyID {
	sum := sha256.Sum256(keyInput(key))
	return KeyID(sum[:hashBytes])
}

// BodyIDOf returns the truncated hash of a body hash.
func BodyIDOf(hash [32]byte) BodyID { return BodyID(hash[:hashBytes]) }

// ShardOf returns the shard of a key, from 0 to shards-1.
func ShardOf(key rpcapi.ClaimKey, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64(keyInput(key)) % uint64(shards))
}

func keyInput(key rpcapi.ClaimKey) []byte {
	input := make([]byte, 0, 12+len(key.Organisation)+len(key.Kind)+len(key.Key))
	for _, part := range [...]string{key.Organisation, key.Kind, key.Key} {
		input = binary.BigEndian.AppendUint32(input, uint32(len(part)))
		input = append(input, part...)
	}
	return input
}
