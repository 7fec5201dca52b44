package gateway

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxIDBytes is the length up to which the ID of a request is used as it is in logs and on other
	// VMs, which remember the IDs of requests that have ended.
	maxIDBytes = 64
	// idPrefixBytes is what is kept of a longer one, before its hash.
	idPrefixBytes = 40
)

// shortID returns an ID for a request in logs and on other VMs. A long one keeps its beginning.
func shortID(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	return id[:idPrefixBytes] + "~" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}
