package timeline

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxSkew is how far ahead of the local clock a merged stamp may be. A greater
// stamp is ignored, so that one process with a wrong clock or a hostile peer
// cannot move the clocks of all others.
const MaxSkew = time.Minute

// Clock is a hybrid logical clock. Its stamps never decrease, and a stamp taken
// after Merge is greater than the merged one. It is safe for concurrent use.
type Clock struct {
	wall    func() time.Time
	mu      sync.Mutex
	last    Stamp
	ignored atomic.Uint64
}

// NewClock returns a clock over a source of wall time, usually time.Now.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp greater than all stamps that were returned or merged.
func (c *Clock) Now() Stamp {
	wall := c.wall().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last = c.last.next()
	}
	return c.last
}

// Merge makes later stamps greater than one received from another process.
func (c *Clock) Merge(remote Stamp) {
	if remote.Wall > c.wall().Add(MaxSkew).UnixNano() {
		c.ignored.Add(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Less(remote) {
		c.last = remote
	}
}

// Ignored returns the number of stamps that were beyond MaxSkew.
func (c *Clock) Ignored() uint64 { return c.ignored.Load() }

// Less reports whether s is ordered before other.
func (s Stamp) Less(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Counter < other.Counter
}

// next returns the smallest greater stamp. A full counter carries into the
// wall time.
func (s Stamp) next() Stamp {
	if s.Counter == ^uint32(0) {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Counter: s.Counter + 1}
}
