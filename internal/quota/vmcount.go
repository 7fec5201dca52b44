package quota

import "time"

// VMCount estimates the number of VMs by which the tolerance is divided. It rises at once and falls
// slowly: a VM that is cut off hears of fewer VMs, and too low a number would let it use too much
// before it reports. The zero value has heard of no VM.
type VMCount struct {
	recent, earlier recentMax
	heardAt         time.Duration
}

const (
	// vmRetention is how long a VM counts that is not heard of any more, once the owners of all
	// groups answer. It is longer than a window, so that a VM that is cut off has used before it
	// what it may use at once.
	vmRetention = 30 * time.Second
	// halfRetention is how long it counts half. If the VMs that hear no owner are at most as many
	// as the others, these may divide an eighth of the tolerance among themselves: all VMs
	// together stay within the two eighths. Partitions of regions last for minutes.
	halfRetention = 10 * time.Minute
	// maxCountPause is the longest time between two observations that follow each other. A VM that
	// was paused may have been cut off meanwhile.
	maxCountPause = 2 * time.Second
)

// Observe returns the number of VMs, at least 1. heard is the number that this VM hears of now, and
// whole tells that the owners of all groups answer it.
func (c *VMCount) Observe(now time.Duration, heard int, whole bool) int {
	whole = whole && now-c.heardAt <= maxCountPause
	c.heardAt = now
	c.recent.observe(now, heard, whole, vmRetention)
	c.earlier.observe(now, heard, whole, halfRetention)
	return max(1, c.recent.value, (c.earlier.value+1)/2)
}

// recentMax is a maximum that falls once all values of a time were lower.
type recentMax struct {
	value int
	next  int           // greatest value since
	since time.Duration // begin of the time, which an unsure value begins anew
}

func (m *recentMax) observe(now time.Duration, value int, sure bool, retention time.Duration) {
	switch {
	case value >= m.value:
		m.value, m.next, m.since = value, 0, now
	case !sure:
		m.next, m.since = 0, now
	default:
		m.next = max(m.next, value)
		if now-m.since >= retention {
			m.value, m.next, m.since = m.next, 0, now
		}
	}
}
