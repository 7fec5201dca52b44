package groupserver

import "time"

const (
	// cancelledRetention is how long a cancelled request is remembered at least, in case its
	// Acquire call arrives after the cancellation.
	cancelledRetention = 10 * time.Second
	// maxCancelled is the number of cancelled requests from which they are remembered for a shorter
	// time. Twice as many may be held.
	maxCancelled = 8192
)

// cancelledRequests remembers the IDs of cancelled requests.
type cancelledRequests struct {
	newer, older map[string]struct{}
	since        time.Duration // when newer was begun
}

func (c *cancelledRequests) add(now time.Duration, id string) {
	if c.newer == nil || now-c.since >= cancelledRetention || len(c.newer) >= maxCancelled {
		c.newer, c.older, c.since = map[string]struct{}{}, c.newer, now
	}
	c.newer[id] = struct{}{}
}

func (c *cancelledRequests) has(id string) bool {
	_, newer := c.newer[id]
	_, older := c.older[id]
	return newer || older
}
