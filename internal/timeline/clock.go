package timeline

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxSkew is how far ahead of the local wall time a merged stamp may be. Merge ignores
// stamps further ahead, so that one process with a wrong clock or a hostile peer cannot
// move the clocks of all other processes.
const MaxSkew = time.Minute

// Clock is a hybrid logical clock. Each stamp is greater than the one before, and a stamp
// taken after Merge is greater than the merged stamp. It is safe for concurrent use.
type Clock struct {
	wall    func() time.Time
	mu      sync.Mutex
	last    Stamp
	ignored atomic.Uint64
}

// NewClock returns a clock that reads wall time from wall, usually time.Now.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp greater than all stamps that the clock has returned or merged.
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

// Merge makes all later stamps of the clock greater than remote, a stamp received from
// another process. It ignores a stamp that is more than MaxSkew ahead.
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

// IgnoredStamps returns the number of stamps that Merge ignored because they were more
// than MaxSkew ahead.
func (c *Clock) IgnoredStamps() uint64 { return c.ignored.Load() }

// Less reports whether s is ordered before other.
func (s Stamp) Less(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Counter < other.Counter
}

// next returns the smallest stamp greater than s. When the counter is at its maximum, next
// adds one nanosecond to the wall time instead.
func (s Stamp) next() Stamp {
	if s.Counter == ^uint32(0) {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Counter: s.Counter + 1}
}
