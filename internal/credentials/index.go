package credentials

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Index maps keys to the organisations that hold them. It must not change once it is shared
// between goroutines.
type Index struct {
	entries map[Digest]entry
}

type entry struct {
	digest       Digest
	organisation int
}

// NewIndex returns an index without keys.
func NewIndex() *Index { return &Index{entries: map[Digest]entry{}} }

// Add adds a key of an organisation, which the caller identifies by a number. It returns false
// if another organisation holds the key, which then stays with that one.
func (x *Index) Add(key Digest, organisation int) bool {
	if e, found := x.entries[key]; found {
		return e.organisation == organisation
	}
	x.entries[key] = entry{digest: key, organisation: organisation}
	return true
}

// Find returns the organisation that holds a key. The duration of the search depends on the
// digest of the key only, and the last comparison takes constant time, so it reveals nothing
// about the keys in the index. An empty key belongs to nobody.
func (x *Index) Find(key string) (organisation int, found bool) {
	if key == "" {
		return 0, false
	}
	digest := DigestOf(key)
	e, found := x.entries[digest]
	if !found || subtle.ConstantTimeCompare(e.digest[:], digest[:]) != 1 {
		return 0, false
	}
	return e.organisation, true
}
