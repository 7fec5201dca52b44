package journal

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// hashBytes is the length of the truncated SHA-256 hashes in records. 128 bits
// keep the index small and still resist second-preimage attacks.
const hashBytes = 16

// KeyHash is the truncated SHA-256 hash of a claim key. Records and the index hold
// it instead of the key.
type KeyHash [hashBytes]byte

// String returns the hash in hexadecimal.
func (k KeyHash) String() string { return hex.EncodeToString(k[:]) }

// BodyHash is the truncated SHA-256 hash of a call's body.
type BodyHash [hashBytes]byte

// RecordKind is the type of a record.
type RecordKind uint8

// Kinds of records.
const (
	RecordClaim    RecordKind = 1 // the claim id holds the key
	RecordOutcome  RecordKind = 2 // the first answer, or the fact that the outcome is unknown
	RecordRelease  RecordKind = 3 // the call was certainly not sent; the key is free
	RecordTakeover RecordKind = 4 // the batch's writer owns the shard from here on
)

// Record is one entry of a batch. Fields that do not apply to the kind are zero.
type Record struct {
	Kind     RecordKind
	Key      KeyHash
	ID       rpcapi.ClaimID
	Body     BodyHash              // claims only
	Unknown  bool                  // outcomes only: the holder does not know whether the call ran
	Response rpcapi.StoredResponse // outcomes only
}

// WriteID identifies one write of a VM to a shard's journal. No two batches and no
// two snapshots of a shard have the same WriteID, so that a writer recognises its
// own object after an uncertain result.
type WriteID struct {
	Writer   model.Holder
	Sequence uint64
}

// Batch is the content of one journal object.
type Batch struct {
	Shard       int
	Position    uint64
	WriteID     WriteID
	TimeMS      int64 // writer's clock, milliseconds since 1970
	RetentionMS int64 // retention of the entries of this batch, milliseconds
	Records     []Record
}

// HashKey returns the truncated hash of a claim key. The parts of the key are
// length-prefixed, so that different keys cannot have the same hash input.
func HashKey(key rpcapi.ClaimKey) KeyHash {
	sum := sha256.Sum256(hashInput(key))
	return KeyHash(sum[:hashBytes])
}

// TruncateBodyHash returns the first hashBytes bytes of a body hash.
func TruncateBodyHash(hash [32]byte) BodyHash { return BodyHash(hash[:hashBytes]) }

// ShardOf returns the number of a key's shard, from 0 to shards-1.
func ShardOf(key rpcapi.ClaimKey, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64(hashInput(key)) % uint64(shards))
}

func hashInput(key rpcapi.ClaimKey) []byte {
	input := make([]byte, 0, 12+len(key.Organisation)+len(key.Kind)+len(key.Key))
	for _, part := range [...]string{key.Organisation, key.Kind, key.Key} {
		input = binary.BigEndian.AppendUint32(input, uint32(len(part)))
		input = append(input, part...)
	}
	return input
}
