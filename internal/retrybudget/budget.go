// Package retrybudget limits the requests that are sent to a service again. Each
// VM keeps within its own part of the budget, so that all together keep within
// the whole without asking each other. It is pure: the caller gives the time.
package retrybudget

import "time"

// Settings are the limits of the whole deployment.
type Settings struct {
	Ratio  float64       // repeats for each request
	Extra  float64       // repeats in a window besides
	Window time.Duration // that slides
}

// usedPart keeps a distance from the limit: VMs join, and windows of the VMs and
// of who counts do not begin at the same time.
const usedPart = 0.6

// slots divide a window. One more than the window is counted, so that a repeat
// leaves the count only after it has left the window.
const slots = 10

// Budget counts the requests and repeats of one service on one VM. It is not
// safe for concurrent use.
type Budget struct {
	settings Settings
	vms      float64
	requests [slots + 1]int
	repeats  [slots + 1]int
	slot     int64
}

// New returns a budget for one of a number of VMs.
func New(settings Settings) *Budget { return &Budget{settings: settings, vms: 1} }

// SetVMs tells the number of VMs that share the budget.
func (b *Budget) SetVMs(n int) { b.vms = float64(max(1, n)) }

// Request counts a request.
func (b *Budget) Request(now time.Duration) {
	b.requests[b.at(now)]++
}

// Take counts a repeat if the budget allows it.
func (b *Budget) Take(now time.Duration) bool {
	at := b.at(now)
	requests, repeats := 0, 0
	for i := range b.requests {
		repeats += b.repeats[i]
		if i != at { // the present slot may still end outside of a window
			requests += b.requests[i]
		}
	}
	allowed := usedPart * (b.settings.Ratio*float64(requests) + b.settings.Extra/b.vms)
	if float64(repeats+1) > max(1, allowed) {
		return false
	}
	b.repeats[at]++
	return true
}

// at returns the present slot and clears those that were left.
func (b *Budget) at(now time.Duration) int {
	slot := int64(now / (b.settings.Window / slots))
	for b.slot < slot {
		b.slot++
		if slot-b.slot <= slots {
			b.requests[b.slot%(slots+1)], b.repeats[b.slot%(slots+1)] = 0, 0
		}
	}
	return int(b.slot % (slots + 1))
}
