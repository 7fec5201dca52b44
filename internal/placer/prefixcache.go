package placer

import (
	"container/list"
	"hash/maphash"
)

const (
	// minPrefixTokens is the least number of prompt tokens that an entry of a prefix cache stands
	// for. Callers choose how small the parts of a prompt are.
	minPrefixTokens = 64
	// maxPrefixEntries limits the entries of a prefix cache, each of which takes some 100 bytes.
	maxPrefixEntries = 2048
)

// prefixCache estimates which prompt parts are in the KV cache of a target: the most
// recently used ones, up to the capacity of the cache. A cached part belongs to one
// adapter and can be reused only after the same preceding parts.
type prefixCache struct {
	limitTokens int
	usedTokens  int
	recency     list.List // of *cachedPrefix, most recently used first
	entries     map[prefixKey]*list.Element
}

// prefixKey identifies an adapter and the first parts of a prompt by a hash. Two prefixes with the same
// hash only make an estimate wrong.
type prefixKey uint64

type cachedPrefix struct {
	key     prefixKey
	adapter prefixKey // the key of the adapter without any part
	tokens  int       // since the prefix before
}

// prefixSeed makes the hashes of prefixes unpredictable for callers.
var prefixSeed = maphash.MakeSeed()

func newPrefixCache(limitTokens int) *prefixCache {
	return &prefixCache{limitTokens: limitTokens, entries: map[prefixKey]*list.Element{}}
}

func adapterKey(a Adapter) prefixKey { return prefixKey(maphash.Comparable(prefixSeed, a)) }

// next returns the key of the prefix with one part more.
func (k prefixKey) next(part string) prefixKey {
	type extended struct {
		prefix prefixKey
		part   string
	}
	return prefixKey(maphash.Comparable(prefixSeed, extended{k, part}))
}

// visitPrefixes calls visit for the prefixes of a prompt, the shortest one first, until it returns false.
// Each has at least minPrefixTokens more than the one before.
func visitPrefixes(a Adapter, parts []Part, visit func(key prefixKey, tokens int) bool) {
	key, tokens := adapterKey(a), 0
	for _, p := range parts {
		key = key.next(p.ID)
		if tokens += p.Tokens; tokens < minPrefixTokens {
			continue
		}
		if !visit(key, tokens) {
			return
		}
		tokens = 0
	}
}

// cachedTokens returns the number of leading prompt tokens that are in the cache.
func (c *prefixCache) cachedTokens(a Adapter, parts []Part) int {
	total := 0
	visitPrefixes(a, parts, func(key prefixKey, tokens int) bool {
		if c.entries[key] == nil {
			return false
		}
		total += tokens
		return true
	})
	return total
}

// add records that the parts of a prompt enter the cache, and evicts the least
// recently used ones beyond its capacity.
func (c *prefixCache) add(a Adapter, parts []Part) {
	adapter := adapterKey(a)
	visitPrefixes(a, parts, func(key prefixKey, tokens int) bool {
		if entry := c.entries[key]; entry != nil {
			c.recency.MoveToFront(entry)
			return true
		}
		c.entries[key] = c.recency.PushFront(&cachedPrefix{key, adapter, tokens})
		c.usedTokens += tokens
		return true
	})
	for c.recency.Len() > 0 && (c.usedTokens > c.limitTokens || c.recency.Len() > maxPrefixEntries) {
		c.remove(c.recency.Back())
	}
}

func (c *prefixCache) remove(entry *list.Element) {
	prefix := c.recency.Remove(entry).(*cachedPrefix)
	delete(c.entries, prefix.key)
	c.usedTokens -= prefix.tokens
}

// dropAdapter removes all parts of an adapter.
func (c *prefixCache) dropAdapter(a Adapter) {
	adapter := adapterKey(a)
	for entry := c.recency.Front(); entry != nil; {
		next := entry.Next()
		if entry.Value.(*cachedPrefix).adapter == adapter {
			c.remove(entry)
		}
		entry = next
	}
}
