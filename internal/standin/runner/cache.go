package runner

import "github.com/cespare/xxhash/v2"

// Sizes of the prefix cache.
const (
	PrefixBlockBytes = 256  // bytes of the prompt in one block
	cacheBlocks      = 4096 // blocks that fit
	cacheEventLimit  = 8192
	dropEvery        = 3 // with the fault on, each third event is lost
)

// CacheEvent says that the cache stored or removed a prefix block.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	Hash     uint64 `json:"hash,string"`
}

type prefixCache struct {
	blocks   map[uint64]struct{}
	order    []uint64 // oldest first
	events   []CacheEvent
	sequence uint64
}

func (c *prefixCache) reset() {
	*c = prefixCache{blocks: map[uint64]struct{}{}, sequence: c.sequence}
}

// enter stores the blocks of a prompt and returns the tokens not cached before.
func (c *prefixCache) enter(prompt string, drop bool) int {
	cached := 0
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		if _, found := c.blocks[hash]; found {
			cached = end
			continue
		}
		c.blocks[hash] = struct{}{}
		c.order = append(c.order, hash)
		c.emit(true, hash, drop)
	}
	for len(c.order) > cacheBlocks {
		delete(c.blocks, c.order[0])
		c.emit(false, c.order[0], drop)
		c.order = c.order[1:]
	}
	return CountTokens(prompt[cached:])
}

func (c *prefixCache) emit(stored bool, hash uint64, drop bool) {
	c.sequence++
	if drop && c.sequence%dropEvery == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Stored: stored, Hash: hash})
	if len(c.events) > cacheEventLimit {
		c.events = c.events[1:]
	}
}

// CacheEvents returns the events after a sequence number. Gaps are possible.
func (r *Runner) CacheEvents(after uint64) []CacheEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range r.cache.events {
		if e.Sequence > after {
			out = append(out, e)
		}
	}
	return out
}
