// Package retrybudget limits the retries that are sent to a service. Each VM stays
// within its own part of the budget, so that all VMs together stay within the whole
// budget without coordination. It reads no clock: callers pass in the time.
package retrybudget

import "time"

// Settings holds the limits of the whole deployment.
type Settings struct {
	Ratio  float64       // retries allowed for each request in the window
	Extra  float64       // retries allowed in the window in addition, over all VMs
	Window time.Duration // length of the sliding window
}

// usableShare is the share of the budget that is used. It leaves a margin because VMs
// join, and because the windows of the VMs and of an observer of the limit do not
// begin at the same time.
const usableShare = 0.6

// slots is the number of equal time slots in a window. Budget keeps the current slot and
// as many slots before it as a window has, so that a retry counts for at least the length
// of the window.
const slots = 10

// Budget counts the requests and retries of one service on one VM. It is not
// safe for concurrent use.
type Budget struct {
	settings Settings
	vms      float64 // number of VMs that share the budget
	requests [slots + 1]int
	retries  [slots + 1]int
	slot     int64 // index of the current slot, counted from time 0 of the caller's clock
}

// New returns a budget for a single VM. SetVMs sets how many VMs share it.
func New(settings Settings) *Budget { return &Budget{settings: settings, vms: 1} }

// SetVMs sets the number of VMs that share the budget.
func (b *Budget) SetVMs(n int) { b.vms = float64(max(1, n)) }

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.requests[b.advance(now)]++
}

// TryRetry reports whether the budget allows a retry and counts the retry if so. One
// retry in a window is always allowed.
func (b *Budget) TryRetry(now time.Duration) bool {
	current := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		retries += b.retries[i]
		if i != current { // the current slot may end outside of an observer's window
			requests += b.requests[i]
		}
	}
	allowed := usableShare * (b.settings.Ratio*float64(requests) + b.settings.Extra/b.vms)
	if float64(retries+1) > max(1, allowed) {
		return false
	}
	b.retries[current]++
	return true
}

// Return gives back a retry that TryRetry allowed at a time and that was not sent.
func (b *Budget) Return(now, takenAt time.Duration) {
	b.advance(now)
	slot := int64(takenAt / (b.settings.Window / slots))
	if i := slot % (slots + 1); b.slot-slot <= slots && b.retries[i] > 0 {
		b.retries[i]--
	}
}

// advance moves to the slot of a time and returns its index. It clears the slots that
// come into use again.
func (b *Budget) advance(now time.Duration) int {
	slot := int64(now / (b.settings.Window / slots))
	for b.slot < slot {
		b.slot++
		if slot-b.slot <= slots {
			b.requests[b.slot%(slots+1)], b.retries[b.slot%(slots+1)] = 0, 0
		}
	}
	return int(b.slot % (slots + 1))
}
