package placer

import "container/list"

// prefixCache estimates which prompt parts are in the KV cache of a target: the most
// recently used ones, up to the capacity of the cache. A cached part belongs to one
// adapter and can be reused only after the same preceding parts.
type prefixCache struct {
	limitTokens int
	usedTokens  int
	recency     list.List // of *cachedPart, most recently used first
	entries     map[string]*list.Element
}

type cachedPart struct {
	key    string
	tokens int
}

func newPrefixCache(limitTokens int) *prefixCache {
	return &prefixCache{limitTokens: limitTokens, entries: map[string]*list.Element{}}
}

// visitPrefixes calls visit for each part of a prompt, in order, until it returns
// false. The key identifies the adapter and all parts up to that one.
func visitPrefixes(a Adapter, parts []Part, visit func(key string, tokens int) bool) {
	key := a.Model + "/" + a.Name
	for _, p := range parts {
		key += "," + p.ID
		if !visit(key, p.Tokens) {
			return
		}
	}
}

// cachedTokens returns the number of leading prompt tokens that are in the cache.
func (c *prefixCache) cachedTokens(a Adapter, parts []Part) int {
	total := 0
	visitPrefixes(a, parts, func(key string, tokens int) bool {
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
	visitPrefixes(a, parts, func(key string, tokens int) bool {
		if entry := c.entries[key]; entry != nil {
			c.recency.MoveToFront(entry)
			return true
		}
		c.entries[key] = c.recency.PushFront(&cachedPart{key, tokens})
		c.usedTokens += tokens
		return true
	})
	for c.usedTokens > c.limitTokens && c.recency.Len() > 0 {
		oldest := c.recency.Back()
		part := c.recency.Remove(oldest).(*cachedPart)
		delete(c.entries, part.key)
		c.usedTokens -= part.tokens
	}
}

// dropAdapter removes all parts of an adapter.
func (c *prefixCache) dropAdapter(a Adapter) {
	prefix := a.Model + "/" + a.Name + ","
	for entry := c.recency.Front(); entry != nil; {
		next := entry.Next()
		if part := entry.Value.(*cachedPart); len(part.key) >= len(prefix) && part.key[:len(prefix)] == prefix {
			c.recency.Remove(entry)
			delete(c.entries, part.key)
			c.usedTokens -= part.tokens
		}
		entry = next
	}
}
