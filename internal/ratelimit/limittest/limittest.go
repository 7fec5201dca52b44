// Package limittest checks in tests whether a target gets more requests than it takes, by the
// bound of the users' platform: in no window more than factor times what the limit allows,
// plus extra requests.
package limittest

import "time"

const (
	// Window is the length of the windows in which requests are counted.
	Window = 4 * time.Second
	factor = 1.5
	extra  = 5
)

// Bound returns the largest number of requests in a window for a limit per second.
func Bound(perSecond float64) float64 { return factor*perSecond*Window.Seconds() + extra }

// MostInWindow returns the largest number of requests in a window, given their times in
// order.
func MostInWindow(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first] <= at-Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
