package placer

import "container/list"

// prefixCache estimates which parts of prompts a target keeps: those that it
// read last, within the engine's memory. A part is kept for one adapter, and is
// of use only after all parts before it.
type prefixCache struct {
	limit  int
	used   int
	order  list.List // of *cachedPart, newest first
	places map[string]*list.Element
}

type cachedPart struct {
	key    string
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, places: map[string]*list.Element{}}
}

// chain calls visit with the key of each part until it returns false.
func chain(a Adapter, parts []Part, visit func(key string, tokens int) bool) {
	key := a.Model + "/" + a.Name
	for _, p := range parts {
		key += "," + p.ID
		if !visit(key, p.Tokens) {
			return
		}
	}
}

// kept returns the number of prompt tokens that need not be read.
func (c *prefixCache) kept(a Adapter, parts []Part) int {
	total := 0
	chain(a, parts, func(key string, tokens int) bool {
		if c.places[key] == nil {
			return false
		}
		total += tokens
		return true
	})
	return total
}

// read enters that the target reads a prompt.
func (c *prefixCache) read(a Adapter, parts []Part) {
	chain(a, parts, func(key string, tokens int) bool {
		if place := c.places[key]; place != nil {
			c.order.MoveToFront(place)
			return true
		}
		c.places[key] = c.order.PushFront(&cachedPart{key, tokens})
		c.used += tokens
		return true
	})
	for c.used > c.limit && c.order.Len() > 0 {
		last := c.order.Back()
		part := c.order.Remove(last).(*cachedPart)
		delete(c.places, part.key)
		c.used -= part.tokens
	}
}

// drop forgets the parts of an adapter that the target no longer holds.
func (c *prefixCache) drop(a Adapter) {
	prefix := a.Model + "/" + a.Name + ","
	for place := c.order.Front(); place != nil; {
		next := place.Next()
		if part := place.Value.(*cachedPart); len(part.key) >= len(prefix) && part.key[:len(prefix)] == prefix {
			c.order.Remove(place)
			delete(c.places, part.key)
			c.used -= part.tokens
		}
		place = next
	}
}
