package placer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// singleParts is the number of parts at the beginning of a prompt that are not joined.
	singleParts = 32
	// partsOfOneSize is the number of joined parts that stand for the same number of parts each. The
	// next ones stand for twice as many.
	partsOfOneSize = 16
	// maxParts limits the parts of a request from another VM. JoinParts leaves fewer of any head.
	maxParts = 256
	// maxPartIDBytes limits the ID of a part. A longer one is replaced by its hash.
	maxPartIDBytes = 64
	// joinedPartMark begins the IDs of joined parts. IDs of callers are hexadecimal.
	joinedPartMark = "~"
)

// JoinParts limits the parts of a prompt to a few hundred with short IDs, which share no memory with
// the arguments. Later parts are joined, the more the further they are from the beginning. How the first
// parts are joined does not depend on those behind them, so that prompts that begin with the same parts
// still share them. The last part belongs to the request alone and is never joined.
func JoinParts(parts []Part) []Part {
	if len(parts) == 0 {
		return nil
	}
	shared, last := parts[:len(parts)-1], parts[len(parts)-1:]
	joined := make([]Part, 0, min(len(parts), singleParts+partsOfOneSize))
	for size := 1; len(shared) > 0; {
		n := min(size, len(shared))
		joined = append(joined, joinParts(shared[:n]))
		shared = shared[n:]
		if beyond := len(joined) - singleParts; beyond >= 0 && beyond%partsOfOneSize == 0 {
			size *= 2
		}
	}
	return append(joined, joinParts(last))
}

// joinParts returns one part for some parts in a row. A single one keeps its ID unless that is too long.
func joinParts(parts []Part) Part {
	if len(parts) == 1 && len(parts[0].ID) <= maxPartIDBytes {
		return Part{ID: strings.Clone(parts[0].ID), Tokens: parts[0].Tokens}
	}
	var all Part
	hash := xxhash.New()
	for _, p := range parts {
		_, _ = hash.WriteString(p.ID) // never fails
		_, _ = hash.WriteString(",")
		all.Tokens = boundedCount(all.Tokens + boundedCount(p.Tokens))
	}
	all.ID = joinedPartMark + strconv.FormatUint(hash.Sum64(), 16)
	return all
}
